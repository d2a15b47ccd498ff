package request

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// refusal is a response that the agent itself sends instead of a target's.
type refusal struct {
	status  int
	outcome Outcome
	reason  string
	// retryAfter is when the caller may retry; 0 means that the response does not say.
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// notRun returns the refusal of a request of which no byte was sent to a target.
func notRun(status int, reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, outcome: OutcomeNotRun, reason: reason, retryAfter: retryAfter}
}

// defaultRetryAfter is the retryAfter of a refusal whose cause gives no time.
const defaultRetryAfter = time.Second

// unavailable returns the refusal, with status 503, of a request that was not sent to a
// target and may be retried.
func unavailable(reason string) *refusal {
	return notRun(http.StatusServiceUnavailable, reason, defaultRetryAfter)
}

func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set(HeaderOutcome, string(r.outcome))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := r.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if r.retryAfter > 0 {
		seconds := int(math.Ceil(r.retryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body)) // a caller that has gone needs no refusal
}
