package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	nodeCount     = 5
	freshnessStep = 100 * time.Millisecond
)

// freshnessNode is one balancer with its freshness, driven as package cluster
// does it.
type freshnessNode struct {
	freshness Freshness
	paused    bool
	// stale holds answers that wait in the socket while the process is paused.
	stale []answer
}

type answer struct {
	sent  Instant
	age   time.Duration
	known DocumentStatus
	// verified is false for an answer without a verification time.
	verified bool
}

type acceptedChange struct {
	at Instant
	// majorityAt is when a majority first held the revision, 0 if none has.
	majorityAt Instant
}

// freshnessSimulation is a platform with revisions of the out-of-service
// document, and balancers.
type freshnessSimulation struct {
	now          Instant
	platformDown bool
	revision     model.Revision
	changes      []acceptedChange
	nodes        [nodeCount]freshnessNode
	partitioned  [nodeCount]bool
	// fetchesFail makes every fetch of a document fail.
	fetchesFail bool
	// majorityVerifies lets a majority of the nodes establish freshness.
	majorityVerifies bool
}

func (s *freshnessSimulation) reaches(a, b int) bool {
	return !s.nodes[b].paused && s.partitioned[a] == s.partitioned[b]
}

// platformAnswers reports whether a balancer gets answers from the platform.
func (s *freshnessSimulation) platformAnswers(i int) bool {
	return !s.platformDown && !s.partitioned[i]
}

func outRevision(revision model.Revision) model.Revisions {
	return model.Revisions{model.DocumentOutOfService: revision}
}

// ask returns the answer that node b gives now.
func (s *freshnessSimulation) ask(b int) answer {
	age, verified := s.nodes[b].freshness.Age(s.now)
	return answer{sent: s.now, age: age, known: s.nodes[b].freshness.DocumentStatus(), verified: verified}
}

func (s *freshnessSimulation) applyAnswer(i int, received answer) {
	node := &s.nodes[i]
	if received.verified {
		node.freshness.RecordAnswer(received.sent, received.age, received.known)
	} else {
		node.freshness.ObserveRevisions(received.known.Revisions)
	}
	revision := received.known.Revisions[model.DocumentOutOfService]
	if node.freshness.Missing(model.DocumentOutOfService) && revision > 0 && !s.fetchesFail {
		s.holdRevision(i, revision)
	}
}

// holdRevision records that a balancer has accepted a revision, and since when a
// majority holds it and the revisions before it.
func (s *freshnessSimulation) holdRevision(i int, revision model.Revision) {
	if revision == 0 {
		return
	}
	s.nodes[i].freshness.AcceptDocument(model.DocumentOutOfService, revision)
	holders := 0
	for j := range s.nodes {
		if s.nodes[j].freshness.DocumentStatus().Revisions[model.DocumentOutOfService] >= revision {
			holders++
		}
	}
	for r := range revision {
		if holders > nodeCount/2 && s.changes[r].majorityAt == 0 {
			s.changes[r].majorityAt = s.now
		}
	}
}

// tick lets a balancer query all reachable balancers. Balancers 0 and 1 also
// query the platform and, if majorityVerifies, poll a majority.
func (s *freshnessSimulation) tick(i int) {
	s.nodes[i].flushStale(s, i)
	if s.platformAnswers(i) && i < 2 {
		known := DocumentStatus{Revisions: outRevision(s.revision), Confirmed: true}
		s.applyAnswer(i, answer{sent: s.now, known: known, verified: true})
		s.holdRevision(i, s.revision)
	}
	for j := range s.nodes {
		if j != i && s.reaches(i, j) {
			s.applyAnswer(i, s.ask(j))
		}
	}
	if age, verified := s.nodes[i].freshness.Age(s.now); s.majorityVerifies && i < 2 && (!verified || age >= MajorityPollAfter) {
		s.pollMajority(i)
	}
}

// flushStale applies the answers that arrived during a pause. The balancer is
// number i of the simulation.
func (n *freshnessNode) flushStale(s *freshnessSimulation, i int) {
	for _, received := range n.stale {
		s.applyAnswer(i, received)
	}
	n.stale = nil
}

func (s *freshnessSimulation) pollMajority(i int) {
	known, votes := model.Revisions{}, 1
	for j := range s.nodes {
		if j != i && s.reaches(i, j) {
			known = known.Merge(s.ask(j).known.Revisions)
			votes++
		}
	}
	if votes > nodeCount/2 {
		s.applyAnswer(i, answer{sent: s.now, known: DocumentStatus{Revisions: known}, verified: true})
	}
}

