package packetnode

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// firstOutageRetry is the minimum delay after the first failed call to the store. It
	// doubles with each further one, up to maxOutageRetry, or outageRetrySpacing times the
	// number of known nodes where that is longer, agentOutageRetrySpacing times on agents:
	// they hear from balancers of changes and of the store's return. Calls cost money even
	// while the store is away.
	firstOutageRetry        = 250 * time.Millisecond
	maxOutageRetry          = time.Second
	outageRetrySpacing      = 15 * time.Millisecond
	agentOutageRetrySpacing = 60 * time.Millisecond
	// firstOutageShare is the share of the longest delay that the first one has at least.
	firstOutageShare = 0.25
	// outageJitter is the share by which each delay varies at random.
	outageJitter = 0.25
	// urgentOutageRetry is the delay for a node that cannot serve until the store answers,
	// in the first urgentPeriod of an outage. Callers have latency targets of 200 ms, so
	// they notice every 100 ms without service.
	urgentOutageRetry = 100 * time.Millisecond
	urgentPeriod      = time.Second
	// returnSpread is the time over which nodes that learn from each other of the store's
	// return spread their next calls.
	returnSpread = 300 * time.Millisecond
)

// outage decides when a node may call the store after a call has failed. All activities of
// the node share it: while the store is away, only one call at a time is made, and the
// first that is answered ends the outage for all of them. The zero value is no outage.
type outage struct {
	// failures is the number of failed calls since the last answer.
	failures int
	started  model.Instant
	// lastFailure is when the last call failed, and next when the next may be made.
	lastFailure model.Instant
	next        model.Instant
	// calling is set while a call is under way that was made during the outage.
	calling bool
	// returnHeard is set once a node that the store answers has been heard of.
	returnHeard bool
}

// allows reports whether the store may be called.
func (o *outage) allows(now model.Instant) bool {
	return o.failures == 0 || (!o.calling && now >= o.next)
}

// begin records that a call is made.
func (o *outage) begin() { o.calling = o.failures > 0 }

// answered records a call that the store has answered.
func (o *outage) answered() { *o = outage{} }

// longestOutageRetry returns the longest delay of a node that knows a number of others.
func longestOutageRetry(role model.Role, nodes int) time.Duration {
	spacing := outageRetrySpacing
	if role == model.RoleAgent {
		spacing = agentOutageRetrySpacing
	}
	return max(maxOutageRetry, time.Duration(nodes)*spacing)
}

// failed records a failed call. A call is urgent if the node cannot serve without it. The
// random number is between 0 and 1.
func (o *outage) failed(now model.Instant, urgent bool, longest time.Duration, random float64) {
	if o.failures == 0 {
		o.started = now
	}
	delay := longest
	if doublings := o.failures; doublings < 8 {
		first := max(firstOutageRetry, time.Duration(firstOutageShare*float64(longest)))
		delay = min(longest, first<<doublings)
	}
	if urgent && now.Sub(o.started) < urgentPeriod {
		delay = urgentOutageRetry
	}
	o.failures++
	o.calling, o.lastFailure = false, now
	o.next = now.Add(time.Duration(float64(delay) * (1 + outageJitter*(2*random-1))))
}

// hear records that the store has answered another node at some moment. Once in an outage
// this makes the next call due soon. If that fails too, the store turns this node away,
// and the delays go on.
func (o *outage) hear(now, answeredAt model.Instant, random float64) {
	if o.failures == 0 || o.returnHeard || answeredAt <= o.lastFailure {
		return
	}
	o.returnHeard = true
	o.next = min(o.next, now.Add(time.Duration(random*float64(returnSpread))))
}
