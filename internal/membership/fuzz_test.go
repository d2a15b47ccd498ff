package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	quietSteps   = 240
	maxProcesses = 12
)

// TestViewsComeTogetherAfterFaults drives balancers and agents through deaths,
// restarts, pauses, cuts, lost, doubled and reordered pushes, and address reuse.
// Afterwards every view must show exactly the processes that run.
func TestViewsComeTogetherAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "steps") {
					w.step(t)
				}
			},
			"kill": func(t *rapid.T) { w.killSome(t) },
			"restart": func(t *rapid.T) {
				p := w.pick(t)
				own := p.self()
				w.kill(p)
				port := int(own.Control.Port())
				if rapid.Bool().Draw(t, "moves") {
					port = 400 + w.started
				}
				w.start(t, own.Node, own.Service, port, w.drawBirth(t))
			},
			"replace": func(t *rapid.T) { w.replace(t) },
			"pause":   func(t *rapid.T) { w.pick(t).paused = true },
			"resume":  func(t *rapid.T) { w.pick(t).paused = false },
			"cut":     func(t *rapid.T) { w.cut[pair(w.pick(t), w.pick(t))] = true },
			"heal":    func(t *rapid.T) { clear(w.cut) },
			"draining": func(t *rapid.T) {
				p := w.pick(t)
				w.spread(p, p.table.Update(func(r *Record) { r.State = StateDraining }))
			},
			"push": func(t *rapid.T) { w.handlePush(t) },
			"": func(t *rapid.T) {
				for _, p := range w.processes {
					checkDigests(t, p.table)
				}
			},
		})
		w.settle(t)
		for _, p := range w.processes {
			scope := Scope{Service: p.self().Service}
			if !slices.Equal(p.shown(), w.truth(scope)) {
				t.Fatalf("%s shows %v, running are %v", p.self().Node, p.shown(), w.truth(scope))
			}
			if len(p.view.hidden) > 0 {
				t.Fatalf("%s still hides %v", p.self().Node, p.view.hidden)
			}
		}
	})
}

// TestAForgottenNodeDoesNotComeBack pauses a node for hours. Meanwhile another
// dies and the rest forget that it ever was.
func TestAForgottenNodeDoesNotComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.settle(t)
		stale, dead := w.processes[0], w.processes[1]
		if rapid.Bool().Draw(t, "agent dies") {
			dead = w.processes[5]
		}
		stale.paused = true
		w.kill(dead)
		w.steps += rapid.IntRange(0, 100).Draw(t, "phase")
		for range quietSteps {
			w.step(t)
		}
		w.flight = nil
		w.now = w.now.Add(Retention + time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "more")))
		for _, p := range w.processes[1:] {
			p.ticked = w.now
			p.table.Expire(w.now)
		}
		stale.paused = false
		for range quietSteps {
			w.step(t)
			for len(w.flight) > 0 {
				w.deliver(t, 0)
				w.flight = w.flight[1:]
			}
			for _, p := range w.processes {
				if _, found := p.view.Find(dead.self().Node); found {
					t.Fatalf("%s shows %s again", p.self().Node, dead.self().Node)
				}
			}
		}
		if !slices.Equal(stale.shown(), w.truth(Scope{})) {
			t.Fatalf("%s shows %v", stale.self().Node, stale.shown())
		}
	})
}

func newWorld(t *rapid.T) *world {
	w := &world{cut: map[[2]model.NodeID]bool{}}
	for i := range 4 {
		w.seeds = append(w.seeds, address(100+i))
		w.start(t, model.NodeID(fmt.Sprintf("lb-%d", i)), "", 100+i, NewIncarnation(firstBirth, uint64(i)))
	}
	for i := range 4 {
		service := model.Service([]string{"memberdesk", "proofroom"}[i%2])
		w.start(t, model.NodeID(fmt.Sprintf("agent-%d", i)), service, 200+i, NewIncarnation(firstBirth, uint64(i)))
	}
	return w
}

func (w *world) pick(t *rapid.T) *process { return rapid.SampledFrom(w.processes).Draw(t, "process") }

// drawBirth returns an incarnation by a wall clock that may have stepped back.
func (w *world) drawBirth(t *rapid.T) uint64 {
	millis := rapid.Int64Range(firstBirth-1000, firstBirth+1000).Draw(t, "birth")
	return NewIncarnation(millis, uint64(w.started))
}

// killSome ends one process, or two at once; one balancer always remains.
func (w *world) killSome(t *rapid.T) {
	for range rapid.IntRange(1, 2).Draw(t, "deaths") {
		p := w.pick(t)
		left := 0
		for _, q := range w.processes {
			if q != p && q.balancer() {
				left++
			}
		}
		if left > 0 {
			w.kill(p)
		}
	}
}

