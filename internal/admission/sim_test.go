package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// modelTarget is a simulated target that collapses when it serves more requests than
// its capacity for longer than its overload tolerance.
type modelTarget struct {
	// slots is the capacity of the warm target and coldCapacity that of the cold one,
	// in requests at once.
	slots, coldCapacity int
	// The cold target takes coldFactor times the serviceTime of the warm one to answer.
	coldFactor  float64
	serviceTime time.Duration
	// The target is warm after the time warmUp and when it has served warmUpRequests.
	warmUp            time.Duration
	warmUpRequests    int
	overloadTolerance time.Duration

	// coldSince is when the target last became cold; served is the number of answers
	// since.
	coldSince model.Instant
	served    int
	// overloadedSince is 0 while the target is not overloaded.
	overloadedSince model.Instant
	collapses       int
}

// warmUpProgress returns how far the target has warmed up, from 0 to 1.
func (m *modelTarget) warmUpProgress(now model.Instant) float64 {
	progress := min(1, float64(now.Sub(m.coldSince))/float64(max(m.warmUp, 1)))
	if m.warmUpRequests > 0 {
		progress = min(progress, float64(m.served)/float64(m.warmUpRequests))
	}
	return progress
}

func (m *modelTarget) capacity(now model.Instant) int {
	return m.coldCapacity + int(float64(m.slots-m.coldCapacity)*m.warmUpProgress(now))
}

func (m *modelTarget) answerTime(now model.Instant) time.Duration {
	return time.Duration(float64(m.serviceTime) * (1 + (m.coldFactor-1)*(1-m.warmUpProgress(now))))
}

// checkOverload counts a collapse if the target has been overloaded for too long.
func (m *modelTarget) checkOverload(now model.Instant, inService int) {
	if inService <= m.capacity(now) {
		m.overloadedSince = 0
		return
	}
	if m.overloadedSince == 0 {
		m.overloadedSince = now
	}
	if now.Sub(m.overloadedSince) >= m.overloadTolerance {
		m.collapses++
		m.overloadedSince = now
	}
}

// simRequest is a request; once it is granted, answersAt and endsAt are when its answer
// starts and is complete.
type simRequest struct {
	Request
	arrived   model.Instant
	answersAt model.Instant
	endsAt    model.Instant
	// streamTime is how long the answer streams.
	streamTime time.Duration
	answered   bool
}

// sim drives a Controller and a model target through virtual time.
type sim struct {
	random     *rand.Rand
	target     *modelTarget
	controller *Controller
	now        model.Instant
	lastID     ID
	waiting    map[ID]*simRequest
	running    map[ID]*simRequest
	granted    [classCount]int
	refused    map[Reason]int
	// late is the number of answers that started after their deadline.
	late int
	// jitter is the maximum relative deviation of an answer time.
	jitter float64
	// deadline is the time from arrival to deadline, 0 for none.
	deadline time.Duration
	// violation is the first violated invariant, empty if there is none.
	violation string
}

const simStep = 2 * time.Millisecond

func newSim(seed uint64, target *modelTarget, config Config) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 1)), target: target, now: model.Instant(time.Hour),
		waiting: map[ID]*simRequest{}, running: map[ID]*simRequest{}, refused: map[Reason]int{}, jitter: 0.1,
	}
	target.coldSince = s.now
	s.controller = New(config, s.now)
	return s
}

func (s *sim) fail(invariant string) {
	if s.violation == "" {
		s.violation = invariant
	}
}

// arrive sends a new request whose answer streams for some time.
func (s *sim) arrive(class Class, streamTime time.Duration) {
	s.lastID++
	r := &simRequest{Request: Request{ID: s.lastID, Class: class, Kind: Kind(class)}, arrived: s.now, streamTime: streamTime}
	if s.deadline > 0 {
		r.Deadline = s.now.Add(s.deadline)
	}
	s.waiting[r.ID] = r
	s.apply(s.controller.Arrive(s.now, r.Request))
}

// apply carries out decisions of the controller.
func (s *sim) apply(decisions []Decision) {
	for _, decision := range decisions {
		r := s.waiting[decision.ID]
		if r == nil {
			s.fail("a decision for a request that isn't queued")
			continue
		}
		delete(s.waiting, decision.ID)
		if !decision.Granted {
			s.refused[decision.Reason]++
			continue
		}
		s.granted[r.Class]++
		noise := 1 + s.jitter*(2*s.random.Float64()-1)
		r.answersAt = s.now.Add(time.Duration(float64(s.target.answerTime(s.now)) * noise))
		r.endsAt = r.answersAt.Add(r.streamTime)
		s.running[r.ID] = r
	}
	if len(s.running) > s.target.slots {
		s.fail("more requests in flight than slots")
	}
	if load := s.controller.Load(); load.InFlight != len(s.running) || load.Queued != len(s.waiting) {
		s.fail("the reported load differs from the running and queued requests")
	}
}

// inService returns the number of running requests whose answers have not started.
func (s *sim) inService() int {
	n := 0
	for _, r := range s.running {
		if !r.answered {
			n++
		}
	}
	return n
}

// step advances the time by simStep: answers, ends, ticks, then the target's overload
// check.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		r := s.running[id]
		if !r.answered && s.now >= r.answersAt {
			r.answered = true
			s.target.served++
			if r.Deadline != 0 && s.now > r.Deadline {
				s.late++
			}
			s.apply(s.controller.Answered(s.now, id))
		}
		if s.now >= r.endsAt {
			delete(s.running, id)
			s.apply(s.controller.Finish(s.now, id, ResultOK))
		}
	}
	if time.Duration(s.now)%TickInterval == 0 {
		s.apply(s.controller.Tick(s.now))
	}
	s.target.checkOverload(s.now, s.inService())
}
