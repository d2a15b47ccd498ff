package packetagent

import (
	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// metrics are the agent's metrics.
type metrics struct {
	delivered, sent, opened, probed, found, resets, reported                  *observe.Counter
	notHeld, uncertain                                                        *observe.Counter
	malformed, foreign, untracked, sendFailed, readFailed                     *observe.Counter
	announcements, announcementsRefused, announcementsMalformed, healthChecks *observe.Counter
	refused                                                                   [targetgate.ReasonCount]*observe.Counter

	// answer is the time from a request to the first packet of its answer.
	answer *observe.Histogram

	refusalLog, resetLog, searchLog, announceLog *observe.LimitedLog
}

func newMetrics(c *observe.MetricSet, log *logrus.Entry) *metrics {
	m := &metrics{
		delivered:              c.Counter("packets_delivered", "Packets handed to the target."),
		sent:                   c.Counter("packets_sent", "Packets from the target sent to clients."),
		opened:                 c.Counter("flows_opened", "Opening packets handed to the target."),
		probed:                 c.Counter("flows_probed", "Packets handed to the target although it may not hold their flow."),
		found:                  c.Counter("flows_found", "Flows that balancers searched for and that the target holds."),
		notHeld:                c.Counter("flows_denied", "Flows that balancers searched for and that the target does not hold."),
		uncertain:              c.Counter("flows_unsure", "Flows that balancers searched for and that the target may or may not hold."),
		resets:                 c.Counter("flows_reset", "Flows reset because their target has ended."),
		reported:               c.Counter("flows_claimed", "Reports to balancers that the target holds a flow, counted per flow."),
		malformed:              c.Counter("packets_malformed", "Malformed packets and datagrams dropped."),
		foreign:                c.Counter("packets_foreign", "Packets dropped because they reached the target's outbound address from another VM."),
		untracked:              c.Counter("packets_untracked", "Packets returned by the target for which no delivery is recorded."),
		sendFailed:             c.Counter("packets_send_failed", "Packets that could not be sent."),
		readFailed:             c.Counter("packets_read_failed", "Failed reads from the socket for the target's packets."),
		announcements:          c.Counter("announcements", "Heartbeats of the target accepted."),
		announcementsRefused:   c.Counter("announcements_refused", "Heartbeats and deregistrations refused: late, repeated or of another target."),
		announcementsMalformed: c.Counter("announcements_malformed", "Heartbeats and deregistrations refused: malformed."),
		healthChecks:           c.Counter("target_looks", "Health checks of a target that is unknown or whose heartbeats are overdue."),
	}
	for reason := targetgate.ReasonNoState; int(reason) < targetgate.ReasonCount; reason++ {
		m.refused[reason] = c.Counter("packets_refused_"+reason.String(), "Packets returned to their balancer: "+reason.String()+".")
	}
	m.answer = c.Histogram("target_answer", "Time from a client's request to the target's first answer, in microseconds.")
	suppressed := c.Counter("log_suppressed", "Log lines suppressed by the rate limit.")
	m.refusalLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.resetLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.searchLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.announceLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	return m
}
