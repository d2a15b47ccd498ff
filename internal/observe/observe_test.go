package observe_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/observe"
)

func TestOneLineForEachEvent(t *testing.T) {
	var out bytes.Buffer
	log, err := observe.NewLog(&out, "")
	require.NoError(t, err)
	log.WithField("text", "two\nlines").Info("event=started")
	log.Debug("left_out")
	log.WithField("n", 1).Warn("stopped")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], ` event=started text="two\nlines"`)
	require.Contains(t, lines[1], ` level=warning event=stopped n=1`)

	_, err = observe.NewLog(&out, "loud")
	require.ErrorContains(t, err, `log level "loud"; allowed: [panic`)
}

func TestLimitedLogCountsSuppressedLines(t *testing.T) {
	var out bytes.Buffer
	log, err := observe.NewLog(&out, "")
	require.NoError(t, err)
	suppressed := observe.NewMetricSet().Counter("log_suppressed", "Log lines suppressed.")
	limited := observe.NewLimitedLog(log, 0, 3, suppressed)
	for range 10 {
		limited.Warn("dropped", logrus.Fields{"reason": "short"})
	}
	require.Equal(t, 3, strings.Count(out.String(), "event=dropped"))
	require.EqualValues(t, 7, suppressed.Value())
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return len(line), nil
}

// While the underlying writer is blocked, the output drops and counts lines
// instead of blocking the process. Close still writes the lines in the buffer.
func TestOutputNeverBlocks(t *testing.T) {
	blocked := blockedWriter{release: make(chan struct{})}
	output := observe.NewOutput(blocked)
	for range 10_000 {
		_, err := output.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	// The buffer holds 4096 lines, and the blocked writer has taken at most one.
	require.GreaterOrEqual(t, output.Dropped(), int64(10_000-4096-1))
	close(blocked.release)
	output.Close()

	var out bytes.Buffer
	output = observe.NewOutput(&out)
	_, err := output.Write([]byte("last\n"))
	require.NoError(t, err)
	output.Close()
	require.Equal(t, "last\n", out.String())
}

func TestHistogramShowsQuantiles(t *testing.T) {
	metrics := observe.NewMetricSet()
	histogram := metrics.Histogram("call", "Time of a call, in microseconds.")
	for n := range 100 {
		histogram.Observe(time.Duration(n) * time.Millisecond)
	}
	histogram.Observe(time.Hour)
	var page map[string]float64
	require.NoError(t, json.Unmarshal([]byte(histogram.String()), &page))
	require.EqualValues(t, 101, page["count"])
	require.InDelta(t, 50_000, page["p50_us"], 1500)
	// An hour counts as the longest duration that a histogram records, one minute.
	require.GreaterOrEqual(t, page["max_us"], 6e7)
}

func TestAdminEndpoints(t *testing.T) {
	log, err := observe.NewLog(io.Discard, "")
	require.NoError(t, err)
	metrics := observe.NewMetricSet()
	metrics.Counter("drops", "Datagrams dropped.").Add(5)
	metrics.GaugeFunc("open", "Open flows.", func() int64 { return 7 })
	require.Panics(t, func() { metrics.Gauge("drops", "Taken.") })
	readiness := observe.NewReadiness("documents", "fresh")
	server, err := observe.StartServer(netip.MustParseAddrPort("127.0.0.1:0"), metrics, readiness, log)
	require.NoError(t, err)
	_, err = observe.StartServer(server.Addr(), metrics, readiness, log)
	require.ErrorContains(t, err, server.Addr().String())

	get := func(path string) (int, map[string]any) {
		response, err := http.Get("http://" + server.Addr().String() + path)
		require.NoError(t, err)
		defer response.Body.Close()
		var page map[string]any
		require.NoError(t, json.NewDecoder(response.Body).Decode(&page))
		return response.StatusCode, page
	}
	status, page := get(observe.PathReady)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Len(t, page["reasons"], 2)
	readiness.MarkMet("documents")
	readiness.MarkMet("fresh")
	status, _ = get(observe.PathReady)
	require.Equal(t, http.StatusOK, status)
	readiness.MarkUnmet("fresh", "no reply for 3 s")
	status, page = get(observe.PathReady)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, []any{map[string]any{"condition": "fresh", "text": "no reply for 3 s"}}, page["reasons"])
	status, _ = get(observe.PathHealthy)
	require.Equal(t, http.StatusOK, status)
	_, page = get(observe.PathMetrics)
	require.Equal(t, map[string]any{"drops": 5.0, "open": 7.0}, page[observe.MetricsName])
	require.Contains(t, page, "memstats")
	require.Equal(t, map[string]int64{"drops": 5, "open": 7}, metrics.Values())
	require.NoError(t, server.Close(context.Background()))
}
