// Package httpcall carries JSON calls over HTTP/1.1 to the platform's key-value
// service. Every attempt has a time limit and counts against a budget. Attempts
// that had no effect, and calls without effects, are repeated with jittered
// backoff within a second budget; a write that may have been received is never
// repeated.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// maxAnswer is the largest answer that is read, in bytes.
	maxAnswer = 32 << 20
)

const (
	retriesPerSecond = 2
	retryBurst       = 8
	maxIdleConns     = 4
	maxConns         = 16
	idleConnTimeout  = 30 * time.Second
)

const (
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = time.Second
)

// Settings bound a Caller.
type Settings struct {
	// Addresses are the TCP addresses of the service. The next one is tried when
	// one fails.
	Addresses []netip.AddrPort
	// Header goes with every call.
	Header http.Header
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxAttempts is how often a call is sent at most.
	MaxAttempts uint
	// CallsPerSecond and CallBurst are the process's budget of attempts.
	CallsPerSecond float64
	CallBurst      int
	// StatusError turns a status other than 200 and its body into an error of
	// the class platform.Error.
	StatusError func(status int, body []byte) error
}

// Call is one call of the service.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	// Body is sent as JSON unless it is nil.
	Body any
	// Repeatable calls have no effect, or the same effect however often.
	Repeatable bool
	// Timeout bounds each attempt.
	Timeout time.Duration
}

// Caller calls the service. All methods are safe for concurrent use.
type Caller struct {
	settings  Settings
	addresses atomic.Pointer[[]netip.AddrPort]
	http      *http.Client
	// address counts the changes of address; it selects one of them.
	address atomic.Uint32
	budget  *rate.Limiter
	retries *rate.Limiter
	metrics metrics
}

// metrics counts the calls of the process.
type metrics struct {
	attempts    *observe.Counter
	repeats     *observe.Counter
	overBudget  *observe.Counter
	unavailable *observe.Counter
	unknown     *observe.Counter
	rotations   *observe.Counter
	latency     *observe.Histogram
}

func newMetrics(counters *observe.Counters) metrics {
	return metrics{
		attempts:    counters.Counter("platform_attempts", "Calls sent to the platform's service, repetitions included."),
		repeats:     counters.Counter("platform_repeats", "Calls to the platform's service that were sent again."),
		overBudget:  counters.Counter("platform_over_budget", "Calls left out since the process's budget of calls was used up."),
		unavailable: counters.Counter("platform_unavailable", "Attempts that had no effect since the service refused or could not be reached."),
		unknown:     counters.Counter("platform_unknown_outcome", "Attempts whose answer was missing or malformed."),
		latency:     counters.Histogram("platform_call", "Time that an attempt of a call of the platform's service took, in microseconds."),
		rotations:   counters.Counter("platform_address_changes", "Changes to another address of the platform's service."),
	}
}

// New makes a Caller. Connections are opened by calls.
func New(settings Settings, counters *observe.Counters) *Caller {
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	c := &Caller{
		settings: settings,
		metrics:  newMetrics(counters),
		budget:   rate.NewLimiter(rate.Limit(settings.CallsPerSecond), settings.CallBurst),
		retries:  rate.NewLimiter(retriesPerSecond, retryBurst),
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: maxIdleConns,
				MaxConnsPerHost:     maxConns,
				IdleConnTimeout:     idleConnTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	c.SetAddresses(settings.Addresses)
	return c
}

// SetAddresses replaces the addresses of the service.
func (c *Caller) SetAddresses(addresses []netip.AddrPort) {
	c.addresses.Store(&addresses)
	c.http.CloseIdleConnections()
}

// Close closes the connections that no call uses.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Do carries out a call and decodes the answer into the value that answer
// points to, unless it is nil.
func (c *Caller) Do(ctx context.Context, call Call, answer any) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstBackoff
	policy.MaxInterval = longestBackoff
	attempt := 0
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		attempt++
		if attempt > 1 && !c.retries.Allow() {
			return struct{}{}, backoff.Permanent(platform.Error.Wrap(platform.ErrUnavailable))
		}
		if attempt > 1 {
			c.metrics.repeats.Inc()
		}
		begun := time.Now()
		err := c.attempt(ctx, call, answer)
		c.metrics.latency.Observe(time.Since(begun))
		c.metrics.count(err)
		if err != nil && !retryable(call, err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(c.settings.MaxAttempts), backoff.WithMaxElapsedTime(0))
	return c.settleError(call, err)
}

