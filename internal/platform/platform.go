// Package platform is the edge towards the platform's key-value service, which
// holds everything that lasts. Plug-ins implement Store; each lives in a folder
// of its own and registers itself with the kernel.
package platform

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// MaxValueSize is the largest value that the platform keeps, in bytes.
const MaxValueSize = 1 << 20

// Error is the class of all errors of this layer.
var Error = errs.Class("platform")

// The errors that a Store returns, wrapped in Error. Test them with errors.Is.
var (
	// ErrNotFound tells that the key has no value.
	ErrNotFound = errs.New("key not found")
	// ErrConflict tells that the value's version was not the expected one. The
	// write did not take effect.
	ErrConflict = errs.New("version conflict")
	// ErrUnavailable tells that the call had no effect: the service refused it
	// or could not be reached before anything was sent.
	ErrUnavailable = errs.New("service unavailable")
	// ErrUnknownOutcome tells that a write may or may not have taken effect.
	ErrUnknownOutcome = errs.New("outcome of the write is unknown")
	// ErrTooLarge tells that the value exceeds MaxValueSize.
	ErrTooLarge = errs.New("value too large")
	// ErrLeaseExpired tells that the lease is no longer valid.
	ErrLeaseExpired = errs.New("lease expired")
	// ErrHistoryGone tells that the service no longer holds the history that a
	// watch wants to continue from.
	ErrHistoryGone = errs.New("history is no longer kept")
	// ErrOverBudget tells that this process has used up its budget of calls.
	ErrOverBudget = errs.New("call budget exhausted")
)

// Version identifies one write of the whole service. Later writes have larger
// versions. 0 stands for a key without a value.
type Version uint64

// LeaseID identifies a lease. 0 stands for no lease.
type LeaseID uint64

// Entry is one key with its value.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// Write is a conditional write. It takes effect only while the key's version
// is Expect, where 0 stands for an absent key. A value under a lease is
// deleted when the lease ends.
type Write struct {
	Key    string
	Value  []byte
	Expect Version
	Lease  LeaseID
}

// Store is the key-value service as the system sees it. All methods are safe
// for concurrent use, end when their context ends, and return errors of the
// class Error.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys have the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put carries out a conditional write and returns the new version. It never
	// repeats a write whose outcome is unknown.
	Put(ctx context.Context, write Write) (Version, error)
	// Delete removes a key while its version is expect.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch returns the entries under a prefix as soon as a write newer than
	// after has touched the prefix, together with the version up to which they
	// are complete. It returns no entries and after itself when the service's
	// wait time ends without a change. Each call counts as one call.
	Watch(ctx context.Context, prefix string, after Version) (Change, error)
	// Grant makes a lease that ends after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive starts the lease's ttl anew, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the values under it.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Expectation states the version that a key is thought to have; 0 stands for a
// key without a value.
type Expectation struct {
	Key     string
	Version Version
}

// VerifyingStore is a Store that can tell what is current at less cost than by reading
// all of it again. Its methods return errors of the class Error.
type VerifyingStore interface {
	Store
	// Snapshot returns all entries under a prefix and a version as of which they
	// are complete. A relaxed snapshot is cheaper and may be some seconds old.
	Snapshot(ctx context.Context, prefix string, relaxed bool) (Change, error)
	// Verify returns nil if all expectations held at one moment during the call,
	// and ErrConflict if not. It changes nothing.
	Verify(ctx context.Context, expectations []Expectation) error
}

// Change is the result of a watch: all entries under the prefix as of Version.
type Change struct {
	Entries []Entry `json:"entries"`
	Version Version `json:"version"`
	Changed bool    `json:"changed"`
}
