package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Times of freshness.
const (
	// VerifyInterval is the time between two questions for proof.
	VerifyInterval = 350 * time.Millisecond
	// FreshnessLimit is the age up to which a proof lets a node send new work.
	FreshnessLimit = 2500 * time.Millisecond
	// MajorityPollAfter is the age of a root's proof from which on it asks a
	// majority of the nodes.
	MajorityPollAfter = 2 * VerifyInterval
	// electorateHold is how long a node that was found dead still counts, so
	// that a small part that was cut off does not take itself for the whole.
	electorateHold = 2 * time.Minute
	// electorateAgents is the most agents that are asked, so that a few
	// balancers can do without each other.
	electorateAgents = 16
)

// DocumentStatus is what an answer says of the operators' documents.
type DocumentStatus struct {
	// Revisions are the newest that the answering node holds.
	Revisions model.Revisions
	// Confirmed tells that the node knows the list of what is out of service,
	// or that there is none yet.
	Confirmed bool
}

// Freshness decides whether a node knows the newest list of what is out of service.
// A proof has an age, which counts from when the first question was sent and is
// passed on from node to node, so that nodes cannot keep each other fresh.
type Freshness struct {
	held model.Revisions
	// judged holds the revisions that were refused as bad.
	judged model.Revisions
	needed model.Revisions
	at     Instant
	proven bool
	// confirmed is as in Knowledge.
	confirmed bool
}

// AcceptDocument notes that a document was taken.
func (p *Freshness) AcceptDocument(kind model.DocumentKind, revision model.Revision) {
	p.held[kind] = max(p.held[kind], revision)
	p.needed = p.needed.Merge(p.held)
	if kind == model.DocumentOutOfService {
		p.confirmed = true
	}
}

// RejectDocument notes that a revision was found bad, so that nothing waits for it.
func (p *Freshness) RejectDocument(kind model.DocumentKind, revision model.Revision) {
	p.judged[kind] = max(p.judged[kind], revision)
}

// ObserveRevisions notes revisions that exist somewhere.
func (p *Freshness) ObserveRevisions(revisions model.Revisions) { p.needed = p.needed.Merge(revisions) }

// RecordAnswer notes an answer to a question that was sent at an instant, from a node
// whose own proof had an age then. The platform's own answer has the age 0.
func (p *Freshness) RecordAnswer(sent Instant, age time.Duration, known DocumentStatus) {
	p.ObserveRevisions(known.Revisions)
	p.confirmed = p.confirmed || known.Confirmed && known.Revisions[model.DocumentOutOfService] == 0
	at := sent.Add(-max(age, 0))
	if !p.proven || at > p.at {
		p.at, p.proven = at, true
	}
}

// Missing reports whether a newer revision of a document exists than is held.
func (p *Freshness) Missing(kind model.DocumentKind) bool {
	return p.needed[kind] > max(p.held[kind], p.judged[kind])
}

// FreshUntil returns the last instant at which the node is fresh. It reports false
// while a newer list of what is out exists, or none was ever seen.
func (p *Freshness) FreshUntil(limit time.Duration) (Instant, bool) {
	if !p.proven || !p.confirmed || p.Missing(model.DocumentOutOfService) {
		return 0, false
	}
	return p.at.Add(limit), true
}

// Age returns the age of the proof, and false when there is none that others
// may rely on.
func (p *Freshness) Age(now Instant) (time.Duration, bool) {
	if _, ok := p.FreshUntil(0); !ok {
		return 0, false
	}
	return max(now.Sub(p.at), 0), true
}

// DocumentStatus returns what this node tells others.
func (p *Freshness) DocumentStatus() DocumentStatus {
	return DocumentStatus{Revisions: p.held, Confirmed: p.confirmed}
}

// Voters returns the nodes of which a majority proves freshness while the
// platform is silent: all balancers and a bounded number of agents. Nodes that
// were found dead count for some time, nodes that left do not.
func (t *Table) Voters(now Instant) []Record {
	var voters, agents []*entry
	for _, held := range t.entries {
		switch {
		case !held.counts(now):
		case held.record.Role == model.RoleBalancer:
			voters = append(voters, held)
		default:
			agents = append(agents, held)
		}
	}
	byHash := func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.record.Node, b.record.Node))
	}
	slices.SortFunc(agents, byHash)
	voters = append(voters, agents[:min(len(agents), electorateAgents)]...)
	slices.SortFunc(voters, byHash)
	records := make([]Record, len(voters))
	for i, voter := range voters {
		records[i] = voter.record
	}
	return records
}

func (e *entry) counts(now Instant) bool {
	switch e.record.State {
	case StateLeft:
		return false
	case StateDown:
		return now.Sub(e.goneAt) < electorateHold
	default:
		return true
	}
}
