package packetagent

import (
	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// metrics counts what the agent does.
type metrics struct {
	delivered, sent, opened, probed, found, resets, claimed            *observe.Counter
	denied, unsure                                                     *observe.Counter
	malformed, foreign, untracked, sendFailed, readFailed              *observe.Counter
	announcements, announcementsRefused, announcementsMalformed, looks *observe.Counter
	refused                                                            [targetgate.ReasonCount]*observe.Counter

	// answer is the time from a request to the first packet of its answer.
	answer *observe.Histogram

	refusalLog, resetLog, searchLog, announceLog *observe.LimitedLog
}

func newMetrics(c *observe.Counters, log *logrus.Entry) *metrics {
	m := &metrics{
		delivered:              c.Counter("packets_delivered", "Packets handed to the target."),
		sent:                   c.Counter("packets_sent", "Packets of the target sent to clients."),
		opened:                 c.Counter("flows_opened", "Opening packets handed to the target."),
		probed:                 c.Counter("flows_probed", "Packets handed to the target without knowing whether it holds their flow."),
		found:                  c.Counter("flows_found", "Searched packets of flows that the target holds."),
		denied:                 c.Counter("flows_denied", "Flows that balancers searched for and that the target does not hold."),
		unsure:                 c.Counter("flows_unsure", "Flows that balancers searched for and of which only the target can tell."),
		resets:                 c.Counter("flows_reset", "Flows given up since their target has ended."),
		claimed:                c.Counter("flows_claimed", "Flows that balancers were told of."),
		malformed:              c.Counter("packets_malformed", "Packets dropped: malformed."),
		foreign:                c.Counter("packets_foreign", "Packets dropped: sent to the target's address by another VM."),
		untracked:              c.Counter("packets_untracked", "Packets returned by the target whose delivery is not remembered."),
		sendFailed:             c.Counter("packets_send_failed", "Packets that could not be sent."),
		readFailed:             c.Counter("packets_read_failed", "Failed reads of the target's packets."),
		announcements:          c.Counter("announcements", "Heartbeats of the target taken."),
		announcementsRefused:   c.Counter("announcements_refused", "Heartbeats refused: late, repeated or of another target."),
		announcementsMalformed: c.Counter("announcements_malformed", "Heartbeats refused: malformed."),
		looks:                  c.Counter("target_looks", "Health checks of a target whose heartbeats leave a doubt."),
	}
	for reason := targetgate.ReasonNoState; int(reason) < targetgate.ReasonCount; reason++ {
		m.refused[reason] = c.Counter("packets_refused_"+reason.String(), "Packets returned to their balancer: "+reason.String()+".")
	}
	m.answer = c.Histogram("target_answer", "Time from a client's request to the target's first answer, in microseconds.")
	suppressed := c.Counter("log_suppressed", "Log lines left out to stay within their budget.")
	m.refusalLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.resetLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.searchLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	m.announceLog = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	return m
}