// replace ends an agent and starts a new node, perhaps of the other service, at
// its address, or adds one when the fleet is small.
func (w *world) replace(t *rapid.T) {
	p := w.pick(t)
	port := int(p.self().Control.Port())
	if p.balancer() || len(w.processes) < maxProcesses/2 {
		port = 300 + w.started
	} else {
		w.kill(p)
	}
	if len(w.processes) >= maxProcesses {
		return
	}
	service := rapid.SampledFrom([]model.Service{"memberdesk", "proofroom"}).Draw(t, "service")
	w.start(t, model.NodeID(fmt.Sprintf("new-%d", w.started)), service, port, w.drawBirth(t))
}

// handlePush delivers a push out of order, doubles it, or loses it.
func (w *world) handlePush(t *rapid.T) {
	if len(w.flight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.flight)-1).Draw(t, "push")
	if rapid.Bool().Draw(t, "arrives") {
		w.deliver(t, i)
	}
	if rapid.Bool().Draw(t, "done") {
		w.flight = slices.Delete(w.flight, i, i+1)
	}
}

// settle ends all faults and lets some time go by. Old pushes still arrive.
func (w *world) settle(t *rapid.T) {
	clear(w.cut)
	for _, p := range w.processes {
		p.paused = false
	}
	for range quietSteps {
		w.step(t)
		if len(w.flight) > 0 {
			w.deliver(t, 0)
			w.flight = w.flight[1:]
		}
		w.flight = w.flight[max(0, len(w.flight)-200):]
	}
}

// checkDigests holds the running digests against ones made from scratch.
func checkDigests(t *rapid.T, table *Table) {
	var root uint64
	for _, held := range table.entries {
		if !held.record.State.Ended() {
			root ^= held.digest()
		}
	}
	if root != table.Digest(Scope{}) {
		t.Fatalf("digest of %s is wrong", table.self)
	}
}

func TestTheNewestNodeOwnsAnAddress(t *testing.T) {
	w := &world{cut: map[[2]model.NodeID]bool{}}
	rapid.Check(t, func(t *rapid.T) {
		old := rapid.Uint64Range(1, 9).Draw(t, "old")
		fresh := rapid.Uint64Range(1, 9).Draw(t, "new")
		w.processes = nil
		w.start(t, "lb-0", "", 100, 1)
		w.start(t, "z-old", "memberdesk", 200, old)
		w.start(t, "a-new", "proofroom", 200, fresh)
		lb, gone, runs := w.processes[0], w.processes[1], w.processes[2]
		w.merge(t, lb, []Record{gone.self(), runs.self()})
		runs.table.scope = Scope{}
		w.merge(t, runs, []Record{gone.self()})
		runs.table.ClaimAddress(0)
		w.merge(t, lb, []Record{runs.self()})
		if _, shown := lb.view.Find("a-new"); !shown {
			t.Fatalf("shows %v", lb.shown())
		}
		if _, shown := lb.view.Find("z-old"); shown {
			t.Fatalf("shows %v", lb.shown())
		}
	})
}

func TestTheLastBalancerFindsAllOthersDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{cut: map[[2]model.NodeID]bool{}, seeds: nil}
		first := rapid.IntRange(0, 1_000_000).Draw(t, "first name")
		for i := range 7 {
			w.seeds = append(w.seeds, address(100+i))
			w.start(t, model.NodeID(fmt.Sprintf("lb-%d", first+i)), "", 100+i, NewIncarnation(firstBirth, uint64(i)))
		}
		w.settle(t)
		for range 6 {
			w.kill(w.processes[1])
		}
		for range quietSteps {
			w.step(t)
		}
		if shown := w.processes[0].shown(); len(shown) != 1 {
			t.Fatalf("shows %v", shown)
		}
	})
}

func TestBadRecordsNameTheField(t *testing.T) {
	good := Record{
		Node: "a", Role: model.RoleBalancer, State: StateActive, Incarnation: 1, Version: 1, Control: address(1),
	}
	require.NoError(t, good.Validate())
	for field, spoil := range map[string]func(*Record){
		"node":        func(r *Record) { r.Node = "" },
		"role":        func(r *Record) { r.Role = model.RoleAgent },
		"state":       func(r *Record) { r.State = 9 },
		"incarnation": func(r *Record) { r.Incarnation = 1 << 63 },
		"version":     func(r *Record) { r.Version = 0 },
		"control":     func(r *Record) { r.Control = address(0) },
	} {
		bad := good
		spoil(&bad)
		require.ErrorContains(t, bad.Validate(), field+":")
	}
}
