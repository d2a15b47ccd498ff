package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
)

func drawTarget(t *rapid.T) *modelTarget {
	slots := rapid.IntRange(2, 16).Draw(t, "slots")
	serviceTime := time.Duration(rapid.IntRange(10, 60).Draw(t, "service_ms")) * time.Millisecond
	coldFactor := float64(rapid.IntRange(30, 80).Draw(t, "factor10")) / 10
	return &modelTarget{
		slots:          slots,
		coldCapacity:   rapid.IntRange(1, max(1, slots/4)).Draw(t, "cold"),
		coldFactor:     coldFactor,
		serviceTime:    serviceTime,
		warmUp:         time.Duration(rapid.IntRange(0, 40).Draw(t, "warm_up_s")) * time.Second,
		warmUpRequests: rapid.IntRange(0, 200).Draw(t, "warm_up_requests"),
	}
}

func drawConfig(target *modelTarget) Config {
	return Config{Slots: target.slots, QueueLimit: 8 * target.slots, MaxWait: time.Second}
}

// load generates requests at a fraction of the rate that the warm target can serve. With
// streams set, some answers stream for up to two seconds.
func (s *sim) load(fraction float64, d time.Duration, streams bool) {
	rate := fraction * float64(s.target.slots) / s.target.serviceTime.Seconds()
	for range int(d / simStep) {
		expected := rate * simStep.Seconds()
		for ; expected > 0; expected-- {
			if s.random.Float64() >= expected {
				continue
			}
			class, streamTime := Class(s.random.IntN(classCount)), time.Duration(0)
			if streams && class == ClassRead && s.random.IntN(50) == 0 {
				streamTime = time.Duration(s.random.IntN(2000)) * time.Millisecond
			}
			s.arrive(class, streamTime)
		}
		s.step()
	}
}

// TestColdTargetNeverCollapses starts with a cold target and lets it become cold again
// at any time without warning. A new target tolerates no overload at all; one that
// became cold again tolerates for a while the requests that it already runs.
func TestColdTargetNeverCollapses(t *testing.T) {
	turnedCold := 0
	rapid.Check(t, func(t *rapid.T) {
		target := drawTarget(t)
		s := newSim(rapid.Uint64().Draw(t, "seed"), target, drawConfig(target))
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			fraction := float64(rapid.IntRange(1, 20).Draw(t, "part10")) / 10
			s.load(fraction, time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds"))*time.Second, true)
			require.Zero(t, target.collapses)
			require.Empty(t, s.violation)
			if rapid.Bool().Draw(t, "cold again") && !s.controller.Load().Cold {
				target.coldSince, target.served = s.now, 0
				turnedCold++
				target.overloadTolerance = time.Duration((4+target.coldFactor)*float64(target.serviceTime)) + 50*time.Millisecond
			}
		}
	})
	require.Greater(t, turnedCold, 10, "too few warm targets became cold again for the check to be meaningful")
}

// TestTimeToFullUse limits how long a cold target stays below its slots. Without this
// bound, a permanent limit of one would also keep every target from collapsing.
func TestTimeToFullUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := drawTarget(t)
		target.warmUpRequests = 0
		s := newSim(rapid.Uint64().Draw(t, "seed"), target, drawConfig(target))
		bound := target.warmUp + 45*time.Second
		s.load(1.5, bound, false)
		require.Equal(t, target.slots, s.controller.Load().Limit)
		require.Zero(t, target.collapses)
	})
}

// TestPauseIsAFalseAlarm pauses a warm target for half a second. It must be fully used
// again 300 ms after the pause, without the slow growth of the limit of a target that
// really became cold.
func TestPauseIsAFalseAlarm(t *testing.T) {
	target := &modelTarget{slots: 8, coldCapacity: 8, coldFactor: 1, serviceTime: 20 * time.Millisecond}
	s := newSim(1, target, drawConfig(target))
	s.load(1, 40*time.Second, false)
	require.Equal(t, 8, s.controller.Load().Limit)
	for _, r := range s.running {
		r.answersAt, r.endsAt = r.answersAt.Add(500*time.Millisecond), r.endsAt.Add(500*time.Millisecond)
	}
	s.load(1, 500*time.Millisecond, false)
	require.Equal(t, 1, s.controller.Load().Limit, "the target may be cold")
	s.load(1, 300*time.Millisecond, false)
	require.Equal(t, 8, s.controller.Load().Limit)
}

