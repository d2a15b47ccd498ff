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
	service := time.Duration(rapid.IntRange(10, 60).Draw(t, "service_ms")) * time.Millisecond
	factor := float64(rapid.IntRange(30, 80).Draw(t, "factor10")) / 10
	return &modelTarget{
		slots:   slots,
		cold:    rapid.IntRange(1, max(1, slots/4)).Draw(t, "cold"),
		factor:  factor,
		service: service,
		warming: time.Duration(rapid.IntRange(0, 40).Draw(t, "warming_s")) * time.Second,
		work:    rapid.IntRange(0, 200).Draw(t, "work"),
	}
}

func drawConfig(target *modelTarget) Config {
	return Config{Slots: target.slots, QueueLimit: 8 * target.slots, MaxWait: time.Second}
}

// load drives requests at a part of what the warm target can do.
func (s *sim) load(part float64, d time.Duration, streams bool) {
	rate := part * float64(s.target.slots) / s.target.service.Seconds()
	for range int(d / simStep) {
		chance := rate * simStep.Seconds()
		for ; chance > 0; chance-- {
			if s.random.Float64() >= chance {
				continue
			}
			class, stream := Class(s.random.IntN(classCount)), time.Duration(0)
			if streams && class == ClassRead && s.random.IntN(50) == 0 {
				stream = time.Duration(s.random.IntN(2000)) * time.Millisecond
			}
			s.arrive(class, stream)
		}
		s.step()
	}
}

// TestColdTargetNeverCollapses starts a target cold and, at any time, lets it
// turn cold again without warning. A new target has no patience at all; one
// that turned cold bears for a while what it already runs.
func TestColdTargetNeverCollapses(t *testing.T) {
	chills := 0
	rapid.Check(t, func(t *rapid.T) {
		target := drawTarget(t)
		s := newSim(rapid.Uint64().Draw(t, "seed"), target, drawConfig(target))
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			part := float64(rapid.IntRange(1, 20).Draw(t, "part10")) / 10
			s.load(part, time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds"))*time.Second, true)
			require.Zero(t, target.collapses)
			require.Empty(t, s.problem)
			if rapid.Bool().Draw(t, "chill") && !s.c.Load().Cold {
				target.coldSince, target.served = s.now, 0
				chills++
				target.patience = time.Duration((4+target.factor)*float64(target.service)) + 50*time.Millisecond
			}
		}
	})
	require.Greater(t, chills, 10, "too few warm targets turned cold for a check")
}

// TestTimeToFullUse bounds how long a target that turned cold stays under its
// slots, since a limit of one for ever would never collapse either.
func TestTimeToFullUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := drawTarget(t)
		target.work = 0
		s := newSim(rapid.Uint64().Draw(t, "seed"), target, drawConfig(target))
		bound := target.warming + 45*time.Second
		s.load(1.5, bound, false)
		require.Equal(t, target.slots, s.c.Load().Limit)
		require.Zero(t, target.collapses)
	})
}

// TestPauseIsAFalseAlarm stops a warm target for half a second. It must be in
// full use again soon, and no later than a target that really turned cold.
func TestPauseIsAFalseAlarm(t *testing.T) {
	target := &modelTarget{slots: 8, cold: 8, factor: 1, service: 20 * time.Millisecond}
	s := newSim(1, target, drawConfig(target))
	s.load(1, 40*time.Second, false)
	require.Equal(t, 8, s.c.Load().Limit)
	for _, r := range s.running {
		r.answers, r.ends = r.answers.Add(500*time.Millisecond), r.ends.Add(500*time.Millisecond)
	}
	s.load(1, 500*time.Millisecond, false)
	require.Equal(t, 1, s.c.Load().Limit, "it may have turned cold")
	s.load(1, 300*time.Millisecond, false)
	require.Equal(t, 8, s.c.Load().Limit)
}

func TestOverloadFavoursBookingsTwoToOne(t *testing.T) {
	target := &modelTarget{slots: 8, cold: 8, factor: 1, service: 20 * time.Millisecond}
	s := newSim(1, target, drawConfig(target))
	s.deadline = 600 * time.Millisecond
	s.load(1, 40*time.Second, false)
	require.Equal(t, 8, s.c.Load().Limit)
	s.granted, s.late = [classCount]int{}, 0
	s.load(2, 20*time.Second, false)
	total := s.granted[ClassBooking] + s.granted[ClassRead]
	t.Logf("granted=%v late=%d refused=%v", s.granted, s.late, s.refused)
	require.InDelta(t, 2, float64(s.granted[ClassBooking])/float64(s.granted[ClassRead]), 0.1)
	require.Greater(t, total, 9*8*20*50/10, "goodput")
	require.Less(t, s.late, total/50)
}

// TestEachRequestGetsOneEffect throws every event in any order at a controller.
func TestEachRequestGetsOneEffect(t *testing.T) {
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
				id := ID(rapid.Uint64Range(1, max(1, uint64(s.nextID))).Draw(t, "id"))
				if s.running[id] == nil {
					return
				}
				delete(s.running, id)
				s.apply(s.c.Finish(s.now, id, Result(rapid.IntRange(0, 5).Draw(t, "result"))))
			},
			"withdraw": func(t *rapid.T) {
				id := ID(rapid.Uint64Range(1, max(1, uint64(s.nextID))).Draw(t, "id"))
				delete(s.waiting, id)
				s.apply(s.c.Withdraw(s.now, id))
			},
			"": func(t *rapid.T) {
				require.Empty(t, s.problem)
				load := s.c.Load()
				require.LessOrEqual(t, load.Limit, load.Slots)
				require.GreaterOrEqual(t, load.Limit, 1)
				require.LessOrEqual(t, load.Queued, 8*target.slots)
			},
		})
		for range int(3 * time.Second / simStep) {
			s.step()
		}
		require.Empty(t, s.waiting, "a request waits for ever")
	})
}

// TestConnectionRefusedStartsAnew checks that a target process that went away
// counts as cold, and that its door is tried rarely.
func TestConnectionRefusedStartsAnew(t *testing.T) {
	now := model.Instant(time.Hour)
	c := New(Config{Slots: 4, QueueLimit: 32, MaxWait: time.Second}, now)
	c.learner.limit = 4
	require.True(t, c.Arrive(now, Request{ID: 1})[0].Granted)
	require.Empty(t, c.Finish(now, 1, ResultRefused))
	require.Equal(t, 1, c.Load().Limit)
	require.Empty(t, c.Arrive(now, Request{ID: 2}), "waits for the end of the pause")
	require.True(t, c.Tick(now.Add(firstPause))[0].Granted)
	c.learner.limit = 4
	c.Restart(now)
	require.Equal(t, 1, c.Load().Limit, "a target that was absent is a new one")
}
