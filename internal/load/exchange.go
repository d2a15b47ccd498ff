package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/balsamlink/balsamlink/internal/standin/targetapi"
)

// dialError is a failure to establish a flow.
type dialError struct {
	err error
}

// Error implements error.
func (e *dialError) Error() string { return "dial: " + e.err.Error() }

// Unwrap returns the error of the dial.
func (e *dialError) Unwrap() error { return e.err }

// exchange sends one request and verifies its response.
type exchange struct {
	client *http.Client
	host   string
	token  string
	config Config
	kind   Kind
	nonce  string
	// firstNonce is the nonce of the request that this one repeats; empty if it
	// is not a repeat.
	firstNonce     string
	idempotencyKey string
	timeout        time.Duration
}

// run returns the record of the request, without the fields that only its caller knows.
func (e exchange) run(ctx context.Context) Request {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	record := Request{Kind: e.kind, Nonce: e.nonce, Key: e.idempotencyKey}
	request, err := e.newRequest(ctx)
	if err != nil {
		record.Result, record.Error = ResultNoFlow, err.Error()
		return record
	}
	response, err := e.client.Do(request)
	if err != nil {
		record.Result, record.Error = e.classifyFailure(err), err.Error()
		return record
	}
	defer response.Body.Close()
	record.Status = response.StatusCode
	record.Result, err = e.verify(response)
	if err != nil {
		record.Error = err.Error()
	}
	return record
}

func (e exchange) newRequest(ctx context.Context) (*http.Request, error) {
	method, path := http.MethodGet, ""
	var body io.Reader
	switch e.kind {
	case KindFeed:
		interval := e.config.FeedInterval.Milliseconds()
		path = fmt.Sprintf("%s?%s=%d&%s=%d", targetapi.PathFeed, targetapi.QueryBlocks, e.config.FeedBlocks, targetapi.QueryInterval, interval)
	case KindFile:
		path = fmt.Sprintf("%s?%s=%d", targetapi.PathFile, targetapi.QuerySize, e.config.FileSize)
	case KindBooking:
		method, path, body = http.MethodPost, targetapi.PathBooking, strings.NewReader(e.nonce)
	}
	request, err := http.NewRequestWithContext(ctx, method, "https://"+e.host+path, body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set(targetapi.HeaderNonce, e.nonce)
	if e.idempotencyKey != "" {
		request.Header.Set(targetapi.HeaderKey, e.idempotencyKey)
	}
	if e.token != "" {
		request.Header.Set("Authorization", "Bearer "+e.token)
	}
	return request, nil
}

// classifyFailure returns the result of a request that failed before the header of
// a response arrived.
func (e exchange) classifyFailure(err error) Result {
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		return ResultNoFlow
	case e.kind == KindBooking:
		return ResultUnknown
	default:
		return ResultBroken
	}
}

// verify compares a response with the expected one and returns the result of the
// request. The error gives the reason for the result. It is nil for ResultAnswered, and
// for ResultAlreadyRun if the response to the earlier request was repeated.
func (e exchange) verify(response *http.Response) (Result, error) {
	if response.StatusCode/100 != http.StatusOK/100 {
		return e.classifyRefusal(response)
	}
	got := response.Header.Get(targetapi.HeaderNonce)
	if got == "" || (got != e.nonce && got != e.firstNonce) {
		return ResultWrong, Error.New("got the answer to %q instead of %q", got, e.nonce)
	}
	equal, err := sameBytes(response.Body, targetapi.Body(got, e.bodySize()))
	switch {
	case err != nil && e.kind == KindBooking:
		return ResultUnknown, err
	case err != nil:
		return ResultBroken, err
	case !equal:
		return ResultWrong, Error.New("body differs from the expected answer to %q", got)
	case got == e.firstNonce:
		return ResultAlreadyRun, nil
	}
	return ResultAnswered, nil
}

// classifyRefusal returns the result of a request with an unsuccessful response. The
// error contains the status and the text of the response.
func (e exchange) classifyRefusal(response *http.Response) (Result, error) {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	err := Error.New("status %d: %q", response.StatusCode, body)
	switch response.Header.Get(HeaderOutcome) {
	case OutcomeNotRun:
		return ResultNotRun, err
	case OutcomeAlreadyRun:
		return ResultAlreadyRun, err
	case OutcomeInProgress:
		return e.classifyInProgress(), err
	case OutcomeUnknown:
		return ResultUnknown, err
	}
	if e.kind == KindBooking {
		return ResultUnknown, err
	}
	return ResultWrong, err
}

// classifyInProgress returns the result of a request refused as in progress. Only
// a repeat can be in progress: a first request has no earlier one with its key.
func (e exchange) classifyInProgress() Result {
	if e.firstNonce == "" {
		return ResultWrong
	}
	return ResultAlreadyRun
}

const (
	// maxRefusalBytes is the maximum size of the recorded text of a refusal.
	maxRefusalBytes = 512
	// compareBufferSize is the size of each buffer for comparing bodies, in bytes.
	compareBufferSize = 16 << 10
)

// bodySize returns the size of the expected body, in bytes.
func (e exchange) bodySize() int64 {
	switch e.kind {
	case KindFeed:
		return int64(e.config.FeedBlocks) * targetapi.BlockSize
	case KindFile:
		return e.config.FileSize
	default:
		return targetapi.BookingSize
	}
}

// sameBytes reports whether both readers yield the same bytes until EOF. It
// returns an error if reading from got fails; want must not fail.
func sameBytes(got, want io.Reader) (bool, error) {
	gotBuffer := make([]byte, compareBufferSize)
	wantBuffer := make([]byte, compareBufferSize)
	for {
		n, err := got.Read(gotBuffer)
		m, _ := io.ReadFull(want, wantBuffer[:n])
		if !bytes.Equal(gotBuffer[:n], wantBuffer[:m]) {
			return false, nil
		}
		if errors.Is(err, io.EOF) {
			extra, _ := io.ReadFull(want, wantBuffer[:1])
			return extra == 0, nil
		}
		if err != nil {
			return false, Error.Wrap(err)
		}
	}
}
