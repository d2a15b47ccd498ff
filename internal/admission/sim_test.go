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
	slots, cold       int
	factor            float64
	serviceTime       time.Duration
	warmUp            time.Duration
	warmUpRequests    int
	overloadTolerance time.Duration

	coldSince       model.Instant
	served          int
	overloadedSince model.Instant
	collapses       int
}

func (m *modelTarget) progress(now model.Instant) float64 {
	progress := min(1, float64(now.Sub(m.coldSince))/float64(max(m.warmUp, 1)))
	if m.warmUpRequests > 0 {
		progress = min(progress, float64(m.served)/float64(m.warmUpRequests))
	}
	return progress
}

func (m *modelTarget) capacity(now model.Instant) int {
	return m.cold + int(float64(m.slots-m.cold)*m.progress(now))
}

func (m *modelTarget) answerTime(now model.Instant) time.Duration {
	return time.Duration(float64(m.serviceTime) * (1 + (m.factor-1)*(1-m.progress(now))))
}

func (m *modelTarget) check(now model.Instant, inService int) {
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

type simRequest struct {
	Request
	arrived  model.Instant
	answers  model.Instant
	ends     model.Instant
	stream   time.Duration
	answered bool
}

// sim drives a Controller and a model target through virtual time.
type sim struct {
	random     *rand.Rand
	target     *modelTarget
	controller *Controller
	now        model.Instant
	nextID     ID
	waiting    map[ID]*simRequest
	running    map[ID]*simRequest
	granted    [classCount]int
	refused    map[Reason]int
	late       int
	jitter     float64
	deadline   time.Duration
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

func (s *sim) arrive(class Class, stream time.Duration) {
	s.nextID++
	r := &simRequest{Request: Request{ID: s.nextID, Class: class, Kind: Kind(class)}, arrived: s.now, stream: stream}
	if s.deadline > 0 {
		r.Deadline = s.now.Add(s.deadline)
	}
	s.waiting[r.ID] = r
	s.apply(s.controller.Arrive(s.now, r.Request))
}

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
		r.answers = s.now.Add(time.Duration(float64(s.target.answerTime(s.now)) * noise))
		r.ends = r.answers.Add(r.stream)
		s.running[r.ID] = r
	}
	if len(s.running) > s.target.slots {
		s.fail("more requests in flight than slots")
	}
	if load := s.controller.Load(); load.InFlight != len(s.running) || load.Queued != len(s.waiting) {
		s.fail("the reported load differs from the running and queued requests")
	}
}

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
		if !r.answered && s.now >= r.answers {
			r.answered = true
			s.target.served++
			if r.Deadline != 0 && s.now > r.Deadline {
				s.late++
			}
			s.apply(s.controller.Answered(s.now, id))
		}
		if s.now >= r.ends {
			delete(s.running, id)
			s.apply(s.controller.Finish(s.now, id, ResultOK))
		}
	}
	if time.Duration(s.now)%TickInterval == 0 {
		s.apply(s.controller.Tick(s.now))
	}
	s.target.check(s.now, s.inService())
}
