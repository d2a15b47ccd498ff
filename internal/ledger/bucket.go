package ledger

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

const (
	// rateWindow is the window over which the overshoot of a rate is bounded.
	rateWindow = 10 * time.Second
	// maxOvershoot is the tolerated overshoot within rateWindow, as a fraction of
	// what the plan allows.
	maxOvershoot = 0.05
	// minCapacityTime is the least capacity of a bucket, expressed as time at the
	// full rate.
	minCapacityTime = 150 * time.Millisecond
	// returnDelay is how long after the expiry of a token it may still be
	// returned.
	returnDelay = 100 * time.Millisecond
	// minTokenTTL and maxTokenTTL bound the result of tokenTTL.
	minTokenTTL = 100 * time.Millisecond
	maxTokenTTL = 2 * time.Second
)

// bucket is the token bucket of one account. It also tracks the granted tokens
// that may still be returned.
type bucket struct {
	level       float64
	refilledAt  model.Instant
	outstanding outstanding
}

// capacity returns the maximum number of tokens in a bucket.
func capacity(a plan.Allowance) float64 {
	return max(float64(a.Burst), a.RequestsPerSecond*minCapacityTime.Seconds(), 1)
}

// tokenTTL returns how long granted tokens stay valid. The tokens in the bucket
// and the outstanding ones together never exceed capacity + rate*(TTL +
// returnDelay), so the use within any rateWindow is at most that plus
// rate*rateWindow. The TTL is chosen so that this stays within maxOvershoot of
// burst + rate*rateWindow.
func tokenTTL(a plan.Allowance) time.Duration {
	if a.RequestsPerSecond <= 0 {
		return minTokenTTL
	}
	allowed := float64(a.Burst) + a.RequestsPerSecond*rateWindow.Seconds()
	spare := maxOvershoot*allowed - (capacity(a) - float64(a.Burst))
	ttl := time.Duration(spare/a.RequestsPerSecond*float64(time.Second)) - returnDelay
	return min(max(ttl, minTokenTTL), maxTokenTTL)
}

func (b *bucket) refill(now model.Instant, a plan.Allowance) {
	if now > b.refilledAt {
		b.level += a.RequestsPerSecond * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	returnable := tokenTTL(a) + returnDelay
	b.outstanding.expire(now.Add(-returnable))
	spare := capacity(a) + a.RequestsPerSecond*returnable.Seconds() - float64(b.outstanding.total)
	b.level = max(min(b.level, capacity(a), spare), 0)
}

// take grants a node as many of the wanted tokens as the bucket holds, in whole
// tokens, and returns the number granted.
func (b *bucket) take(now model.Instant, a plan.Allowance, node model.NodeID, seq uint64, want uint32) uint32 {
	b.refill(now, a)
	got := min(want, uint32(b.level))
	b.level -= float64(got)
	b.outstanding.add(node, seq, now, got)
	return got
}

// returnTokens puts unused tokens of a node back into the bucket. Tokens whose
// grant has already expired from the outstanding list are discarded.
func (b *bucket) returnTokens(now model.Instant, a plan.Allowance, node model.NodeID, returned []ReturnedTokens) {
	b.refill(now, a)
	b.level += float64(b.outstanding.returnTokens(node, returned))
	b.refill(now, a)
}

// retryAfter returns how long a client should wait after the bucket was
// emptied: until the next token is available, and not less than the time to
// refill the whole bucket, which is clamped to the range from minRetry to
// maxRetry.
func (b *bucket) retryAfter(a plan.Allowance) time.Duration {
	if a.RequestsPerSecond <= 0 {
		return maxTokenTTL
	}
	fill := time.Duration(capacity(a) / a.RequestsPerSecond * float64(time.Second))
	return max(b.untilNextToken(a), min(max(fill, minRetry), maxRetry))
}

// untilNextToken returns the time until the bucket holds one token.
func (b *bucket) untilNextToken(a plan.Allowance) time.Duration {
	missing := max(1-b.level, 0)
	return time.Duration(missing / a.RequestsPerSecond * float64(time.Second))
}
