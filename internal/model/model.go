// Package model defines the types that all other packages share: names, roles,
// revisions, instants and shared keys. Except for Now, which reads the clock, it
// only formats, hashes and compares them.
package model

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Zone is the name of an availability zone, as in "gauteng-a".
type Zone string

// Tag returns a 16-bit hash of the zone, short enough for a connection ID.
func (z Zone) Tag() ZoneTag {
	return ZoneTag(xxhash.Sum64String(string(z)))
}

// ZoneTag is the 16-bit hash of a zone name. Settings that name two zones with
// the same tag are refused.
type ZoneTag uint16

// Service is the name of a service, as in "memberdesk".
type Service string

// Tag returns a 32-bit hash of the service, short enough for a connection ID.
func (s Service) Tag() ServiceTag {
	return ServiceTag(xxhash.Sum64String(string(s)))
}

// ServiceTag is the 32-bit hash of a service name. Settings that name two
// services with the same tag are refused.
type ServiceTag uint32

// Customer is the name of a customer: a member, a tour desk or a visitor.
type Customer string

// NodeID names one process of the system. It is unique in a deployment and does
// not change when the process restarts on the same VM.
type NodeID string

// Role is the function of a node.
type Role uint8

// The roles of nodes.
const (
	// RoleBalancer nodes receive the callers' datagrams and steer them to agents.
	RoleBalancer Role = 1
	// RoleAgent nodes run beside one target each and pass requests to it.
	RoleAgent Role = 2
)

// String returns the name of the role used in logs and status reports.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	default:
		return fmt.Sprintf("role(%d)", uint8(r))
	}
}

// Revision numbers the accepted versions of one document. The first accepted
// version is 1; 0 means that no version is known.
type Revision uint64

// DocumentKind identifies one of the operators' documents.
type DocumentKind uint8

// The operators' documents.
const (
	// DocumentCustomers lists the customers with their plans.
	DocumentCustomers DocumentKind = 0
	// DocumentPlans lists the plans with their allowances.
	DocumentPlans DocumentKind = 1
	// DocumentOutOfService lists the zones and targets that are out of service.
	DocumentOutOfService DocumentKind = 2
	// DocumentCount is the number of document kinds.
	DocumentCount = 3
)

// String returns the name of the document used in keys, logs and commands.
func (k DocumentKind) String() string {
	switch k {
	case DocumentCustomers:
		return "customers"
	case DocumentPlans:
		return "plans"
	case DocumentOutOfService:
		return "out"
	default:
		return fmt.Sprintf("document(%d)", uint8(k))
	}
}

// Revisions holds the revision of each document, indexed by DocumentKind.
type Revisions [DocumentCount]Revision

// Covers reports whether r is at least as new as other in every document.
func (r Revisions) Covers(other Revisions) bool {
	for i := range r {
		if r[i] < other[i] {
			return false
		}
	}
	return true
}

// Merge returns the newer revision of each document.
func (r Revisions) Merge(other Revisions) Revisions {
	for i := range r {
		r[i] = max(r[i], other[i])
	}
	return r
}

// Instant is a reading of a monotonic clock: the time since an arbitrary origin
// that is the same for all readings in one process. Decision logic takes
// Instants as arguments instead of reading a clock.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }
