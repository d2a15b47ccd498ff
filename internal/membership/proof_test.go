package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	provers   = 5
	proofStep = 100 * time.Millisecond
)

// prover is one balancer with its proof, as a shell drives it.
type prover struct {
	proof  Freshness
	paused bool
	// stale are answers that wait in the socket while the process is paused.
	stale []answer
}

type answer struct {
	sent  Instant
	age   time.Duration
	known DocumentStatus
	// proven is false for an answer without proof.
	proven bool
}

type accepted struct {
	at Instant
	// majorityAt is when a majority held the revision, 0 while none does.
	majorityAt Instant
}

// proofWorld is a platform with revisions of what is out, and balancers.
type proofWorld struct {
	now      Instant
	down     bool
	revision model.Revision
	changes  []accepted
	nodes    [provers]prover
	cut      [provers]bool
	// unfetched makes every fetch of a document fail.
	unfetched bool
	// collecting allows proof by a majority.
	collecting bool
}

func (w *proofWorld) reaches(a, b int) bool { return !w.nodes[b].paused && w.cut[a] == w.cut[b] }

// platformAnswers tells whether a balancer gets answers of the platform.
func (w *proofWorld) platformAnswers(i int) bool { return !w.down && !w.cut[i] }

func out(revision model.Revision) model.Revisions {
	return model.Revisions{model.DocumentOutOfService: revision}
}

// ask makes the answer that node b gives now.
func (w *proofWorld) ask(b int) answer {
	age, proven := w.nodes[b].proof.Age(w.now)
	return answer{sent: w.now, age: age, known: w.nodes[b].proof.DocumentStatus(), proven: proven}
}

func (w *proofWorld) take(i int, got answer) {
	node := &w.nodes[i]
	if got.proven {
		node.proof.RecordAnswer(got.sent, got.age, got.known)
	} else {
		node.proof.ObserveRevisions(got.known.Revisions)
	}
	revision := got.known.Revisions[model.DocumentOutOfService]
	if node.proof.Missing(model.DocumentOutOfService) && revision > 0 && !w.unfetched {
		w.hold(i, revision)
	}
}

func (w *proofWorld) hold(i int, revision model.Revision) {
	if revision == 0 {
		return
	}
	w.nodes[i].proof.AcceptDocument(model.DocumentOutOfService, revision)
	holders := 0
	for j := range w.nodes {
		if w.nodes[j].proof.DocumentStatus().Revisions[model.DocumentOutOfService] >= revision {
			holders++
		}
	}
	for r := range revision {
		if holders > provers/2 && w.changes[r].majorityAt == 0 {
			w.changes[r].majorityAt = w.now
		}
	}
}

// tick lets a balancer ask whom it can.
func (w *proofWorld) tick(i int) {
	w.nodes[i].flushStale(w, i)
	if w.platformAnswers(i) && i < 2 {
		known := DocumentStatus{Revisions: out(w.revision), Confirmed: true}
		w.take(i, answer{sent: w.now, known: known, proven: true})
		w.hold(i, w.revision)
	}
	for j := range w.nodes {
		if j != i && w.reaches(i, j) {
			w.take(i, w.ask(j))
		}
	}
	if age, proven := w.nodes[i].proof.Age(w.now); w.collecting && i < 2 && (!proven || age >= MajorityPollAfter) {
		w.collect(i)
	}
}

func (p *prover) flushStale(w *proofWorld, i int) {
	for _, got := range p.stale {
		w.take(i, got)
	}
	p.stale = nil
}

func (w *proofWorld) collect(i int) {
	known, votes := model.Revisions{}, 1
	for j := range w.nodes {
		if j != i && w.reaches(i, j) {
			known = known.Merge(w.ask(j).known.Revisions)
			votes++
		}
	}
	if votes > provers/2 {
		w.take(i, answer{sent: w.now, known: DocumentStatus{Revisions: known}, proven: true})
	}
}

// check holds every balancer that calls itself fresh against what was accepted,
// or, where a majority may prove, against what a majority held.
func (w *proofWorld) check(t *rapid.T) {
	for i := range w.nodes {
		until, ok := w.nodes[i].proof.FreshUntil(FreshnessLimit)
		if !ok || w.now > until {
			continue
		}
		held := w.nodes[i].proof.DocumentStatus().Revisions[model.DocumentOutOfService]
		for r := int(held); r < len(w.changes); r++ {
			since := w.changes[r].at
			if w.collecting {
				since = w.changes[r].majorityAt
			}
			if since > 0 && w.now.Sub(since) > FreshnessLimit {
				t.Fatalf("node %d is fresh at %d with revision %d, revision %d is from %d", i, w.now, held, r+1, since)
			}
		}
	}
}

func (w *proofWorld) accept(t *rapid.T) {
	if w.down {
		return
	}
	w.revision++
	w.changes = append(w.changes, accepted{at: w.now})
	i := rapid.IntRange(0, provers-1).Draw(t, "offered to")
	if !w.nodes[i].paused {
		w.hold(i, w.revision)
	}
}

// pause stops a balancer with answers from before in its socket.
func (w *proofWorld) pause(t *rapid.T, i int) {
	if w.nodes[i].paused {
		return
	}
	j := rapid.IntRange(0, provers-1).Draw(t, "answers late")
	if j != i && w.reaches(i, j) {
		w.nodes[i].stale = append(w.nodes[i].stale, w.ask(j))
	}
	w.nodes[i].paused = true
}

func (w *proofWorld) steps(t *rapid.T, count int) {
	for range count {
		w.now = w.now.Add(proofStep)
		for i := range w.nodes {
			if w.nodes[i].paused {
				continue
			}
			w.check(t)
			w.tick(i)
		}
		w.check(t)
	}
}

// TestFreshNodesKnowWhatWasAccepted drives the proofs of a few balancers
// through pauses, also of all at once, cuts and outages of the platform.
func TestFreshNodesKnowWhatWasAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &proofWorld{now: Instant(time.Hour), collecting: rapid.Bool().Draw(t, "majority proves")}
		node := func(t *rapid.T) int { return rapid.IntRange(0, provers-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"steps":       func(t *rapid.T) { w.steps(t, rapid.IntRange(1, 40).Draw(t, "steps")) },
			"accept":      w.accept,
			"pause":       func(t *rapid.T) { w.pause(t, node(t)) },
			"resume":      func(t *rapid.T) { w.nodes[node(t)].paused = false },
			"cut":         func(t *rapid.T) { w.cut[node(t)] = true },
			"heal":        func(t *rapid.T) { w.cut = [provers]bool{} },
			"platform":    func(t *rapid.T) { w.down = !w.down },
			"pause all":   func(t *rapid.T) { w.pauseAll(t) },
			"nobody runs": func(t *rapid.T) { w.now = w.now.Add(rapid.SampledFrom(gaps).Draw(t, "gap")) },
			"split":       func(t *rapid.T) { w.split(t, node(t), node(t)) },
			"fetches":     func(t *rapid.T) { w.unfetched = !w.unfetched },
		})
		w.settle(t)
	})
}

var gaps = []time.Duration{0, time.Second, time.Hour}

func (w *proofWorld) pauseAll(t *rapid.T) {
	for i := range w.nodes {
		w.pause(t, i)
	}
	w.steps(t, 50)
}

// split cuts two balancers off together and has a change accepted meanwhile.
func (w *proofWorld) split(t *rapid.T, a, b int) {
	w.cut[a], w.cut[b] = true, true
	w.accept(t)
	w.steps(t, 40)
}

// settle ends pauses and cuts. With the platform down, a majority must do.
func (w *proofWorld) settle(t *rapid.T) {
	w.cut = [provers]bool{}
	w.unfetched = false
	for i := range w.nodes {
		w.nodes[i].paused = false
	}
	w.down = w.collecting && w.revision > 0
	w.steps(t, 10)
	if w.down && w.nodes[0].proof.DocumentStatus().Revisions[model.DocumentOutOfService] == 0 {
		return
	}
	for i := range w.nodes {
		if until, ok := w.nodes[i].proof.FreshUntil(FreshnessLimit); !ok || w.now > until {
			t.Fatalf("node %d does not become fresh again", i)
		}
	}
}
