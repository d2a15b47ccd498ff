// Package platform is the interface to the platform's key-value service, which
// holds all persistent data. Plug-ins implement Store; each has its own package
// and registers itself with package kernel.
package platform

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// MaxValueSize is the maximum size of a stored value, in bytes.
const MaxValueSize = 1 << 20

// Error is the class of all errors of this package.
var Error = errs.Class("platform")

// The errors that a Store returns, wrapped in Error. Test them with errors.Is.
var (
	// ErrNotFound is returned when the key has no value.
	ErrNotFound = errs.New("key not found")
	// ErrConflict is returned when the key's version is not the expected one.
	// The write did not take effect.
	ErrConflict = errs.New("version conflict")
	// ErrUnavailable is returned when the call had no effect: the service
	// refused it or could not be reached before anything was sent. It is also
	// returned when an idempotent call had no usable response; such a call can
	// simply be made again.
	ErrUnavailable = errs.New("service unavailable")
	// ErrUnknownOutcome is returned when a write may or may not have taken
	// effect.
	ErrUnknownOutcome = errs.New("outcome of the write is unknown")
	// ErrTooLarge is returned when the value exceeds MaxValueSize.
	ErrTooLarge = errs.New("value too large")
	// ErrLeaseExpired is returned when the lease is no longer valid.
	ErrLeaseExpired = errs.New("lease expired")
	// ErrHistoryGone is returned when the service no longer has the history
	// that a watch would continue from.
	ErrHistoryGone = errs.New("history is no longer kept")
	// ErrOverBudget is returned when this process has exhausted its call rate
	// limit.
	ErrOverBudget = errs.New("call budget exhausted")
)

// Version identifies one write. Versions increase across all keys of the
// service. 0 means that the key has no value.
type Version uint64

// LeaseID identifies a lease. 0 means no lease.
type LeaseID uint64

// Entry is one key and its value.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// Write is a conditional write. It takes effect only while the key's version is
// Expect, where 0 means that the key is absent. A value bound to a lease is
// deleted when the lease ends.
type Write struct {
	Key    string
	Value  []byte
	Expect Version
	Lease  LeaseID
}

// Store is a client of the key-value service. All methods are safe for
// concurrent use, return when their context ends, and return errors of the
// class Error.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys have the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put makes a conditional write and returns the new version. It never
	// retries a write whose outcome is unknown.
	Put(ctx context.Context, write Write) (Version, error)
	// Delete removes a key if its version is expect.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch returns the entries under a prefix as soon as a write newer than
	// after has affected the prefix, together with the version as of which they
	// are complete. If the service's wait time ends without a change, it
	// returns no entries and after itself. A watch counts as one call against
	// the rate limit.
	Watch(ctx context.Context, prefix string, after Version) (PrefixState, error)
	// Grant creates a lease that ends after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts the lease's ttl, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the values bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Expectation states the version that a key is expected to have; 0 means that
// the key has no value.
type Expectation struct {
	Key     string
	Version Version
}

// VerifyingStore is a Store that can verify that known entries are current at a
// lower cost than by reading them again. Its methods return errors of the class
// Error.
type VerifyingStore interface {
	Store
	// Snapshot returns all entries under a prefix, and a version as of which
	// they are complete. A relaxed snapshot is cheaper and may be some seconds
	// old.
	Snapshot(ctx context.Context, prefix string, relaxed bool) (PrefixState, error)
	// Verify returns nil if all expectations held at one moment during the
	// call, and ErrConflict if not. It changes nothing.
	Verify(ctx context.Context, expectations []Expectation) error
	// Replace makes at most MaxReplaced writes in one call, all or none, whatever
	// versions the keys have. If its outcome is unknown, it may still take effect
	// seconds later. It returns ErrLeaseExpired if a write's lease has ended.
	Replace(ctx context.Context, writes []Write) error
}

// MaxReplaced is the maximum number of writes of one Replace.
const MaxReplaced = 32

// PrefixState is the result of a watch or a snapshot: all entries under the prefix as
// of Version. Changed is always set for a snapshot. It is unset if a watch ended
// without a change; there are then no entries, and Version is that which the watch
// began from.
type PrefixState struct {
	Entries []Entry `json:"entries"`
	Version Version `json:"version"`
	Changed bool    `json:"changed"`
}
