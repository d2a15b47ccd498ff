package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind tells what a request asks for.
type Kind string

// The kinds of requests.
const (
	KindFeed    Kind = "feed"
	KindFile    Kind = "file"
	KindBooking Kind = "booking"
)

// Result tells how a request ended, as its caller saw it.
type Result string

// The results.
const (
	// ResultAnswered requests got their whole own answer.
	ResultAnswered Result = "answered"
	// ResultNotRun requests were refused before any byte reached a target.
	ResultNotRun Result = "refused_not_run"
	// ResultAlreadyRun requests repeated a key that has run.
	ResultAlreadyRun Result = "already_run"
	// ResultUnknown requests may have run.
	ResultUnknown Result = "unknown"
	// ResultWrong requests got an answer that is not theirs or not whole.
	ResultWrong Result = "wrong"
	// ResultBroken requests lost their established flow.
	ResultBroken Result = "broken_flows"
	// ResultNoFlow requests could not establish a flow.
	ResultNoFlow Result = "no_flow"
)

// Request is the caller's own record of one request.
type Request struct {
	Kind    Kind
	Service string
	Nonce   string
	Key     string
	// Token is the bearer token that the request carried.
	Token  string
	Result Result
	// Status is the HTTP status, 0 without an answer.
	Status  int
	Start   time.Duration
	Latency time.Duration
	Error   string
}

// The range of recorded latencies, in microseconds, and their precision in
// significant digits.
const (
	minLatencyUS  = 1
	maxLatencyUS  = 600_000_000
	latencyDigits = 3
)

// Recorder keeps the record of a run. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	requests []Request
	sent     int
	dials    int
	failed   int
	latency  map[Kind]*hdrhistogram.Histogram
}

func newRecorder() *Recorder {
	r := &Recorder{latency: map[Kind]*hdrhistogram.Histogram{}}
	for _, kind := range []Kind{KindFeed, KindFile, KindBooking} {
		r.latency[kind] = hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
	}
	return r
}

func (r *Recorder) add(request Request) {
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
		r.failed++
	}
}

// Requests returns all requests that have ended, in the order of their ends.
func (r *Recorder) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.requests...)
}
