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

// dialError marks a failure to establish a flow.
type dialError struct {
	err error
}

// Error implements error.
func (e *dialError) Error() string { return "dial: " + e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

// exchange sends one request and checks its answer.
type exchange struct {
	client *http.Client
	host   string
	token  string
	config Config
	kind   Kind
	nonce  string
	// first is the nonce of the request that this one repeats; empty for none.
	first   string
	key     string
	timeout time.Duration
}

func (e exchange) run(ctx context.Context) Request {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	record := Request{Kind: e.kind, Nonce: e.nonce, Key: e.key}
	request, err := e.request(ctx)
	if err != nil {
		record.Result, record.Error = ResultNoFlow, err.Error()
		return record
	}
	response, err := e.client.Do(request)
	if err != nil {
		record.Result, record.Error = e.failure(err), err.Error()
		return record
	}
	defer response.Body.Close()
	record.Status = response.StatusCode
	record.Result, err = e.check(response)
	if err != nil {
		record.Error = err.Error()
	}
	return record
}

func (e exchange) request(ctx context.Context) (*http.Request, error) {
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
	if e.key != "" {
		request.Header.Set(targetapi.HeaderKey, e.key)
	}
	if e.token != "" {
		request.Header.Set("Authorization", "Bearer "+e.token)
	}
	return request, nil
}

// failure classes an error that came before the head of an answer.
func (e exchange) failure(err error) Result {
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

func (e exchange) check(response *http.Response) (Result, error) {
	if response.StatusCode/100 != http.StatusOK/100 {
		return e.checkRefusal(response)
	}
	got := response.Header.Get(targetapi.HeaderNonce)
	if got == "" || (got != e.nonce && got != e.first) {
		return ResultWrong, Error.New("answer to %q instead of %q", got, e.nonce)
	}
	whole, err := sameBytes(response.Body, targetapi.Body(got, e.size()))
	switch {
	case err != nil && e.kind == KindBooking:
		return ResultUnknown, err
	case err != nil:
		return ResultBroken, err
	case !whole:
		return ResultWrong, Error.New("body is not the answer to %q", got)
	case got == e.first:
		return ResultAlreadyRun, nil
	}
	return ResultAnswered, nil
}

func (e exchange) checkRefusal(response *http.Response) (Result, error) {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalText))
	err := Error.New("status %d: %q", response.StatusCode, text)
	switch response.Header.Get(OutcomeHeader) {
	case OutcomeNotRun:
		return ResultNotRun, err
	case OutcomeAlreadyRun:
		return ResultAlreadyRun, err
	case OutcomeInProgress:
		return e.refusalInProgress(), err
	case OutcomeUnknown:
		return ResultUnknown, err
	}
	if e.kind == KindBooking {
		return ResultUnknown, err
	}
	return ResultWrong, err
}

// refusalInProgress classes the refusal of a repeat. A first request has no
// earlier one that could be in progress.
func (e exchange) refusalInProgress() Result {
	if e.first == "" {
		return ResultWrong
	}
	return ResultAlreadyRun
}

const (
	maxRefusalText = 512
	compareBuffer  = 16 << 10
)

func (e exchange) size() int64 {
	switch e.kind {
	case KindFeed:
		return int64(e.config.FeedBlocks) * targetapi.BlockSize
	case KindFile:
		return e.config.FileSize
	default:
		return targetapi.BookingSize
	}
}

// sameBytes reports whether both readers hold the same bytes up to their ends.
// It returns an error when got ends with one.
func sameBytes(got, want io.Reader) (bool, error) {
	gotBuffer := make([]byte, compareBuffer)
	wantBuffer := make([]byte, compareBuffer)
	for {
		n, err := got.Read(gotBuffer)
		m, _ := io.ReadFull(want, wantBuffer[:n])
		if !bytes.Equal(gotBuffer[:n], wantBuffer[:m]) {
			return false, nil
		}
		if errors.Is(err, io.EOF) {
			rest, _ := io.ReadFull(want, wantBuffer[:1])
			return rest == 0, nil
		}
		if err != nil {
			return false, Error.Wrap(err)
		}
	}
}
