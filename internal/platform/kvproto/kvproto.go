// Package kvproto defines the protocol of the platform's key-value service:
// JSON over HTTP/1.1 with conditional requests and long-poll watches.
// docs/design/001-platform-edge.md describes it.
package kvproto

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("kvproto")

// The paths of the service.
const (
	// PathEntry reads (GET), writes (PUT) or removes (DELETE) the entry of the
	// key in the query parameter "key".
	PathEntry = "/v1/entry"
	// PathList reads the entries whose keys have the prefix in the query
	// parameter "prefix".
	PathList = "/v1/list"
	// PathWatch waits for a write under "prefix" that is newer than "after".
	PathWatch = "/v1/watch"
	// PathLeases creates a lease (POST).
	PathLeases = "/v1/leases"
	// PathLease keeps alive (POST) or revokes (DELETE) the lease in the query
	// parameter "lease".
	PathLease = "/v1/lease"
)

// The query parameters.
const (
	QueryKey    = "key"
	QueryPrefix = "prefix"
	// QueryAfter is the last known version in a watch.
	QueryAfter = "after"
	QueryLease = "lease"
	// QueryWait is the maximum time that a watch waits, in milliseconds.
	QueryWait = "wait_ms"
)

// HeaderCaller identifies the calling process.
const HeaderCaller = "Balsam-Caller"

// MaxBody is the maximum size of a request's body, in bytes: a value in base64
// plus its envelope.
const MaxBody = platform.MaxValueSize*4/3 + 4096

// Write is the request body of a write.
type Write struct {
	Value []byte           `json:"value"`
	Lease platform.LeaseID `json:"lease,omitempty"`
}

// Written is the response to a write.
type Written struct {
	Version platform.Version `json:"version"`
}

// Listing is the response to a list.
type Listing struct {
	Entries []platform.Entry `json:"entries"`
}

// Grant is the request for a lease.
type Grant struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// Granted is the response to a Grant.
type Granted struct {
	Lease platform.LeaseID `json:"lease"`
}

// ErrorResponse is the response to a call that failed.
type ErrorResponse struct {
	Error string `json:"error"`
}

// FormatETag returns the entity tag of a version.
func FormatETag(version platform.Version) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(version), 10))
}

// ParseETag returns the version that an entity tag stands for.
func ParseETag(tag string) (platform.Version, error) {
	digits, quoted := strings.CutPrefix(tag, `"`)
	digits, closed := strings.CutSuffix(digits, `"`)
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || !quoted || !closed {
		return 0, Error.New("malformed entity tag %q", tag)
	}
	return platform.Version(version), nil
}
