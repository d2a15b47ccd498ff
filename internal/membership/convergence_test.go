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
	// settleSteps is the number of steps, one minute in all, after which the
	// views must be correct again.
	settleSteps  = 240
	maxProcesses = 12
)

// TestViewsConvergeAfterFaults subjects balancers and agents to crashes,
// restarts, pauses, partitions, lost, duplicated and reordered pushes, and
// address reuse. Afterwards every view must contain exactly the running
// processes.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "steps") {
					s.step(t)
				}
			},
			"kill": func(t *rapid.T) { s.killSome(t) },
			"restart": func(t *rapid.T) {
				p := s.pick(t)
				own := p.self()
				s.kill(p)
				port := int(own.Control.Port())
				if rapid.Bool().Draw(t, "moves") {
					port = 400 + s.started
				}
				s.start(t, own.Node, own.Service, port, s.drawIncarnation(t))
			},
			"replace": func(t *rapid.T) { s.replace(t) },
			"pause":   func(t *rapid.T) { s.pick(t).paused = true },
			"resume":  func(t *rapid.T) { s.pick(t).paused = false },
			"cut":     func(t *rapid.T) { s.partitioned[pair(s.pick(t), s.pick(t))] = true },
			"heal":    func(t *rapid.T) { clear(s.partitioned) },
			"draining": func(t *rapid.T) {
				p := s.pick(t)
				s.pushChange(p, p.table.Update(func(r *Record) { r.State = StateDraining }))
			},
			"push": func(t *rapid.T) { s.handlePush(t) },
			"": func(t *rapid.T) {
				for _, p := range s.processes {
					checkDigests(t, p.table)
				}
			},
		})
		s.settle(t)
		for _, p := range s.processes {
			scope := Scope{Service: p.self().Service}
			if !slices.Equal(p.shown(), s.expected(scope)) {
				t.Fatalf("view of %s is %v, running are %v", p.self().Node, p.shown(), s.expected(scope))
			}
			if len(p.view.hidden) > 0 {
				t.Fatalf("%s still hides %v", p.self().Node, p.view.hidden)
			}
		}
	})
}

// TestExpiredNodeIsNotReintroduced pauses a node for hours. Meanwhile another
// node dies and the remaining nodes expire its record. When the paused node
// resumes, it must not spread its old record of the dead node.
func TestExpiredNodeIsNotReintroduced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.settle(t)
		stale, dead := s.processes[0], s.processes[1]
		if rapid.Bool().Draw(t, "agent dies") {
			dead = s.processes[5]
		}
		stale.paused = true
		s.kill(dead)
		s.steps += rapid.IntRange(0, 100).Draw(t, "phase")
		for range settleSteps {
			s.step(t)
		}
		s.inFlight = nil
		s.now = s.now.Add(Retention + time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "more")))
		for _, p := range s.processes[1:] {
			p.lastTick = s.now
			p.table.Expire(s.now)
		}
		stale.paused = false
		for range settleSteps {
			s.step(t)
			for len(s.inFlight) > 0 {
				s.deliver(t, 0)
				s.inFlight = s.inFlight[1:]
			}
			for _, p := range s.processes {
				if _, found := p.view.Find(dead.self().Node); found {
					t.Fatalf("the view of %s contains %s again", p.self().Node, dead.self().Node)
				}
			}
		}
		if !slices.Equal(stale.shown(), s.expected(Scope{})) {
			t.Fatalf("view of %s is %v", stale.self().Node, stale.shown())
		}
	})
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{partitioned: map[[2]model.NodeID]bool{}}
	for i := range 4 {
		s.seeds = append(s.seeds, address(100+i))
		s.start(t, model.NodeID(fmt.Sprintf("lb-%d", i)), "", 100+i, NewIncarnation(baseMillis, uint64(i)))
	}
	for i := range 4 {
		service := model.Service([]string{"memberdesk", "proofroom"}[i%2])
		s.start(t, model.NodeID(fmt.Sprintf("agent-%d", i)), service, 200+i, NewIncarnation(baseMillis, uint64(i)))
	}
	return s
}

func (s *simulation) pick(t *rapid.T) *process {
	return rapid.SampledFrom(s.processes).Draw(t, "process")
}

// drawIncarnation returns an incarnation from a wall clock that may have
// stepped back.
func (s *simulation) drawIncarnation(t *rapid.T) uint64 {
	millis := rapid.Int64Range(baseMillis-1000, baseMillis+1000).Draw(t, "wall clock")
	return NewIncarnation(millis, uint64(s.started))
}

