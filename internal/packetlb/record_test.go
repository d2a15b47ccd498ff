package packetlb

import (
	"bytes"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/observe"
)

// countedOnly are the reasons of decisions on single packets, which are counted
// but not logged.
var countedOnly = map[flowsteer.Reason]bool{
	flowsteer.ReasonKnown: true, flowsteer.ReasonEnded: true, flowsteer.ReasonSearching: true, flowsteer.ReasonSearchBudget: true,
}

// Each decision is counted. One that concerns a whole flow is also logged with
// the flow, the decision, its reason, and the age of the operators' state that
// it was based on.
func TestEveryDecisionIsCountedAndLogged(t *testing.T) {
	for action := range flowsteer.ActionCount {
		for reason := range flowsteer.ReasonCount {
			var out bytes.Buffer
			log, err := observe.NewLog(&out, "")
			require.NoError(t, err)
			b := &balancer{metrics: newMetrics(observe.NewMetricSet(), log, func() int64 { return 0 })}
			b.view.Store(&trafficView{steering: &flowsteer.View{}})
			verdict := flowsteer.Verdict{
				Action: flowsteer.Action(action), Reason: flowsteer.Reason(reason), Agent: netip.MustParseAddr("10.0.0.1"),
			}
			b.record(flow.Key{}, verdict)
			require.EqualValues(t, 1, b.metrics.verdicts[action][reason].Value())
			if countedOnly[verdict.Reason] {
				require.Empty(t, out.String())
				continue
			}
			for _, field := range []string{
				"event=flow_steered", "flow=", "action=" + verdict.Action.String(), "reason=" + verdict.Reason.String(), "agent=10.0.0.1",
				"state_age_ms=", "as_of=",
			} {
				require.Contains(t, out.String(), field)
			}
		}
	}
}

// Log lines stay within their limit however many decisions are made at once.
func TestLogRateIsLimited(t *testing.T) {
	var out bytes.Buffer
	log, err := observe.NewLog(&out, "")
	require.NoError(t, err)
	metricSet := observe.NewMetricSet()
	b := &balancer{metrics: newMetrics(metricSet, log, func() int64 { return 0 })}
	b.view.Store(&trafficView{steering: &flowsteer.View{}})
	for range 50_000 {
		b.record(flow.Key{}, flowsteer.Verdict{Action: flowsteer.ActionReset, Reason: flowsteer.ReasonNoTarget})
	}
	lines := strings.Count(out.String(), "\n")
	require.Less(t, lines, 4*logBurst)
	require.EqualValues(t, 50_000-lines, metricSet.Values()["log_suppressed"])
}

// A metric that is added or renamed must be described for operators.
func TestEveryMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	log, err := observe.NewLog(&bytes.Buffer{}, "")
	require.NoError(t, err)
	metricSet := observe.NewMetricSet()
	newMetrics(metricSet, log, func() int64 { return 0 })
	for _, metric := range metricSet.Metrics() {
		if _, verdict, found := strings.Cut(metric.Name, "packets_"); found && isVerdict(verdict) {
			continue
		}
		require.Contains(t, string(page), "`"+metric.Name+"`", "docs/OPERATIONS.md")
	}
}

// isVerdict reports whether name is one of packets_ACTION_REASON or
// packets_returned_REASON, each of which shares one row in the documentation.
func isVerdict(name string) bool {
	for action := range flowsteer.ActionCount {
		if strings.HasPrefix(name, flowsteer.Action(action).String()+"_") {
			return true
		}
	}
	return strings.HasPrefix(name, "returned_")
}
