package packetagent

import (
	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// metrics are the agent's metrics.
type metrics struct {
	delivered, sent, opened, unconfirmed, found, resets, reported             *observe.Counter
	notHeld, uncertain                                                        *observe.Counter
	malformed, foreign, untracked, sendFailed, readFailed                     *observe.Counter
	announcements, announcementsRefused, announcementsMalformed, targetProbes *observe.Counter
	refused                                                                   [targetgate.ReasonCount]*observe.Counter
	// notHeldBy counts the flows that the target does not hold, by evidence; unlike notHeld,
	// also those whose packet was returned to a balancer that did not search for them.
	notHeldBy [targetgate.EvidenceCount]*observe.Counter
	removed   [targetgate.RemovalCount]*observe.Counter

	// answer is the time from a request to the first packet of its answer.
	answer *observe.Histogram

	refusalLog, resetLog, searchLog, notHeldLog, announceLog *observe.LimitedLog
}

func newMetrics(metricSet *observe.MetricSet, log *logrus.Entry) *metrics {
	m := &metrics{
		delivered:              metricSet.Counter("packets_delivered", "Packets handed to the target."),
		sent:                   metricSet.Counter("packets_sent", "Packets from the target sent to clients."),
		opened:                 metricSet.Counter("flows_opened", "Opening packets handed to the target."),
		unconfirmed:            metricSet.Counter("flows_probed", "Packets handed to the target although it may not hold their flow."),
		found:                  metricSet.Counter("flows_found", "Flows that balancers searched for and that the target holds."),
		notHeld:                metricSet.Counter("flows_denied", "Flows that balancers searched for and that the target does not hold."),
		uncertain:              metricSet.Counter("flows_unsure", "Flows that balancers searched for and that the target may or may not hold."),
		resets:                 metricSet.Counter("flows_reset", "Flows reset because their target has ended."),
		reported:               metricSet.Counter("flows_claimed", "Reports to balancers that the target holds a flow, counted per flow."),
		malformed:              metricSet.Counter("packets_malformed", "Malformed packets and datagrams dropped."),
		foreign:                metricSet.Counter("packets_foreign", "Packets dropped because they reached the target's outbound address from another VM."),
		untracked:              metricSet.Counter("packets_untracked", "Packets returned by the target for which no delivery is recorded."),
		sendFailed:             metricSet.Counter("packets_send_failed", "Packets that could not be sent."),
		readFailed:             metricSet.Counter("packets_read_failed", "Failed reads from the socket for the target's packets."),
		announcements:          metricSet.Counter("announcements", "Heartbeats of the target accepted."),
		announcementsRefused:   metricSet.Counter("announcements_refused", "Heartbeats and deregistrations refused: late, repeated or of another target."),
		announcementsMalformed: metricSet.Counter("announcements_malformed", "Heartbeats and deregistrations refused: malformed."),
		targetProbes:           metricSet.Counter("target_looks", "Health checks of a target that is unknown or whose heartbeats are overdue."),
	}
	for reason := targetgate.ReasonNoState; int(reason) < targetgate.ReasonCount; reason++ {
		m.refused[reason] = metricSet.Counter("packets_refused_"+reason.String(), "Packets returned to their balancer: "+reason.String()+".")
	}
	for evidence := targetgate.EvidenceTargetEnded; int(evidence) < targetgate.EvidenceCount; evidence++ {
		m.notHeldBy[evidence] = metricSet.Counter("flows_denied_"+evidence.String(), "Flows that a balancer sent a packet or a lookup of and that the target does not hold, by evidence: "+evidence.String()+".")
	}
	for removal := range m.removed {
		name := targetgate.Removal(removal).String()
		m.removed[removal] = metricSet.Counter("flows_removed_"+name, "Flows removed from the table: "+name+".")
	}
	m.answer = metricSet.Histogram("target_answer", "Time from a client's request to the target's first answer, in microseconds.")
	suppressed := metricSet.Counter("log_suppressed", "Log lines suppressed by the rate limit.")
	m.refusalLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.resetLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.searchLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.notHeldLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.announceLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	return m
}
