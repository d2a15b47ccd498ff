package packetnode

import (
	"math"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

const (
	// balancerVerifyInterval is how old the last verification of a balancer's
	// state may grow before the balancer verifies it against the store.
	// Together with the time to distribute a change, changes are in force
	// within 1.5 s; the requirement is 3 s.
	balancerVerifyInterval = 600 * time.Millisecond
	// verifyStagger is added for each live balancer that ranks before this one,
	// so that usually one balancer verifies for all.
	verifyStagger = 150 * time.Millisecond
	// maxStaggerRank is the rank from which no more is added.
	maxStaggerRank = 4
	// agentVerifyInterval is how old the last verification of an agent's state
	// may grow before the agent verifies it. It is longer than that of balancers,
	// because agents receive verification times from balancers.
	agentVerifyInterval = 1600 * time.Millisecond
)

// StateCache holds the newest operators' state that a node knows, and when that
// state was last verified to be current. It is not safe for concurrent use.
type StateCache struct {
	document routing.Document
	state    *routing.State
	digest   uint64
	// verifiedAt is the latest moment at which the state is known to have been
	// current.
	verifiedAt model.Instant
}

// State returns the state, or nil while none is known, and the time of its last
// verification. The state must not be changed.
func (c *StateCache) State() (*routing.State, model.Instant) { return c.state, c.verifiedAt }

// Document returns the document that the state was decoded from.
func (c *StateCache) Document() routing.Document { return c.document }

// StateVersion identifies the state for packet headers.
func (c *StateCache) StateVersion() StateVersion {
	return StateVersion{AsOf: c.document.AsOf, Digest: uint32(c.digest)}
}

// Age returns the time since the last verification.
func (c *StateCache) Age(now model.Instant) time.Duration { return now.Sub(c.verifiedAt) }

// Freshness returns the freshness evidence that heartbeats carry. It is zero
// while no state is known.
func (c *StateCache) Freshness(now model.Instant) Freshness {
	if c.state == nil {
		return Freshness{}
	}
	freshness := Freshness{AsOf: c.document.AsOf, Digest: c.digest, AgeMillis: ageMillis(c.Age(now))}
	if c.state.Config != nil {
		freshness.ConfigVersion = c.state.Config.Version
	}
	return freshness
}

// ageMillis returns an age in the form in which messages carry it.
func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32))
}

// Adopt replaces the state by that of a document that was current at some
// moment after requestedAt. It reports whether the state has changed. It ignores a
// document that is older than the known one, and one with an older configuration
// or none if one is known.
func (c *StateCache) Adopt(document routing.Document, state routing.State, requestedAt model.Instant) (changed bool) {
	digest := document.Digest()
	if c.state != nil {
		if document.AsOf < c.document.AsOf {
			return false
		}
		if c.state.Config != nil && (state.Config == nil || state.Config.Version < c.state.Config.Version) {
			return false
		}
	}
	changed = c.state == nil || digest != c.digest
	if changed {
		c.state, c.digest, c.document = &state, digest, document
	}
	c.document.AsOf = max(c.document.AsOf, document.AsOf)
	c.verifiedAt = max(c.verifiedAt, requestedAt)
	return changed
}

// MarkVerified records that the state was current at some moment after
// requestedAt.
func (c *StateCache) MarkVerified(requestedAt model.Instant) {
	c.verifiedAt = max(c.verifiedAt, requestedAt)
}

// Observe evaluates another node's freshness evidence, according to which that
// node's state was current at verifiedAt. If the states are the same, the
// verification counts for this one too. It reports whether that node has a newer
// state.
func (c *StateCache) Observe(freshness Freshness, verifiedAt model.Instant) (behind bool) {
	if freshness.AsOf == 0 {
		return false
	}
	if c.state == nil {
		return true
	}
	if freshness.Digest == c.digest {
		c.document.AsOf = max(c.document.AsOf, freshness.AsOf)
		c.verifiedAt = max(c.verifiedAt, verifiedAt)
		return false
	}
	return freshness.AsOf > c.document.AsOf
}

// VerifyInterval returns how old the last verification may grow before a node
// of a role verifies its state against the store. Balancers are staggered by their
// ranks, and agents over 400 ms by their incarnations.
func VerifyInterval(role model.Role, rank int, incarnation uint64) time.Duration {
	if role == model.RoleAgent {
		return agentVerifyInterval + time.Duration(incarnation%400)*time.Millisecond
	}
	return balancerVerifyInterval + time.Duration(min(rank, maxStaggerRank))*verifyStagger
}
