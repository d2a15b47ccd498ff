// Package kvproto is the published protocol of the platform's key-value
// service: JSON over HTTP/1.1 with conditional requests and long-poll watches.
// docs/design/001-platform-edge.md describes it.
package kvproto

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/platform"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("kvproto")

// The paths of the service.
const (
	// PathEntry reads (GET), writes (PUT) or removes (DELETE) the entry of the
	// query parameter "key".
	PathEntry = "/v1/entry"
	// PathList reads the entries under the query parameter "prefix".
	PathList = "/v1/list"
	// PathWatch waits for a write under "prefix" that is newer than "after".
	PathWatch = "/v1/watch"
	// PathLeases makes a lease (POST).
	PathLeases = "/v1/leases"
	// PathLease keeps alive (POST) or revokes (DELETE) the lease of the query
	// parameter "lease".
	PathLease = "/v1/lease"
)

// The query parameters.
const (
	QueryKey    = "key"
	QueryPrefix = "prefix"
	QueryAfter  = "after"
	QueryLease  = "lease"
	// QueryWait is the longest time that a watch waits, in milliseconds.
	QueryWait = "wait_ms"
)

// HeaderCaller names the calling process.
const HeaderCaller = "Balsam-Caller"

// MaxBody is the largest body of a request, in bytes: a value in base64 with
// room for its envelope.
const MaxBody = platform.MaxValueSize*4/3 + 4096

// Write is the body of a write.
type Write struct {
	Value []byte           `json:"value"`
	Lease platform.LeaseID `json:"lease,omitempty"`
}

// Written is the answer to a write.
type Written struct {
	Version platform.Version `json:"version"`
}

// Listing is the answer to a list.
type Listing struct {
	Entries []platform.Entry `json:"entries"`
}

// Grant asks for a lease.
type Grant struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// Granted is the answer to a Grant.
type Granted struct {
	Lease platform.LeaseID `json:"lease"`
}

// Fault is the answer to a call that failed.
type Fault struct {
	Error string `json:"error"`
}

// FormatETag returns the entity tag of a version.
func FormatETag(version platform.Version) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(version), 10))
}

// ParseETag returns the version of an entity tag.
func ParseETag(tag string) (platform.Version, error) {
	digits, quoted := strings.CutPrefix(tag, `"`)
	digits, closed := strings.CutSuffix(digits, `"`)
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || !quoted || !closed {
		return 0, Error.New("malformed entity tag %q", tag)
	}
	return platform.Version(version), nil
}
