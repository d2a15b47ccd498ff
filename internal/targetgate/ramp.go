package targetgate

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// overloadFactor is how many times longer than usual a target must have worked on a
	// request to count as overloaded. Single requests take several times the mean.
	overloadFactor = 6
	// minStall is the minimum time without any response after which a target with
	// requests outstanding counts as overloaded.
	minStall = 200 * time.Millisecond
	// backOffInterval is the minimum time between two reductions of a limit: responses to
	// requests that were sent before the first one tell nothing new.
	backOffInterval = 100 * time.Millisecond
)

// ramp limits the requests outstanding at a cold target whose operators have not stated
// how much it bears. The limit begins at one request and grows with each response, as
// TCP's congestion window does: by one until the target was first overloaded, by one in a
// whole round of responses after that. It is halved when the target is overloaded.
type ramp struct {
	size float64
	// reduced is set once the target was overloaded.
	reduced      bool
	lastReduced  model.Instant
	lastResponse model.Instant
}

// limit returns the number of requests that may be outstanding. A target counts as
// overloaded when it has requests outstanding and gives no response for longer than
// minStall and overloadFactor times its usual work.
func (r *ramp) limit(now model.Instant, outstanding int, work time.Duration) int {
	if outstanding == 0 || r.lastResponse == 0 {
		r.lastResponse = now
	}
	if now.Sub(r.lastResponse) > max(minStall, overloadFactor*work) {
		r.lastResponse = now
		r.overloaded(now)
	}
	return int(max(1, r.size))
}

// responded records a response. The limit does not grow beyond the maximum.
func (r *ramp) responded(now model.Instant, slow bool, maximum int) {
	r.lastResponse = now
	switch {
	case slow:
		r.overloaded(now)
	case r.reduced:
		r.size = min(float64(maximum), r.size+1/r.size)
	default:
		r.size = min(float64(maximum), max(1, r.size)+1)
	}
}

// overloaded records a sign that the target has more requests than it bears.
func (r *ramp) overloaded(now model.Instant) {
	if r.lastReduced != 0 && now.Sub(r.lastReduced) < backOffInterval {
		return
	}
	r.reduced, r.lastReduced = true, now
	r.size = max(1, r.size/2)
}
