package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Timing of freshness.
const (
	// VerifyInterval is the interval between two freshness queries.
	VerifyInterval = 350 * time.Millisecond
	// FreshnessLimit is the maximum age of the verification time at which a
	// node may send new work.
	FreshnessLimit = 2500 * time.Millisecond
	// MajorityPollAfter is the age of the verification time from which a root
	// polls a majority of the nodes.
	MajorityPollAfter = 2 * VerifyInterval
	// downVoterHold is how long a node that was marked down still counts as a
	// voter, so that a small partition does not mistake itself for the whole
	// deployment.
	downVoterHold = 2 * time.Minute
	// maxAgentVoters is the maximum number of agents among the voters. Agents
	// vote so that a few balancers do not depend on each other for a majority.
	maxAgentVoters = 16
)

// DocumentStatus is a node's knowledge of the operators' documents, sent with
// its answers.
type DocumentStatus struct {
	// Revisions are the newest that the answering node holds.
	Revisions model.Revisions
	// Confirmed reports whether the node knows the out-of-service document, or
	// knows that there is none yet.
	Confirmed bool
}

// Freshness tracks whether a node knows the newest out-of-service document. The
// verification time is the instant at which the first query of a chain of
// answers was sent: the age of the evidence is passed on from node to node, so
// that nodes cannot keep each other fresh without a new answer from the
// platform or a majority.
type Freshness struct {
	// held contains the newest revisions that the node has accepted, rejected
	// the newest that failed validation, and newest the newest known to exist at
	// any node.
	held       model.Revisions
	rejected   model.Revisions
	newest     model.Revisions
	verifiedAt Instant
	verified   bool
	// confirmed has the meaning of DocumentStatus.Confirmed.
	confirmed bool
}

// AcceptDocument records that the node now holds a revision of a document.
func (f *Freshness) AcceptDocument(kind model.DocumentKind, revision model.Revision) {
	f.held[kind] = max(f.held[kind], revision)
	f.newest = f.newest.Merge(f.held)
	if kind == model.DocumentOutOfService {
		f.confirmed = true
	}
}

// RejectDocument records that a revision failed validation, so that it no
// longer counts as missing.
func (f *Freshness) RejectDocument(kind model.DocumentKind, revision model.Revision) {
	f.rejected[kind] = max(f.rejected[kind], revision)
}

// ObserveRevisions records revisions that exist at some node.
func (f *Freshness) ObserveRevisions(revisions model.Revisions) { f.newest = f.newest.Merge(revisions) }

// RecordAnswer records the answer of a node to a query sent at an instant. The
// age is that of the answering node's own verification time; an answer from the
// platform has the age 0.
func (f *Freshness) RecordAnswer(sent Instant, age time.Duration, known DocumentStatus) {
	f.ObserveRevisions(known.Revisions)
	f.confirmed = f.confirmed || known.Confirmed && known.Revisions[model.DocumentOutOfService] == 0
	at := sent.Add(-max(age, 0))
	if !f.verified || at > f.verifiedAt {
		f.verifiedAt, f.verified = at, true
	}
}

// Missing reports whether a newer revision of a document is known to exist than
// the node holds or has rejected.
func (f *Freshness) Missing(kind model.DocumentKind) bool {
	return f.newest[kind] > max(f.held[kind], f.rejected[kind])
}

// FreshUntil returns the last instant at which the node counts as fresh, which is
// limit after the verification time. It returns false if there is no verification
// time, while a newer out-of-service document is known to exist, or while the node
// knows neither such a document nor that there is none yet.
func (f *Freshness) FreshUntil(limit time.Duration) (Instant, bool) {
	if !f.verified || !f.confirmed || f.Missing(model.DocumentOutOfService) {
		return 0, false
	}
	return f.verifiedAt.Add(limit), true
}

// Age returns the age of the verification time, and false if there is none that
// other nodes may rely on.
func (f *Freshness) Age(now Instant) (time.Duration, bool) {
	if _, ok := f.FreshUntil(0); !ok {
		return 0, false
	}
	return max(now.Sub(f.verifiedAt), 0), true
}

// DocumentStatus returns the status that this node reports to others.
func (f *Freshness) DocumentStatus() DocumentStatus {
	return DocumentStatus{Revisions: f.held, Confirmed: f.confirmed}
}

// Voters returns the nodes of which a majority establishes freshness while the
// platform is unavailable: all balancers and at most maxAgentVoters agents.
// Nodes that were marked down count for downVoterHold; nodes that left do not
// count.
func (t *Table) Voters(now Instant) []Record {
	var voters, agents []*entry
	for _, held := range t.entries {
		switch {
		case !held.isVoter(now):
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
	voters = append(voters, agents[:min(len(agents), maxAgentVoters)]...)
	slices.SortFunc(voters, byHash)
	records := make([]Record, len(voters))
	for i, voter := range voters {
		records[i] = voter.record
	}
	return records
}

func (e *entry) isVoter(now Instant) bool {
	switch e.record.State {
	case StateLeft:
		return false
	case StateDown:
		return now.Sub(e.endedAt) < downVoterHold
	default:
		return true
	}
}