// retryable reports whether an attempt may be repeated: it had no effect, or
// its repetition has no other.
func retryable(call Call, err error) bool {
	if errors.Is(err, platform.ErrUnavailable) {
		return true
	}
	return call.Repeatable && errors.Is(err, platform.ErrUnknownOutcome)
}

// settleError turns the errors of the retry loop into those of the edge.
func (c *Caller) settleError(call Call, err error) error {
	if err == nil {
		return nil
	}
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	// A repeatable call of unknown outcome leaves nothing behind to settle.
	if call.Repeatable && errors.Is(err, platform.ErrUnknownOutcome) {
		return platform.Error.New("%w: %v", platform.ErrUnavailable, err)
	}
	if platform.Error.Has(err) {
		return err
	}
	return platform.Error.New("%w: %v", platform.ErrUnavailable, err)
}

// attempt sends a call once, to one address.
func (c *Caller) attempt(ctx context.Context, call Call, answer any) error {
	if !c.budget.Allow() {
		c.metrics.overBudget.Inc()
		return platform.Error.Wrap(platform.ErrOverBudget)
	}
	c.metrics.attempts.Inc()
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	index := c.address.Load()
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), call, index)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.rotate(index)
		return transportError(sent.Load(), err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		c.rotate(index)
	}
	return c.readAnswer(response, answer)
}

func (c *Caller) request(ctx context.Context, call Call, index uint32) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if call.Body != nil {
		text, err := json.Marshal(call.Body)
		if err != nil {
			return nil, platform.Error.Wrap(err)
		}
		body = bytes.NewReader(text)
	}
	addresses := *c.addresses.Load()
	address := addresses[int(index)%len(addresses)]
	target := url.URL{Scheme: "http", Host: address.String(), Path: call.Path, RawQuery: call.Query.Encode()}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), body)
	if err != nil {
		return nil, platform.Error.Wrap(err)
	}
	for _, header := range []http.Header{c.settings.Header, call.Header} {
		for name, values := range header {
			request.Header[name] = values
		}
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// rotate goes on to the next address unless another call already did.
func (c *Caller) rotate(index uint32) {
	if len(*c.addresses.Load()) > 1 && c.address.CompareAndSwap(index, index+1) {
		c.metrics.rotations.Inc()
	}
}

func (m metrics) count(err error) {
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		m.unavailable.Inc()
	case errors.Is(err, platform.ErrUnknownOutcome):
		m.unknown.Inc()
	}
}

// transportError tells a call that was never sent from one whose answer is
// missing.
func transportError(sent bool, err error) error {
	if !sent {
		return platform.Error.New("%w: %v", platform.ErrUnavailable, err)
	}
	return platform.Error.New("%w: %v", platform.ErrUnknownOutcome, err)
}

func (c *Caller) readAnswer(response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if response.StatusCode != http.StatusOK {
		return c.settings.StatusError(response.StatusCode, body)
	}
	if err != nil {
		return platform.Error.New("%w: %v", platform.ErrUnknownOutcome, err)
	}
	if len(body) > maxAnswer {
		return platform.Error.New("%w: answer exceeds %d bytes", platform.ErrUnknownOutcome, maxAnswer)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return platform.Error.New("%w: malformed answer: %v", platform.ErrUnknownOutcome, err)
	}
	return nil
}
