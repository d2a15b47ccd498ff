package packetlb

import (
	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// metrics are the balancer's metrics.
type metrics struct {
	malformed, foreign, readFailed, sendFailed, reported, lookups *observe.Counter
	verdicts                                                      [flowsteer.ActionCount][flowsteer.ReasonCount]*observe.Counter
	returned                                                      [targetgate.ReasonCount]*observe.Counter
	// logs holds a rate-limited log for each action.
	logs [flowsteer.ActionCount]*observe.LimitedLog
}

func newMetrics(c *observe.MetricSet, log *logrus.Entry, flows func() int64) *metrics {
	m := &metrics{
		malformed:  c.Counter("packets_malformed", "Malformed packets and datagrams dropped."),
		foreign:    c.Counter("packets_foreign", "Datagrams dropped because the sending VM is not that of a known agent."),
		readFailed: c.Counter("packets_read_failed", "Failed reads from the socket for the fabric's packets."),
		sendFailed: c.Counter("packets_send_failed", "Packets that could not be sent."),
		reported:   c.Counter("flows_claimed", "Flows that agents have reported as held."),
		lookups:    c.Counter("flows_asked", "Lookup requests sent to agents, counted per flow."),
	}
	c.GaugeFunc("flows", "Flows in the flow table.", flows)
	for action := range flowsteer.ActionCount {
		for reason := range flowsteer.ReasonCount {
			name := flowsteer.Action(action).String() + "_" + flowsteer.Reason(reason).String()
			m.verdicts[action][reason] = c.Counter("packets_"+name, "Packets with this verdict and reason.")
		}
	}
	for reason := range targetgate.ReasonCount {
		m.returned[reason] = c.Counter("packets_returned_"+targetgate.Reason(reason).String(), "Packets returned by agents for this reason.")
	}
	suppressed := c.Counter("log_suppressed", "Log lines suppressed by the rate limit.")
	for action := range flowsteer.ActionCount {
		m.logs[action] = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	}
	return m
}
