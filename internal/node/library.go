package node

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/cluster"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// noCurrency is the ISO 4217 code for the absence of a currency.
const noCurrency = "XXX"

// Library holds the operators' documents that this node has taken and the book
// made of them. It is safe for concurrent use.
type Library struct {
	log  *logrus.Entry
	book atomic.Pointer[plan.Snapshot]

	mu        sync.Mutex
	customers plan.Customers
	plans     plan.Plans
	out       plan.OutOfService
	revisions model.Revisions
	known     [model.DocumentCount]atomic.Bool
	changed   []func(*plan.Snapshot)
}

// NewLibrary makes a library without documents. Its book allows nobody and has
// nothing out of service.
func NewLibrary(log *logrus.Entry) (*Library, error) {
	l := &Library{
		log:       log,
		customers: plan.Customers{Customers: []plan.Customer{}},
		plans:     plan.Plans{Currency: noCurrency, Plans: []plan.Plan{}},
		out:       plan.OutOfService{Zones: []model.Zone{}, Targets: []model.NodeID{}},
	}
	book, err := plan.NewSnapshot(l.customers, l.plans, l.out, l.revisions)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l.book.Store(book)
	return l, nil
}

// OnChange registers a function that gets each new book. It is called before
// the first document is taken.
func (l *Library) OnChange(f func(*plan.Snapshot)) { l.changed = append(l.changed, f) }

// Book returns the newest book.
func (l *Library) Book() *plan.Snapshot { return l.book.Load() }

// Knows reports whether any revision of a document is known.
func (l *Library) Knows(kind model.DocumentKind) bool { return l.known[kind].Load() }

// Known reports whether the customers and their plans are known, so that a
// customer that is not found has no plan.
func (l *Library) Known() bool {
	return l.Knows(model.DocumentCustomers) && l.Knows(model.DocumentPlans)
}

// CustomerByCredential implements credential.Directory.
func (l *Library) CustomerByCredential(hash string) (model.Customer, bool) {
	return l.Book().CustomerByCredential(hash)
}

// Allowance returns what a customer may use of a service now.
func (l *Library) Allowance(customer model.Customer, service model.Service) (plan.Allowance, bool) {
	return l.Book().Allowance(customer, service)
}

// CheckDocument refuses a document that could not be taken.
func CheckDocument(document cluster.Document) error {
	_, err := plan.DecodeDocument(document.Kind, document.Body)
	return Error.Wrap(err)
}

// Take makes a new book with a document that has passed CheckDocument.
func (l *Library) Take(document cluster.Document) {
	decoded, err := plan.DecodeDocument(document.Kind, document.Body)
	if err != nil {
		l.log.WithError(err).WithField("document", document.Kind).Error("document_refused")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.place(decoded.Content)
	l.revisions[document.Kind] = document.Revision
	book, err := plan.NewSnapshot(l.customers, l.plans, l.out, l.revisions)
	if err != nil {
		l.log.WithError(err).WithField("document", document.Kind).Error("document_refused")
		return
	}
	l.book.Store(book)
	l.known[document.Kind].Store(true)
	l.log.WithFields(logrus.Fields{"document": document.Kind, "revision": document.Revision}).Info("document_in_force")
	for _, f := range l.changed {
		f(book)
	}
}

func (l *Library) place(content plan.Content) {
	switch content := content.(type) {
	case plan.Customers:
		l.customers = content
	case plan.Plans:
		l.plans = content
	case plan.OutOfService:
		l.out = content
	}
}
