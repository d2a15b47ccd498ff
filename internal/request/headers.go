package request

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// The headers that agents and callers exchange.
const (
	// HeaderOutcome reports whether a request was run. It is set in each response
	// that an agent sends instead of a target's.
	HeaderOutcome = "Balsam-Outcome"
	// HeaderDeadline is the time until the deadline of a request, in
	// milliseconds.
	HeaderDeadline = "Balsam-Deadline-Ms"
	// HeaderIdempotencyKey is the idempotency key of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderHandover marks a request that one agent hands over to another. Its
	// value is the service.
	HeaderHandover = "Balsam-Handed"
	// HeaderHandoverResult is set in the response to a handed-over request. It
	// reports whether the receiving agent's target has responded and, if not,
	// whether it may have got the request.
	HeaderHandoverResult = "Balsam-Offer"
	// HeaderLoad contains an agent's load, in responses between agents.
	HeaderLoad = "Balsam-Load"
)

// Outcome is the value of HeaderOutcome.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that no byte of the request was sent to a target.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a target may or may not have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInProgress means that an earlier request with the same
	// idempotency key was sent to a target and has not ended.
	OutcomeInProgress Outcome = "in-progress"
	// OutcomeAlreadyRun means that an earlier request with the same
	// idempotency key got a response.
	OutcomeAlreadyRun Outcome = "already-run"
)

// The values of HeaderHandoverResult.
const (
	handoverRefused  = "refused"
	handoverUnknown  = "unknown"
	handoverAnswered = "answered"
)

const (
	// maxDeadline is the maximum value of HeaderDeadline.
	maxDeadline = 24 * time.Hour
	// maxKeyLength is the maximum length of an idempotency key, in bytes.
	maxKeyLength = 256
)

// hopByHopHeaders are not forwarded: the headers of a single connection (RFC
// 9110, 7.6.1), Expect, to which the agent itself responds, and the headers
// that only agents set.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	HeaderHandover, HeaderHandoverResult, HeaderLoad, HeaderOutcome,
}

// copyEndToEnd copies the end-to-end headers, that is, all but hopByHopHeaders and those
// that the Connection header lists.
func copyEndToEnd(to, from http.Header) {
	excluded := map[string]bool{}
	for _, name := range hopByHopHeaders {
		excluded[name] = true
	}
	for _, listed := range from.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			excluded[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	for name, values := range from {
		if !excluded[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}

// remainingTime returns the time in HeaderDeadline and whether the header is present.
func remainingTime(r *http.Request) (time.Duration, bool, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, false, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0, false, Error.New("header %s: %q is not a number from 0 to %d", HeaderDeadline, text, maxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, true, nil
}

// idempotent reports whether repeating a request of this method has the same
// effect as sending it once (RFC 9110, 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// idempotencyKey returns the idempotency key, or an empty string if there is
// none.
func idempotencyKey(r *http.Request) (string, error) {
	values := r.Header.Values(HeaderIdempotencyKey)
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", Error.New("header %s: more than one value", HeaderIdempotencyKey)
	case values[0] == "" || len(values[0]) > maxKeyLength:
		return "", Error.New("header %s: want 1 to %d bytes", HeaderIdempotencyKey, maxKeyLength)
	}
	return values[0], nil
}
