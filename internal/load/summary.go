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

// Summary is the outcome of a run, held against the targets' own ledgers.
type Summary struct {
	Sent          int     `json:"sent"`
	Answered      int     `json:"answered"`
	RefusedNotRun int     `json:"refused_not_run"`
	AlreadyRun    int     `json:"already_run"`
	Unknown       int     `json:"unknown"`
	Wrong         int     `json:"wrong"`
	BrokenFlows   int     `json:"broken_flows"`
	NoFlow        int     `json:"no_flow"`
	Doubled       int     `json:"doubled"`
	FalseNotRun   int     `json:"false_not_run"`
	Dials         int     `json:"dials"`
	Collapses     int     `json:"collapses"`
	P50MS         float64 `json:"p50_ms"`
	P99MS         float64 `json:"p99_ms"`
	BookingP99MS  float64 `json:"booking_p99_ms"`
}

// Clean reports whether nothing happened that must never happen.
func (s Summary) Clean() bool {
	return s.Wrong == 0 && s.BrokenFlows == 0 && s.Doubled == 0 && s.FalseNotRun == 0
}

const (
	median       = 50
	percentile99 = 99
	usPerMS      = 1000
	fetchTimeout = 5 * time.Second
)

// Summarize counts the results of a run and compares the bookings with the
// ledger of what ran.
func (r *Recorder) Summarize(ledger target.Ledger) Summary {
	requests := r.Requests()
	s := Summary{Sent: r.sent, Dials: r.dials, Collapses: ledger.Collapses}
	for _, request := range requests {
		s.count(request.Result)
		if request.Result == ResultNotRun && ledger.RunsByNonce[request.Nonce] > 0 {
			s.FalseNotRun++
		}
	}
	for _, runs := range ledger.RunsByKey {
		s.Doubled += max(runs-1, 0)
	}
	short := hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
	short.Merge(r.latency[KindFile])
	short.Merge(r.latency[KindBooking])
	s.P50MS = float64(short.ValueAtQuantile(median)) / usPerMS
	s.P99MS = float64(short.ValueAtQuantile(percentile99)) / usPerMS
	s.BookingP99MS = float64(r.latency[KindBooking].ValueAtQuantile(percentile99)) / usPerMS
	return s
}

func (s *Summary) count(result Result) {
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

// FetchLedger adds up the ledgers of stand-in targets.
func FetchLedger(ctx context.Context, targets []netip.AddrPort) (target.Ledger, error) {
	sum := target.Ledger{RunsByNonce: map[string]int{}, RunsByKey: map[string]int{}}
	client := &http.Client{Timeout: fetchTimeout}
	for _, address := range targets {
		one, err := fetchLedger(ctx, client, address)
		if err != nil {
			return target.Ledger{}, err
		}
		AddLedger(&sum, one)
	}
	return sum, nil
}

// AddLedger adds one ledger to another.
func AddLedger(sum *target.Ledger, one target.Ledger) {
	for nonce, runs := range one.RunsByNonce {
		sum.RunsByNonce[nonce] += runs
	}
	for key, runs := range one.RunsByKey {
		sum.RunsByKey[key] += runs
	}
	sum.Collapses += one.Collapses
	sum.Shed += one.Shed
	sum.MaxInFlight = max(sum.MaxInFlight, one.MaxInFlight)
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
		return target.Ledger{}, Error.New("ledger of %s: status %d", address, response.StatusCode)
	}
	var ledger target.Ledger
	return ledger, Error.Wrap(json.NewDecoder(response.Body).Decode(&ledger))
}
