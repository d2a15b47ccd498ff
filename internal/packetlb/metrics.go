package packetlb

import (
	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// metrics counts what the balancer does.
type metrics struct {
	malformed, foreign, readFailed, sendFailed, claimed, asked *observe.Counter
	verdicts                                                   [flowsteer.ActionCount][flowsteer.ReasonCount]*observe.Counter
	returned                                                   [targetgate.ReasonCount]*observe.Counter
	// logs holds a budget of lines for each action.
	logs [flowsteer.ActionCount]*observe.LimitedLog
}

func newMetrics(c *observe.Counters, log *logrus.Entry, flows func() int64) *metrics {
	m := &metrics{
		malformed:  c.Counter("packets_malformed", "Packets dropped: malformed."),
		foreign:    c.Counter("packets_foreign", "Datagrams dropped: from a VM that is no known agent's."),
		readFailed: c.Counter("packets_read_failed", "Failed reads of the fabric's packets."),
		sendFailed: c.Counter("packets_send_failed", "Packets that could not be sent."),
		claimed:    c.Counter("flows_claimed", "Flows that agents have told of."),
		asked:      c.Counter("flows_asked", "Questions to agents whether they hold a flow."),
	}
	c.GaugeFunc("flows", "Flows in the table.", flows)
	for action := range flowsteer.ActionCount {
		for reason := range flowsteer.ReasonCount {
			name := flowsteer.Action(action).String() + "_" + flowsteer.Reason(reason).String()
			m.verdicts[action][reason] = c.Counter("packets_"+name, "Packets with this verdict and reason.")
		}
	}
	for reason := range targetgate.ReasonCount {
		m.returned[reason] = c.Counter("packets_returned_"+targetgate.Reason(reason).String(), "Packets that agents returned for this reason.")
	}
	suppressed := c.Counter("log_suppressed", "Log lines left out to stay within their budget.")
	for action := range flowsteer.ActionCount {
		m.logs[action] = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	}
	return m
}
