package node

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/cluster"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// noCurrency is the ISO 4217 code for transactions without a currency. It is the
// currency until a document with plans has been applied.
const noCurrency = "XXX"

// DocumentStore holds the operators' documents that are in force on this node
// and the plan.Snapshot that is built from them. It is safe for concurrent use,
// except for OnChange.
type DocumentStore struct {
	log      *logrus.Entry
	snapshot atomic.Pointer[plan.Snapshot]

	// mu serializes Apply.
	mu           sync.Mutex
	customers    plan.Customers
	plans        plan.Plans
	outOfService plan.OutOfService
	revisions    model.Revisions
	// loaded is set for each kind of document of which a revision was applied.
	loaded   [model.DocumentCount]atomic.Bool
	onChange []func(*plan.Snapshot)
}

// NewDocumentStore returns a store without documents. In its snapshot no customer
// has an allowance and nothing is out of service.
func NewDocumentStore(log *logrus.Entry) (*DocumentStore, error) {
	d := &DocumentStore{
		log:          log,
		customers:    plan.Customers{Customers: []plan.Customer{}},
		plans:        plan.Plans{Currency: noCurrency, Plans: []plan.Plan{}},
		outOfService: plan.OutOfService{Zones: []model.Zone{}, Targets: []model.NodeID{}},
	}
	snapshot, err := plan.NewSnapshot(d.customers, d.plans, d.outOfService, d.revisions)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.snapshot.Store(snapshot)
	return d, nil
}

// OnChange registers a function that Apply calls with each new snapshot. It must
// be called before the first Apply.
func (d *DocumentStore) OnChange(f func(*plan.Snapshot)) { d.onChange = append(d.onChange, f) }

// Snapshot returns the plan snapshot of the documents in force.
func (d *DocumentStore) Snapshot() *plan.Snapshot { return d.snapshot.Load() }

// HasDocument reports whether any revision of a document was applied.
func (d *DocumentStore) HasDocument(kind model.DocumentKind) bool { return d.loaded[kind].Load() }

// CustomersKnown reports whether the documents of customers and plans have been applied.
// Until then a customer that is not found may still have a plan. It implements
// credential.Directory.
func (d *DocumentStore) CustomersKnown() bool {
	return d.HasDocument(model.DocumentCustomers) && d.HasDocument(model.DocumentPlans)
}

// CustomerByCredential implements credential.Directory.
func (d *DocumentStore) CustomerByCredential(hash string) (model.Customer, bool) {
	return d.Snapshot().CustomerByCredential(hash)
}

// Allowance returns the customer's current allowance for a service, and whether
// there is one.
func (d *DocumentStore) Allowance(customer model.Customer, service model.Service) (plan.Allowance, bool) {
	return d.Snapshot().Allowance(customer, service)
}

// CheckDocument returns an error if the document can't be decoded.
func CheckDocument(document cluster.Document) error {
	_, err := plan.DecodeDocument(document.Kind, document.Body)
	return Error.Wrap(err)
}

// Apply puts a document that has passed CheckDocument into force: it builds a new
// snapshot and passes it to the functions registered with OnChange. A document
// that can't be applied is logged and leaves the old snapshot in place.
func (d *DocumentStore) Apply(document cluster.Document) {
	decoded, err := plan.DecodeDocument(document.Kind, document.Body)
	if err != nil {
		d.log.WithError(err).WithField("document", document.Kind).Error("document_refused")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setContent(decoded.Content)
	d.revisions[document.Kind] = document.Revision
	snapshot, err := plan.NewSnapshot(d.customers, d.plans, d.outOfService, d.revisions)
	if err != nil {
		d.log.WithError(err).WithField("document", document.Kind).Error("document_refused")
		return
	}
	d.snapshot.Store(snapshot)
	d.loaded[document.Kind].Store(true)
	d.log.WithFields(logrus.Fields{"document": document.Kind, "revision": document.Revision}).Info("document_in_force")
	for _, f := range d.onChange {
		f(snapshot)
	}
}

func (d *DocumentStore) setContent(content plan.Content) {
	switch content := content.(type) {
	case plan.Customers:
		d.customers = content
	case plan.Plans:
		d.plans = content
	case plan.OutOfService:
		d.outOfService = content
	}
}