// check verifies that no balancer is fresh while it lacks a revision that was
// accepted more than FreshnessLimit ago or, if a majority establishes freshness,
// that a majority has held for that long.
func (s *freshnessSimulation) check(t *rapid.T) {
	for i := range s.nodes {
		until, ok := s.nodes[i].freshness.FreshUntil(FreshnessLimit)
		if !ok || s.now > until {
			continue
		}
		held := s.nodes[i].freshness.DocumentStatus().Revisions[model.DocumentOutOfService]
		for r := int(held); r < len(s.changes); r++ {
			since := s.changes[r].at
			if s.majorityVerifies {
				since = s.changes[r].majorityAt
			}
			if since > 0 && s.now.Sub(since) > FreshnessLimit {
				t.Fatalf("node %d is fresh at %d with revision %d, but revision %d counts from %d", i, s.now, held, r+1, since)
			}
		}
	}
}

// accept stores the next revision in the platform. One balancer, to which it was
// submitted, may hold it at once.
func (s *freshnessSimulation) accept(t *rapid.T) {
	if s.platformDown {
		return
	}
	s.revision++
	s.changes = append(s.changes, acceptedChange{at: s.now})
	i := rapid.IntRange(0, nodeCount-1).Draw(t, "submitted to")
	if !s.nodes[i].paused {
		s.holdRevision(i, s.revision)
	}
}

// pause stops a balancer with unread answers in its socket.
func (s *freshnessSimulation) pause(t *rapid.T, i int) {
	if s.nodes[i].paused {
		return
	}
	j := rapid.IntRange(0, nodeCount-1).Draw(t, "answers late")
	if j != i && s.reaches(i, j) {
		s.nodes[i].stale = append(s.nodes[i].stale, s.ask(j))
	}
	s.nodes[i].paused = true
}

func (s *freshnessSimulation) steps(t *rapid.T, count int) {
	for range count {
		s.now = s.now.Add(freshnessStep)
		for i := range s.nodes {
			if s.nodes[i].paused {
				continue
			}
			s.check(t)
			s.tick(i)
		}
		s.check(t)
	}
}

// TestFreshNodesHoldAcceptedRevisions subjects the freshness of a few balancers
// to pauses, also of all at once, partitions and platform outages.
func TestFreshNodesHoldAcceptedRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &freshnessSimulation{now: Instant(time.Hour), majorityVerifies: rapid.Bool().Draw(t, "majority verifies")}
		node := func(t *rapid.T) int { return rapid.IntRange(0, nodeCount-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"steps":       func(t *rapid.T) { s.steps(t, rapid.IntRange(1, 40).Draw(t, "steps")) },
			"accept":      s.accept,
			"pause":       func(t *rapid.T) { s.pause(t, node(t)) },
			"resume":      func(t *rapid.T) { s.nodes[node(t)].paused = false },
			"cut":         func(t *rapid.T) { s.partitioned[node(t)] = true },
			"heal":        func(t *rapid.T) { s.partitioned = [nodeCount]bool{} },
			"platform":    func(t *rapid.T) { s.platformDown = !s.platformDown },
			"pause all":   func(t *rapid.T) { s.pauseAll(t) },
			"nobody runs": func(t *rapid.T) { s.now = s.now.Add(rapid.SampledFrom(gaps).Draw(t, "gap")) },
			"split":       func(t *rapid.T) { s.split(t, node(t), node(t)) },
			"fetches":     func(t *rapid.T) { s.fetchesFail = !s.fetchesFail },
		})
		s.settle(t)
	})
}

// gaps are the periods for which no process runs in the action "nobody runs".
var gaps = []time.Duration{0, time.Second, time.Hour}

func (s *freshnessSimulation) pauseAll(t *rapid.T) {
	for i := range s.nodes {
		s.pause(t, i)
	}
	s.steps(t, 50)
}

// split partitions two balancers off together while a change is accepted.
func (s *freshnessSimulation) split(t *rapid.T, a, b int) {
	s.partitioned[a], s.partitioned[b] = true, true
	s.accept(t)
	s.steps(t, 40)
}

// settle ends pauses and partitions. With the platform down, a majority must
// suffice.
func (s *freshnessSimulation) settle(t *rapid.T) {
	s.partitioned = [nodeCount]bool{}
	s.fetchesFail = false
	for i := range s.nodes {
		s.nodes[i].paused = false
	}
	s.platformDown = s.majorityVerifies && s.revision > 0
	s.steps(t, 10)
	// If balancer 0 holds no revision now, none does, so none has to be fresh: without
	// the platform they may be unable to confirm whether a revision exists.
	if s.platformDown && s.nodes[0].freshness.DocumentStatus().Revisions[model.DocumentOutOfService] == 0 {
		return
	}
	for i := range s.nodes {
		if until, ok := s.nodes[i].freshness.FreshUntil(FreshnessLimit); !ok || s.now > until {
			t.Fatalf("node %d does not become fresh again", i)
		}
	}
}
