package packetnode

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

const (
	// proofInterval is how old a balancer lets the proof of its state grow before
	// it asks the store. With the time to spread, changes are in force within
	// 1.5 s, where the users allow 3 s.
	proofInterval = 600 * time.Millisecond
	// rankInterval is added for each live balancer that comes before this one, so
	// that usually one asks for all.
	rankInterval = 150 * time.Millisecond
	// maxRank bounds what is added.
	maxRank = 4
	// agentInterval is the same for agents, which hear of proofs from balancers.
	agentInterval = 1600 * time.Millisecond
)

// StateCache is what a node knows of the operators' state, and since when that is
// proven. It is not safe for concurrent use.
type StateCache struct {
	document routing.Document
	state    *routing.State
	print    uint64
	// proven is the latest moment at which the state was the newest for certain.
	proven model.Instant
}

// State returns the state, or nil while none is known, and when it was proven.
func (k *StateCache) State() (*routing.State, model.Instant) { return k.state, k.proven }

// Document returns the document that the state was decoded from.
func (k *StateCache) Document() routing.Document { return k.document }

// StateVersion returns which state is known.
func (k *StateCache) StateVersion() StateVersion {
	return StateVersion{AsOf: k.document.AsOf, Digest: uint32(k.print)}
}

// Age returns how long ago the state was the newest for certain.
func (k *StateCache) Age(now model.Instant) time.Duration { return now.Sub(k.proven) }

// Freshness returns what is told to others.
func (k *StateCache) Freshness(now model.Instant) Freshness {
	if k.state == nil {
		return Freshness{}
	}
	proof := Freshness{AsOf: k.document.AsOf, Digest: k.print, AgeMillis: uint32(max(0, k.Age(now).Milliseconds()))}
	if k.state.Config != nil {
		proof.Version = k.state.Config.Version
	}
	return proof
}

// Adopt takes a document that was the newest at some moment after asked. It
// reports whether the state has changed. A state never goes back.
func (k *StateCache) Adopt(document routing.Document, state routing.State, asked model.Instant) (changed bool) {
	print := document.Print()
	if k.state != nil {
		if document.AsOf < k.document.AsOf {
			return false
		}
		if k.state.Config != nil && (state.Config == nil || state.Config.Version < k.state.Config.Version) {
			return false
		}
	}
	changed = k.state == nil || print != k.print
	if changed {
		k.state, k.print, k.document = &state, print, document
	}
	k.document.AsOf = max(k.document.AsOf, document.AsOf)
	k.proven = max(k.proven, asked)
	return changed
}

// MarkVerified takes note that the state was the newest at some moment after asked.
func (k *StateCache) MarkVerified(asked model.Instant) { k.proven = max(k.proven, asked) }

// Observe takes another node's proof. It reports whether that node knows of a newer
// state.
func (k *StateCache) Observe(proof Freshness, at model.Instant) (behind bool) {
	if proof.AsOf == 0 {
		return false
	}
	if k.state == nil {
		return true
	}
	if proof.Digest == k.print {
		k.document.AsOf = max(k.document.AsOf, proof.AsOf)
		k.proven = max(k.proven, at)
		return false
	}
	return proof.AsOf > k.document.AsOf
}

// VerifyInterval returns how old the proof may grow before a node asks the store.
func VerifyInterval(role model.Role, rank int, incarnation uint64) time.Duration {
	if role == model.RoleAgent {
		return agentInterval + time.Duration(incarnation%400)*time.Millisecond
	}
	return proofInterval + time.Duration(min(rank, maxRank))*rankInterval
}
