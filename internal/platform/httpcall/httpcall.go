// Package httpcall makes JSON calls over HTTP/1.1 to the platform's key-value
// service. Every attempt has a timeout and counts against a rate limit.
// Attempts that had no effect, and idempotent calls, are retried with jittered
// backoff within a separate retry limit. A write that may have been received is
// never retried.
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
	// maxResponseSize is the maximum size of a response, in bytes.
	maxResponseSize = 32 << 20
)

const (
	// retriesPerSecond and retryBurst limit the retries of the process.
	retriesPerSecond = 2
	retryBurst       = 8
	// maxIdleConns and maxConns limit the connections to each address.
	maxIdleConns    = 4
	maxConns        = 16
	idleConnTimeout = 30 * time.Second
)

// The bounds of the time between two attempts, before jitter is added.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// Settings configures a Client.
type Settings struct {
	// Addresses are the TCP addresses of the service. When one fails, the next
	// one is tried.
	Addresses []netip.AddrPort
	// Header is added to every request.
	Header http.Header
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// MaxAttempts is the maximum number of attempts of a call.
	MaxAttempts uint
	// CallsPerSecond and CallBurst limit the attempts of the process.
	CallsPerSecond float64
	CallBurst      int
	// StatusError converts a status other than 200 and its body to an error of
	// the class platform.Error.
	StatusError func(status int, body []byte) error
}

// Call is one call to the service.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	// Body is sent as JSON unless it is nil.
	Body any
	// Idempotent is set if the call has no effect, or the same effect however
	// often it is made.
	Idempotent bool
	// Timeout limits each attempt.
	Timeout time.Duration
}

// Client makes calls to the service. All methods are safe for concurrent use.
type Client struct {
	settings  Settings
	addresses atomic.Pointer[[]netip.AddrPort]
	http      *http.Client
	// rotation counts the switches to the next address. Modulo the number of
	// addresses it is the index of the current one.
	rotation atomic.Uint32
	// budget limits the rate of all attempts, and retries that of retries alone.
	budget  *rate.Limiter
	retries *rate.Limiter
	metrics metrics
}

// metrics are the metrics of the process's calls.
type metrics struct {
	attempts    *observe.Counter
	retries     *observe.Counter
	overBudget  *observe.Counter
	unavailable *observe.Counter
	unknown     *observe.Counter
	rotations   *observe.Counter
	latency     *observe.Histogram
}

func newMetrics(metricSet *observe.MetricSet) metrics {
	return metrics{
		attempts:    metricSet.Counter("platform_attempts", "Attempts of calls to the platform's service, retries included."),
		retries:     metricSet.Counter("platform_repeats", "Retries of calls to the platform's service."),
		overBudget:  metricSet.Counter("platform_over_budget", "Calls not made because the process's rate limit was exhausted."),
		unavailable: metricSet.Counter("platform_unavailable", "Attempts that had no effect because the service refused them or could not be reached."),
		unknown:     metricSet.Counter("platform_unknown_outcome", "Attempts whose response was missing or malformed."),
		latency:     metricSet.Histogram("platform_call", "Duration of an attempt of a call to the platform's service, in microseconds."),
		rotations:   metricSet.Counter("platform_address_changes", "Switches to another address of the platform's service."),
	}
}

// New returns a Client. Connections are opened on demand.
func New(settings Settings, metricSet *observe.MetricSet) *Client {
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	c := &Client{
		settings: settings,
		metrics:  newMetrics(metricSet),
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
func (c *Client) SetAddresses(addresses []netip.AddrPort) {
	c.addresses.Store(&addresses)
	c.http.CloseIdleConnections()
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do makes a call and decodes the response into the value that result points
// to, unless result is nil. It returns errors of the class platform.Error.
func (c *Client) Do(ctx context.Context, call Call, result any) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstBackoff
	policy.MaxInterval = maxBackoff
	attempt := 0
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		attempt++
		if attempt > 1 && !c.retries.Allow() {
			return struct{}{}, backoff.Permanent(platform.Error.Wrap(platform.ErrUnavailable))
		}
		if attempt > 1 {
			c.metrics.retries.Inc()
		}
		started := time.Now()
		err := c.attempt(ctx, call, result)
		c.metrics.latency.Observe(time.Since(started))
		c.metrics.count(err)
		if err != nil && !retryable(call, err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(c.settings.MaxAttempts), backoff.WithMaxElapsedTime(0))
	return c.finalError(call, err)
}

// retryable reports whether an attempt may be repeated: it had no effect, or
// the call is idempotent.
func retryable(call Call, err error) bool {
	if errors.Is(err, platform.ErrUnavailable) {
		return true
	}
	return call.Idempotent && errors.Is(err, platform.ErrUnknownOutcome)
}

// finalError converts the errors of the retry loop to those of package
// platform.
func (c *Client) finalError(call Call, err error) error {
	if err == nil {
		return nil
	}
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	// An idempotent call can simply be made again, so an unknown outcome is no
	// worse than an unavailable service.
	if call.Idempotent && errors.Is(err, platform.ErrUnknownOutcome) {
		return platform.Error.New("%w: %v", platform.ErrUnavailable, err)
	}
	if platform.Error.Has(err) {
		return err
	}
	return platform.Error.New("%w: %v", platform.ErrUnavailable, err)
}

// attempt makes one attempt of a call, at one address.
func (c *Client) attempt(ctx context.Context, call Call, result any) error {
	if !c.budget.Allow() {
		c.metrics.overBudget.Inc()
		return platform.Error.Wrap(platform.ErrOverBudget)
	}
	c.metrics.attempts.Inc()
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	// Once a connection is available, the service may have received the call.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	rotation := c.rotation.Load()
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), call, rotation)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.rotate(rotation)
		return transportError(sent.Load(), err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		c.rotate(rotation)
	}
	return c.readResponse(response, result)
}

// request returns the request of a call to the address that the rotation
// selects.
func (c *Client) request(ctx context.Context, call Call, rotation uint32) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if call.Body != nil {
		text, err := json.Marshal(call.Body)
		if err != nil {
			return nil, platform.Error.Wrap(err)
		}
		body = bytes.NewReader(text)
	}
	addresses := *c.addresses.Load()
	address := addresses[int(rotation)%len(addresses)]
	requestURL := url.URL{Scheme: "http", Host: address.String(), Path: call.Path, RawQuery: call.Query.Encode()}
	request, err := http.NewRequestWithContext(ctx, call.Method, requestURL.String(), body)
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

// rotate switches to the next address unless another call has done so since the
// caller read the rotation.
func (c *Client) rotate(rotation uint32) {
	if len(*c.addresses.Load()) > 1 && c.rotation.CompareAndSwap(rotation, rotation+1) {
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

// transportError distinguishes a call that was never sent from one whose
// response is missing.
func transportError(sent bool, err error) error {
	if !sent {
		return platform.Error.New("%w: %v", platform.ErrUnavailable, err)
	}
	return platform.Error.New("%w: %v", platform.ErrUnknownOutcome, err)
}

// readResponse decodes a response, or converts its status to an error.
func (c *Client) readResponse(response *http.Response, result any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if response.StatusCode != http.StatusOK {
		return c.settings.StatusError(response.StatusCode, body)
	}
	if err != nil {
		return platform.Error.New("%w: %v", platform.ErrUnknownOutcome, err)
	}
	if len(body) > maxResponseSize {
		return platform.Error.New("%w: response exceeds %d bytes", platform.ErrUnknownOutcome, maxResponseSize)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return platform.Error.New("%w: malformed response: %v", platform.ErrUnknownOutcome, err)
	}
	return nil
}
