package request

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// The headers that the agent and its callers use.
const (
	// HeaderOutcome tells what is known of a request that failed.
	HeaderOutcome = "Balsam-Outcome"
	// HeaderDeadline is the time left for a request, in milliseconds.
	HeaderDeadline = "Balsam-Deadline-Ms"
	// HeaderIdempotencyKey is the idempotency key of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderHandover marks a request that one agent hands over to another and
	// names its service.
	HeaderHandover = "Balsam-Handed"
	// HeaderHandoverResult tells the handing agent what became of the request.
	HeaderHandoverResult = "Balsam-Offer"
	// HeaderLoad carries an agent's load on answers between agents.
	HeaderLoad = "Balsam-Load"
)

// Outcome is the value of HeaderOutcome.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun tells that no byte of the request was offered to a target.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown tells that a target may or may not have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInProgress tells that an earlier request with the same idempotency
	// key was offered to a target and has not ended.
	OutcomeInProgress Outcome = "in-progress"
	// OutcomeAlreadyRun tells that an earlier request with the same idempotency
	// key was answered.
	OutcomeAlreadyRun Outcome = "already-run"
)

// The values of HeaderOffer.
const (
	offerRefused  = "refused"
	offerUnknown  = "unknown"
	offerAnswered = "answered"
)

const (
	maxDeadline  = 24 * time.Hour
	maxKeyLength = 256
)

// hopHeaders are the headers that belong to one connection (RFC 9110, 7.6.1),
// Expect, which the agent answers itself, and what only agents say.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	HeaderHandover, HeaderHandoverResult, HeaderLoad, HeaderOutcome,
}

// copyEndToEnd copies the headers that are meant for the other end.
func copyEndToEnd(to, from http.Header) {
	hop := map[string]bool{}
	for _, name := range hopHeaders {
		hop[name] = true
	}
	for _, listed := range from.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			hop[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	for name, values := range from {
		if !hop[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}

// timeLeft reads the deadline header. The second result tells whether there is
// one.
func timeLeft(r *http.Request) (time.Duration, bool, error) {
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

// idempotent reports whether a repeat of the method has the same effect as one
// request (RFC 9110, 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// idempotencyKey reads the idempotency key, which is empty when there is none.
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