// TestOverloadGrantsTwoBookingsPerOtherRequest offers twice the load that the target can
// serve. Bookings must get twice the grants of other requests, and queueing must neither
// leave capacity unused nor let many answers start after their deadlines.
func TestOverloadGrantsTwoBookingsPerOtherRequest(t *testing.T) {
	target := &modelTarget{slots: 8, coldCapacity: 8, coldFactor: 1, serviceTime: 20 * time.Millisecond}
	s := newSim(1, target, drawConfig(target))
	s.deadline = 600 * time.Millisecond
	s.load(1, 40*time.Second, false)
	require.Equal(t, 8, s.controller.Load().Limit)
	s.granted, s.late = [classCount]int{}, 0
	s.load(2, 20*time.Second, false)
	total := s.granted[ClassBooking] + s.granted[ClassRead]
	t.Logf("granted=%v late=%d refused=%v", s.granted, s.late, s.refused)
	require.InDelta(t, 2, float64(s.granted[ClassBooking])/float64(s.granted[ClassRead]), 0.1)
	// 90% of what 8 slots can serve in 20 s, at 50 requests per second each.
	require.Greater(t, total, 9*8*20*50/10, "goodput")
	require.Less(t, s.late, total/50)
}

// TestEachRequestGetsOneDecision sends events in random order to a controller. No request
// may get two decisions or stay queued for good, and no limit may be exceeded.
func TestEachRequestGetsOneDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := drawTarget(t)
		s := newSim(1, target, drawConfig(target))
		s.deadline = time.Duration(rapid.IntRange(0, 500).Draw(t, "deadline_ms")) * time.Millisecond
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) { s.arrive(Class(rapid.IntRange(0, 1).Draw(t, "class")), 0) },
			"step": func(t *rapid.T) {
				for range rapid.IntRange(1, 300).Draw(t, "steps") {
					s.step()
				}
			},
			"finish": func(t *rapid.T) {
				id := ID(rapid.Uint64Range(1, max(1, uint64(s.lastID))).Draw(t, "id"))
				if s.running[id] == nil {
					return
				}
				delete(s.running, id)
				s.apply(s.controller.Finish(s.now, id, Result(rapid.IntRange(0, 5).Draw(t, "result"))))
			},
			"withdraw": func(t *rapid.T) {
				id := ID(rapid.Uint64Range(1, max(1, uint64(s.lastID))).Draw(t, "id"))
				delete(s.waiting, id)
				s.apply(s.controller.Withdraw(s.now, id))
			},
			"": func(t *rapid.T) {
				require.Empty(t, s.violation)
				load := s.controller.Load()
				require.LessOrEqual(t, load.Limit, load.Slots)
				require.GreaterOrEqual(t, load.Limit, 1)
				require.LessOrEqual(t, load.Queued, 8*target.slots)
			},
		})
		for range int(3 * time.Second / simStep) {
			s.step()
		}
		require.Empty(t, s.waiting, "requests are queued indefinitely")
	})
}

// TestRefusedConnectionResetsTheLimit checks that a target whose process has gone
// counts as cold, and that requests to it are paused.
func TestRefusedConnectionResetsTheLimit(t *testing.T) {
	now := model.Instant(time.Hour)
	c := New(Config{Slots: 4, QueueLimit: 32, MaxWait: time.Second}, now)
	c.estimator.limit = 4
	require.True(t, c.Arrive(now, Request{ID: 1})[0].Granted)
	require.Empty(t, c.Finish(now, 1, ResultRefused))
	require.Equal(t, 1, c.Load().Limit)
	require.Empty(t, c.Arrive(now, Request{ID: 2}), "queued until the pause ends")
	require.True(t, c.Tick(now.Add(minPause))[0].Granted)
	c.estimator.limit = 4
	c.Restart(now)
	require.Equal(t, 1, c.Load().Limit, "a target that was absent is a new one")
}