// killSome kills one process, or two at once; at least one balancer always
// remains.
func (s *simulation) killSome(t *rapid.T) {
	for range rapid.IntRange(1, 2).Draw(t, "kills") {
		p := s.pick(t)
		left := 0
		for _, q := range s.processes {
			if q != p && q.balancer() {
				left++
			}
		}
		if left > 0 {
			s.kill(p)
		}
	}
}

// replace kills an agent and starts a new agent, possibly of the other service,
// at its address. If there are few processes or a balancer was picked, it kills
// nothing and starts the agent at a new address.
func (s *simulation) replace(t *rapid.T) {
	p := s.pick(t)
	port := int(p.self().Control.Port())
	if p.balancer() || len(s.processes) < maxProcesses/2 {
		port = 300 + s.started
	} else {
		s.kill(p)
	}
	if len(s.processes) >= maxProcesses {
		return
	}
	service := rapid.SampledFrom([]model.Service{"memberdesk", "proofroom"}).Draw(t, "service")
	s.start(t, model.NodeID(fmt.Sprintf("new-%d", s.started)), service, port, s.drawIncarnation(t))
}

// handlePush delivers a push out of order, duplicates it, or drops it.
func (s *simulation) handlePush(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "push")
	if rapid.Bool().Draw(t, "arrives") {
		s.deliver(t, i)
	}
	if rapid.Bool().Draw(t, "done") {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

// settle ends all faults and lets time pass. Pushes still in flight arrive.
func (s *simulation) settle(t *rapid.T) {
	clear(s.partitioned)
	for _, p := range s.processes {
		p.paused = false
	}
	for range settleSteps {
		s.step(t)
		if len(s.inFlight) > 0 {
			s.deliver(t, 0)
			s.inFlight = s.inFlight[1:]
		}
		s.inFlight = s.inFlight[max(0, len(s.inFlight)-200):]
	}
}

// checkDigests compares the incrementally updated digest of all running nodes
// with one computed from scratch.
func checkDigests(t *rapid.T, table *Table) {
	var want uint64
	for _, held := range table.entries {
		if !held.record.State.Ended() {
			want ^= held.digest()
		}
	}
	if want != table.Digest(Scope{}) {
		t.Fatalf("digest of %s differs from one computed from scratch", table.self)
	}
}

// TestNewestNodeOwnsAddress starts a new agent at the address of one that ended
// unnoticed, with an incarnation that may be lower than the old one. The view
// must show the new agent only.
func TestNewestNodeOwnsAddress(t *testing.T) {
	s := &simulation{partitioned: map[[2]model.NodeID]bool{}}
	rapid.Check(t, func(t *rapid.T) {
		old := rapid.Uint64Range(1, 9).Draw(t, "old")
		recent := rapid.Uint64Range(1, 9).Draw(t, "new")
		s.processes = nil
		s.start(t, "lb-0", "", 100, 1)
		s.start(t, "z-old", "memberdesk", 200, old)
		s.start(t, "a-new", "proofroom", 200, recent)
		lb, older, newer := s.processes[0], s.processes[1], s.processes[2]
		s.merge(t, lb, []Record{older.self(), newer.self()})
		// With its own scope, the new agent would not learn of the old one, which
		// belongs to another service.
		newer.table.scope = Scope{}
		s.merge(t, newer, []Record{older.self()})
		newer.table.ClaimAddress(0)
		s.merge(t, lb, []Record{newer.self()})
		if _, shown := lb.view.Find("a-new"); !shown {
			t.Fatalf("view is %v", lb.shown())
		}
		if _, shown := lb.view.Find("z-old"); shown {
			t.Fatalf("view is %v", lb.shown())
		}
	})
}

// TestLastBalancerMarksAllOthersDown kills six of seven balancers at once. Some
// of them may have been watched only by balancers that died too; the survivor
// must still mark all six down.
func TestLastBalancerMarksAllOthersDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{partitioned: map[[2]model.NodeID]bool{}, seeds: nil}
		first := rapid.IntRange(0, 1_000_000).Draw(t, "first name")
		for i := range 7 {
			s.seeds = append(s.seeds, address(100+i))
			s.start(t, model.NodeID(fmt.Sprintf("lb-%d", first+i)), "", 100+i, NewIncarnation(baseMillis, uint64(i)))
		}
		s.settle(t)
		for range 6 {
			s.kill(s.processes[1])
		}
		for range settleSteps {
			s.step(t)
		}
		if shown := s.processes[0].shown(); len(shown) != 1 {
			t.Fatalf("view is %v", shown)
		}
	})
}

func TestValidationErrorNamesField(t *testing.T) {
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
