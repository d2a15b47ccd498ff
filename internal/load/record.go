package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	KindFeed    Kind = "feed"
	KindFile    Kind = "file"
	KindBooking Kind = "booking"
)

// Result classifies how a request ended for its caller.
type Result string

// The results of requests.
const (
	// ResultAnswered: the complete and correct response arrived.
	ResultAnswered Result = "answered"
	// ResultNotRun: refused with the assurance that no byte reached a target.
	ResultNotRun Result = "refused_not_run"
	// ResultAlreadyRun: a repeat whose idempotency key has run or is running.
	ResultAlreadyRun Result = "already_run"
	// ResultUnknown: the request may have run.
	ResultUnknown Result = "unknown"
	// ResultWrong: the response belongs to another request, has a wrong body or an
	// unexpected status.
	ResultWrong Result = "wrong"
	// ResultBroken: a feed or file request failed or timed out after its flow was
	// established. A booking that fails so counts as ResultUnknown.
	ResultBroken Result = "broken_flows"
	// ResultNoFlow: no flow could be established.
	ResultNoFlow Result = "no_flow"
)

// Request is a caller's record of one request. Its field names appear in the JSON
// output of measurements.
type Request struct {
	Kind    Kind
	Service string
	Nonce   string
	// Key is the idempotency key, empty for requests that are not bookings.
	Key string
	// Token is the bearer token that the request carried.
	Token  string
	Result Result
	// Status is the HTTP status, 0 without a response.
	Status int
	// Start is the time from the start of the run to the start of the request.
	Start time.Duration
	// Latency is the time from the start of the request until its response was verified
	// or it failed.
	Latency time.Duration
	// Error is the reason for the result; empty if there is none.
	Error string
}

// The range of the latency histograms, in microseconds, and their precision in
// significant decimal digits.
const (
	minLatencyUS  = 1
	maxLatencyUS  = 600_000_000
	latencyDigits = 3
)

// Recorder collects the records of a run. All methods except Summarize are safe
// for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	requests []Request
	// sent counts the requests that have been started, requests holds those that have
	// ended.
	sent        int
	dials       int
	failedDials int
	// latency holds the latencies of answered requests, in microseconds.
	latency map[Kind]*hdrhistogram.Histogram
}

func newRecorder() *Recorder {
	r := &Recorder{latency: map[Kind]*hdrhistogram.Histogram{}}
	for _, kind := range []Kind{KindFeed, KindFile, KindBooking} {
		r.latency[kind] = hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
	}
	return r
}

func (r *Recorder) addRequest(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
	if request.Result == ResultAnswered {
		r.latency[request.Kind].RecordValue(max(request.Latency.Microseconds(), minLatencyUS))
	}
}

func (r *Recorder) addSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
}

func (r *Recorder) addDial(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dials++
	if failed {
		r.failedDials++
	}
}

// Requests returns a copy of the records of all requests that have ended, in the
// order in which they ended.
func (r *Recorder) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.requests...)
}
