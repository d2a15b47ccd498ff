package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/platform/kvproto"
)

const (
	// maxAnswer is the largest answer that is read, in bytes.
	maxAnswer = 32 << 20
	// maxFaultText is how much of an error's text is kept, in bytes.
	maxFaultText = 256
)

const (
	maxAttempts    = 4
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = time.Second
)

// call is one call of the service.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   any
	// repeatable calls have no effect, or the same effect however often.
	repeatable bool
	timeout    time.Duration
}

// do carries out a call and decodes the answer into the value that answer
// points to, unless it is nil.
func (c *client) do(ctx context.Context, call call, answer any) error {
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
		err := c.attempt(ctx, call, answer)
		c.metrics.count(err)
		if err != nil && !retryable(call, err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(maxAttempts), backoff.WithMaxElapsedTime(0))
	return c.settleError(call, err)
}

// retryable reports whether an attempt may be repeated: it had no effect, or
// its repetition has no other.
func retryable(call call, err error) bool {
	if errors.Is(err, platform.ErrUnavailable) {
		return true
	}
	return call.repeatable && errors.Is(err, platform.ErrUnknownOutcome)
}

// settleError turns the errors of the retry loop into those of the edge.
func (c *client) settleError(call call, err error) error {
	if err == nil {
		return nil
	}
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	// A repeatable call of unknown outcome leaves nothing behind to settle.
	if call.repeatable && errors.Is(err, platform.ErrUnknownOutcome) {
		return platform.Error.New("%w: %v", platform.ErrUnavailable, err)
	}
	if platform.Error.Has(err) {
		return err
	}
	return platform.Error.New("%w: %v", platform.ErrUnavailable, err)
}

// attempt sends a call once, to one address.
func (c *client) attempt(ctx context.Context, call call, answer any) error {
	if !c.budget.Allow() {
		c.metrics.overBudget.Inc()
		return platform.Error.Wrap(platform.ErrOverBudget)
	}
	c.metrics.attempts.Inc()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
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
	return readAnswer(response, answer)
}

func (c *client) request(ctx context.Context, call call, index uint32) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if call.body != nil {
		text, err := json.Marshal(call.body)
		if err != nil {
			return nil, platform.Error.Wrap(err)
		}
		body = bytes.NewReader(text)
	}
	address := c.settings.Addresses[int(index)%len(c.settings.Addresses)]
	target := url.URL{Scheme: "http", Host: address.String(), Path: call.path, RawQuery: call.query.Encode()}
	request, err := http.NewRequestWithContext(ctx, call.method, target.String(), body)
	if err != nil {
		return nil, platform.Error.Wrap(err)
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(kvproto.HeaderCaller, c.settings.Caller)
	return request, nil
}

// rotate goes on to the next address unless another call already did.
func (c *client) rotate(index uint32) {
	if len(c.settings.Addresses) > 1 && c.address.CompareAndSwap(index, index+1) {
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

func readAnswer(response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, body)
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

// statusError turns a status into an error. The service promises that a call
// answered 429 or 503 had no effect; of other failures nothing is known.
func statusError(status int, body []byte) error {
	text := fmt.Sprintf("status %d: %.*s", status, maxFaultText, body)
	switch status {
	case http.StatusNotFound:
		return platform.Error.Wrap(platform.ErrNotFound)
	case http.StatusPreconditionFailed:
		return platform.Error.Wrap(platform.ErrConflict)
	case http.StatusGone:
		return platform.Error.Wrap(platform.ErrLeaseExpired)
	case http.StatusRequestEntityTooLarge:
		return platform.Error.Wrap(platform.ErrTooLarge)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return platform.Error.New("%w: %s", platform.ErrUnavailable, text)
	case http.StatusBadRequest, http.StatusMethodNotAllowed:
		return platform.Error.New("the service refused the call: %s", text)
	default:
		return platform.Error.New("%w: %s", platform.ErrUnknownOutcome, text)
	}
}
