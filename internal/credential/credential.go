// Package credential defines the plug-in interface that identifies the customer
// who sent a request. Plug-ins implement Checker; each is in a package of its own
// below this one and registers itself with package kernel.
package credential

import (
	"net/http"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this package.
var Error = errs.Class("credential")

// The errors of a Checker, wrapped in Error. Test for them with errors.Is.
var (
	// ErrMissing is returned when the request carries no usable credential.
	ErrMissing = errs.New("no credential")
	// ErrUnknown is returned when no customer has the credential.
	ErrUnknown = errs.New("credential is not known")
	// ErrNoDirectory is returned while this node has no list of customers yet.
	ErrNoDirectory = errs.New("the list of customers is not known yet")
)

// Checker identifies the customer of a request by its credential. It is safe for
// concurrent use.
type Checker interface {
	// Check returns the customer, or ErrMissing, ErrUnknown or ErrNoDirectory.
	Check(request *http.Request) (model.Customer, error)
}

// Directory looks up customers by their credentials.
type Directory interface {
	// CustomerByCredential returns the customer that has the credential with the
	// given SHA-256, in lower-case hex, and whether there is one.
	CustomerByCredential(sha256hex string) (model.Customer, bool)
	// CustomersKnown reports whether this node has a list of customers.
	CustomersKnown() bool
}

// Bindable is a Checker that needs a Directory. Bind is called after the plug-in's
// Provision and before its Start.
type Bindable interface {
	Checker
	Bind(directory Directory)
}
