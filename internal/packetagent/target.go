package packetagent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/door"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/underlay"
)

const (
	// suspectAfter is how many heartbeats' time a target may be silent before the
	// agent looks whether it still listens.
	suspectAfter = 1.4
	// lookInterval is the time between two looks.
	lookInterval = 300 * time.Millisecond
	// lookTimeout bounds one look. The target is on the same VM.
	lookTimeout = 250 * time.Millisecond
)

// targetWatch looks at the target when its heartbeats leave a doubt.
type targetWatch struct {
	busy bool
	next model.Instant
}

func (w *targetWatch) tick(a *agent, now model.Instant) {
	view := a.view.Load()
	a.mu.Lock()
	target, silent := a.door.Target(), a.door.Silent(now)
	a.mu.Unlock()
	if w.busy || now < w.next || target.Gone || view.state == nil || view.state.Config == nil {
		return
	}
	limit := time.Duration(suspectAfter * float64(a.settings.Target.Heartbeat()))
	if target.Known && silent < limit {
		return
	}
	service := view.state.Config.Services[a.settings.Target.Service]
	path := ""
	if service != nil {
		path = service.HealthPath
	}
	w.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
		defer cancel()
		result := a.base.Underlay.Probe(ctx, a.settings.Target.Address, path)
		a.node.Do(func(now model.Instant) {
			w.busy, w.next = false, now.Add(lookInterval)
			a.looked(now, result)
		})
	}()
}

func (a *agent) looked(now model.Instant, result underlay.Health) {
	a.metrics.looks.Inc()
	a.mu.Lock()
	known := a.door.Target().Known
	a.door.Probed(now, result.ID, result.Healthy)
	lost := result.Refused && a.door.Lost()
	a.mu.Unlock()
	if result.Healthy && !known {
		a.log.WithField("target", result.ID).Info("target_probed")
		a.node.SendHeartbeats()
	}
	if lost {
		a.log.WithError(result.Err).Warn("target_lost")
		a.giveUp("target_lost", 0)
		a.node.SendHeartbeats()
	}
}

// Announce implements underlay.Registrar.
func (a *agent) Announce(announcement door.Announcement) error {
	now := model.Now()
	a.mu.Lock()
	before, wasReady := a.door.Target(), a.door.Ready(now)
	restarted, err := a.door.Announce(now, announcement)
	ready := a.door.Ready(now)
	a.mu.Unlock()
	fields := logrus.Fields{
		"target": announcement.ID, "born": announcement.Born, "sequence": announcement.Sequence,
		"draining": announcement.Draining, "warm_up_left_ms": announcement.WarmUpLeft.Milliseconds(),
	}
	if err != nil {
		a.metrics.announcementsRefused.Inc()
		a.metrics.announceLog.Warn("announcement_refused", withError(fields, err))
		return err
	}
	a.metrics.announcements.Inc()
	if restarted {
		a.giveUp("target_restarted", 0)
	}
	if ready != wasReady || before.ID != announcement.ID || before.Draining != announcement.Draining {
		a.log.WithFields(fields).WithField("open", ready).Info("target_changed")
		a.node.SendHeartbeats()
	}
	return nil
}

// Depart implements underlay.Registrar.
func (a *agent) Depart(departure door.Departure) error {
	a.mu.Lock()
	err := a.door.Depart(departure)
	a.mu.Unlock()
	fields := logrus.Fields{"target": departure.ID, "born": departure.Born}
	if err != nil {
		a.metrics.announcementsRefused.Inc()
		a.metrics.announceLog.Warn("departure_refused", withError(fields, err))
		return err
	}
	a.log.WithFields(fields).Info("target_departed")
	// Its last answers may still be on their way, so that its flows are given up
	// when they have come to rest.
	a.node.SendHeartbeats()
	return nil
}

// Malformed implements underlay.Registrar.
func (a *agent) Malformed(err error) {
	a.metrics.announcementsMalformed.Inc()
	a.metrics.announceLog.Warn("announcement_malformed", logrus.Fields{"error": err})
}

func withError(fields logrus.Fields, err error) logrus.Fields {
	fields["error"] = err
	return fields
}
