// Package credential is the edge that tells which customer sent a request.
// Plug-ins implement Checker; each lives in a folder of its own and registers
// itself with the kernel.
package credential

import (
	"net/http"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("credential")

// The errors of a Checker, wrapped in Error. Test them with errors.Is.
var (
	// ErrMissing tells that the request carries no credential.
	ErrMissing = errs.New("no credential")
	// ErrUnknown tells that no customer has the credential.
	ErrUnknown = errs.New("credential is not known")
	// ErrNoDirectory tells that the customers are not known to this node yet.
	ErrNoDirectory = errs.New("the list of customers is not known yet")
)

// Checker finds the customer of a request. It is safe for concurrent use.
type Checker interface {
	Check(request *http.Request) (model.Customer, error)
}

// Directory finds customers by their credentials.
type Directory interface {
	// CustomerByCredential returns the customer that has the lower-case hex
	// SHA-256 of a credential.
	CustomerByCredential(sha256hex string) (model.Customer, bool)
	// Known reports whether this node has any list of customers.
	Known() bool
}

// Bindable is a Checker that gets its directory after it was provisioned.
type Bindable interface {
	Checker
	Bind(directory Directory)
}
