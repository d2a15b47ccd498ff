// Package routing holds the operators' state: the configuration with its routes and
// services, and the availability zones that are out of service. A State is immutable;
// nodes replace it as a whole.
package routing

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("routing")

// Class is the kind of a route's requests.
type Class uint8

// The classes.
const (
	// ClassRead requests are idempotent.
	ClassRead Class = iota
	// ClassBooking requests are not idempotent and run at most once.
	ClassBooking
	// ClassDownload requests are idempotent and have large responses.
	ClassDownload
)

// WeightedService is one service of a route with its share of the new flows.
type WeightedService struct {
	Service model.Service
	Weight  uint32
}

// Route defines which services get the new flows to an address.
type Route struct {
	Name    string
	Address flow.Endpoint
	Class   Class
	// Priority is the priority of the route's requests, 0 being the highest.
	Priority int
	Services []WeightedService
	// ExpectedLatency is the response time that callers expect.
	ExpectedLatency time.Duration
}

// PickService returns the service of a new flow, or "" if all weights are 0. Equal
// hashes get the same service.
func (r *Route) PickService(hash uint64) model.Service {
	var total uint64
	for _, choice := range r.Services {
		total += uint64(choice.Weight)
	}
	if total == 0 {
		return ""
	}
	point := hash % total
	for _, choice := range r.Services {
		if point < uint64(choice.Weight) {
			return choice.Service
		}
		point -= uint64(choice.Weight)
	}
	return ""
}

// Allows reports whether new flows may go to a service.
func (r *Route) Allows(service model.Service) bool {
	for _, choice := range r.Services {
		if choice.Service == service && choice.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is the operators' configuration of a service.
type Service struct {
	Name model.Service
	// HealthPath is the path of the health check at each target.
	HealthPath string
	// WarmUp is how long a new target is cold; WarmUpRate is the number of new flows
	// per second that a cold target can take.
	WarmUp     time.Duration
	WarmUpRate Rate
	// MaxFlows is the maximum number of flows of one target; 0 means no limit.
	MaxFlows int
}

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases with each change.
	Version  uint64
	Routes   map[flow.Endpoint]*Route
	Services map[model.Service]*Service
	// IdleTimeout is how long a flow must be idle before it may be discarded.
	IdleTimeout time.Duration
}

// State is the operators' state: everything that they have declared.
type State struct {
	// Config is nil while the operators have not declared a configuration.
	Config *Config
	// ZonesOut holds the availability zones that are out of service.
	ZonesOut map[model.Zone]bool
}

// Document is a State in the form stored by the platform. Nodes pass it on unchanged.
type Document struct {
	// AsOf is a version of the platform's store at which the entries were current.
	AsOf    platform.Version
	Entries []platform.Entry
}

// Digest returns a hash of the document's contents (FNV-1a over keys and versions):
// documents with the same digest hold the same state.
func (d Document) Digest() uint64 {
	digest := uint64(14695981039346656037)
	mix := func(b byte) { digest = (digest ^ uint64(b)) * 1099511628211 }
	for _, entry := range d.Entries {
		for i := range len(entry.Key) {
			mix(entry.Key[i])
		}
		for shift := 0; shift < 64; shift += 8 {
			mix(byte(entry.Version >> shift))
		}
	}
	return digest
}
