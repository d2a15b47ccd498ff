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
	// HeaderKey is the idempotency key of a non-idempotent request.
	HeaderKey = "Idempotency-Key"
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

const (
	maxDeadline = 24 * time.Hour
)

// hopHeaders are the headers that belong to one connection (RFC 9110, 7.6.1),
// and Expect, which the agent answers itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyEndToEnd copies the headers that are meant for the other end.
func copyEndToEnd(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, listed := range from.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
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
