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

func newMetrics(metricSet *observe.MetricSet, log *logrus.Entry, flows func() int64) *metrics {
	m := &metrics{
		malformed:  metricSet.Counter("packets_malformed", "Malformed packets and datagrams dropped."),
		foreign:    metricSet.Counter("packets_foreign", "Datagrams dropped because the sending VM is not that of a known agent."),
		readFailed: metricSet.Counter("packets_read_failed", "Failed reads from the socket for the fabric's packets."),
		sendFailed: metricSet.Counter("packets_send_failed", "Packets that could not be sent."),
		reported:   metricSet.Counter("flows_claimed", "Flows that agents have reported as held."),
		lookups:    metricSet.Counter("flows_asked", "Lookup requests sent to agents, counted per flow."),
	}
	metricSet.GaugeFunc("flows", "Flows in the flow table.", flows)
	for action := range flowsteer.ActionCount {
		for reason := range flowsteer.ReasonCount {
			name := flowsteer.Action(action).String() + "_" + flowsteer.Reason(reason).String()
			m.verdicts[action][reason] = metricSet.Counter("packets_"+name, "Packets with this verdict and reason.")
		}
	}
	for reason := range targetgate.ReasonCount {
		m.returned[reason] = metricSet.Counter("packets_returned_"+targetgate.Reason(reason).String(), "Packets returned by agents for this reason.")
	}
	suppressed := metricSet.Counter("log_suppressed", "Log lines suppressed by the rate limit.")
	for action := range flowsteer.ActionCount {
		m.logs[action] = observe.NewLimitedLog(log, logRate, logBurst, suppressed)
	}
	return m
}
