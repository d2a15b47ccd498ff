package packetagent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/targetgate"
	"github.com/balsamlink/balsamlink/internal/underlay"
)

const (
	// probeAfterHeartbeats is how long a target may be silent before the agent
	// probes it, in heartbeat intervals.
	probeAfterHeartbeats = 1.4
	// probeInterval is the minimum time between two probes.
	probeInterval = 300 * time.Millisecond
	// probeTimeout limits one probe. The target is on the same VM.
	probeTimeout = 250 * time.Millisecond
)

// targetProber probes the target while it is unknown or its heartbeats are
// overdue, to find out whether it still listens.
type targetProber struct {
	// probing is set while a probe is in progress, and nextProbe is the earliest
	// time of the next one.
	probing   bool
	nextProbe model.Instant
}

// tick starts a probe if one is due. tick and probeDone run on the control
// goroutine.
func (p *targetProber) tick(a *agent, now model.Instant) {
	view := a.view.Load()
	a.mu.Lock()
	target, silent := a.gate.Target(), a.gate.SilentFor(now)
	a.mu.Unlock()
	if p.probing || now < p.nextProbe || target.Ended || view.state == nil || view.state.Config == nil {
		return
	}
	maxSilence := time.Duration(probeAfterHeartbeats * float64(a.settings.Target.Heartbeat()))
	if target.Known && silent < maxSilence {
		return
	}
	p.probing = true
	go func() {
		result := a.probe(context.Background(), view)
		a.node.Do(func(done model.Instant) {
			p.probing, p.nextProbe = false, done.Add(probeInterval)
			a.probeDone(done, now, result)
		})
	}()
}

// probe asks the target for its health.
func (a *agent) probe(ctx context.Context, view *trafficView) underlay.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	path := ""
	if view.state != nil && view.state.Config != nil && view.state.Config.Services[a.settings.Target.Service] != nil {
		path = view.state.Config.Services[a.settings.Target.Service].HealthPath
	}
	return a.base.Underlay.Probe(ctx, a.settings.Target.Address, path)
}

// probeDone evaluates a probe that began at the given time. A refused connection means that
// the target has ended, because nothing listens at its address.
func (a *agent) probeDone(now, began model.Instant, result underlay.ProbeResult) {
	a.metrics.targetProbes.Inc()
	a.mu.Lock()
	known := a.gate.Target().Known
	a.gate.RecordProbe(now, result.ID, result.Healthy)
	ended := result.Refused && a.gate.MarkEnded(began)
	a.mu.Unlock()
	if result.Healthy && !known {
		a.log.WithField("target", result.ID).Info("target_probed")
		a.node.SendHeartbeats()
	}
	if ended {
		a.log.WithError(result.Err).Warn("target_lost")
		a.resetFlows("target_lost", 0)
		a.node.SendHeartbeats()
	}
}

// Announce implements underlay.Registrar: it handles a heartbeat of the target. If the
// target has changed, the agent sends its own heartbeats to the other nodes at once.
func (a *agent) Announce(announcement targetgate.Announcement) error {
	now := model.Now()
	a.mu.Lock()
	before, wasReady := a.gate.Target(), a.gate.Ready(now)
	restarted, err := a.gate.Announce(now, announcement)
	ready := a.gate.Ready(now)
	a.mu.Unlock()
	fields := logrus.Fields{
		"target": announcement.ID, "born": announcement.Incarnation, "sequence": announcement.Sequence,
		"draining": announcement.Draining, "warm_up_left_ms": announcement.WarmUpRemaining.Milliseconds(),
	}
	if err != nil {
		a.metrics.announcementsRefused.Inc()
		a.metrics.announceLog.Warn("announcement_refused", withError(fields, err))
		return err
	}
	a.metrics.announcements.Inc()
	if restarted {
		a.resetFlows("target_restarted", 0)
	}
	if ready != wasReady || before.ID != announcement.ID || before.Draining != announcement.Draining {
		a.log.WithFields(fields).WithField("open", ready).Info("target_changed")
		a.node.SendHeartbeats()
	}
	return nil
}

// Depart implements underlay.Registrar: it handles the target's deregistration.
func (a *agent) Depart(departure targetgate.Departure) error {
	a.mu.Lock()
	err := a.gate.Depart(departure)
	a.mu.Unlock()
	fields := logrus.Fields{"target": departure.ID, "born": departure.Incarnation}
	if err != nil {
		a.metrics.announcementsRefused.Inc()
		a.metrics.announceLog.Warn("departure_refused", withError(fields, err))
		return err
	}
	a.log.WithFields(fields).Info("target_departed")
	// The target's last answers may still be on their way, so its flows are
	// reset only once they are idle.
	a.node.SendHeartbeats()
	return nil
}

// Malformed implements underlay.Registrar: it counts a heartbeat or deregistration that
// could not be parsed.
func (a *agent) Malformed(err error) {
	a.metrics.announcementsMalformed.Inc()
	a.metrics.announceLog.Warn("announcement_malformed", logrus.Fields{"error": err})
}

func withError(fields logrus.Fields, err error) logrus.Fields {
	fields["error"] = err
	return fields
}
