package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamlink/balsamlink/internal/standin/target"
)

// Summary counts the results of a run and compares them with the targets'
// ledgers.
type Summary struct {
	Sent          int `json:"sent"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused_not_run"`
	AlreadyRun    int `json:"already_run"`
	Unknown       int `json:"unknown"`
	Wrong         int `json:"wrong"`
	BrokenFlows   int `json:"broken_flows"`
	NoFlow        int `json:"no_flow"`
	// DuplicateRuns is the number of runs of idempotency keys beyond the first run of
	// each key.
	DuplicateRuns int `json:"doubled"`
	// FalseNotRun is the number of requests that were refused as not run although
	// a target ran them.
	FalseNotRun int `json:"false_not_run"`
	Dials       int `json:"dials"`
	// Collapses is the number of times that stand-in targets collapsed from overload.
	Collapses int `json:"collapses"`
	// P50MS and P99MS are the median and the 99th percentile of the latencies of
	// answered files and bookings, in milliseconds. Feeds are left out: their duration
	// is set by the configuration.
	P50MS        float64 `json:"p50_ms"`
	P99MS        float64 `json:"p99_ms"`
	BookingP99MS float64 `json:"booking_p99_ms"`
}

// Clean reports whether there were no wrong responses, broken flows, duplicate runs
// or false not-run refusals.
func (s Summary) Clean() bool {
	return s.Wrong == 0 && s.BrokenFlows == 0 && s.DuplicateRuns == 0 && s.FalseNotRun == 0
}

const (
	// The percentiles of a summary.
	median       = 50
	percentile99 = 99
	usPerMS      = 1000
	// fetchTimeout is the time limit for fetching one ledger.
	fetchTimeout = 5 * time.Second
)

// Summarize counts the results of a run and compares them with a ledger of what
// the targets ran. It must not be called while the run is in progress.
func (r *Recorder) Summarize(ledger target.Ledger) Summary {
	requests := r.Requests()
	s := Summary{Sent: r.sent, Dials: r.dials, Collapses: ledger.Collapses}
	for _, request := range requests {
		s.countResult(request.Result)
		if request.Result == ResultNotRun && ledger.RunsByNonce[request.Nonce] > 0 {
			s.FalseNotRun++
		}
	}
	for _, runs := range ledger.RunsByKey {
		s.DuplicateRuns += max(runs-1, 0)
	}
	withoutFeeds := hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
	withoutFeeds.Merge(r.latency[KindFile])
	withoutFeeds.Merge(r.latency[KindBooking])
	s.P50MS = float64(withoutFeeds.ValueAtQuantile(median)) / usPerMS
	s.P99MS = float64(withoutFeeds.ValueAtQuantile(percentile99)) / usPerMS
	s.BookingP99MS = float64(r.latency[KindBooking].ValueAtQuantile(percentile99)) / usPerMS
	return s
}

func (s *Summary) countResult(result Result) {
	switch result {
	case ResultAnswered:
		s.Answered++
	case ResultNotRun:
		s.RefusedNotRun++
	case ResultAlreadyRun:
		s.AlreadyRun++
	case ResultUnknown:
		s.Unknown++
	case ResultWrong:
		s.Wrong++
	case ResultBroken:
		s.BrokenFlows++
	case ResultNoFlow:
		s.NoFlow++
	}
}

// FetchLedger fetches the ledgers of stand-in targets and returns their sum.
func FetchLedger(ctx context.Context, targets []netip.AddrPort) (target.Ledger, error) {
	sum := target.Ledger{RunsByNonce: map[string]int{}, RunsByKey: map[string]int{}}
	client := &http.Client{Timeout: fetchTimeout}
	for _, address := range targets {
		ledger, err := fetchLedger(ctx, client, address)
		if err != nil {
			return target.Ledger{}, err
		}
		AddLedger(&sum, ledger)
	}
	return sum, nil
}

// AddLedger adds the run counts, Collapses and Shed of another ledger to sum and sets
// MaxInFlight to the larger of both. The other fields of sum, which are not used to
// check a run, do not change. The maps of sum must not be nil.
func AddLedger(sum *target.Ledger, other target.Ledger) {
	for nonce, runs := range other.RunsByNonce {
		sum.RunsByNonce[nonce] += runs
	}
	for key, runs := range other.RunsByKey {
		sum.RunsByKey[key] += runs
	}
	sum.Collapses += other.Collapses
	sum.Shed += other.Shed
	sum.MaxInFlight = max(sum.MaxInFlight, other.MaxInFlight)
}

func fetchLedger(ctx context.Context, client *http.Client, address netip.AddrPort) (target.Ledger, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/standin/ledger", nil)
	if err != nil {
		return target.Ledger{}, Error.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return target.Ledger{}, Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return target.Ledger{}, Error.New("fetching the ledger of %s: status %d", address, response.StatusCode)
	}
	var ledger target.Ledger
	return ledger, Error.Wrap(json.NewDecoder(response.Body).Decode(&ledger))
}
