package ledger

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

const (
	// rateWindow is the window over which the overshoot of a rate is bounded.
	rateWindow = 10 * time.Second
	// maxOvershoot is the allowed overshoot over rateWindow, as a fraction.
	maxOvershoot = 0.05
	// minFill is the least capacity of a bucket, as time at the full rate.
	minFill = 150 * time.Millisecond
	// returnDelay is how long after the end of its term a token may come back.
	returnDelay = 100 * time.Millisecond
	minTerm     = 100 * time.Millisecond
	maxTerm     = 2 * time.Second
)

// bucket is a token bucket of one account.
type bucket struct {
	level  float64
	filled model.Instant
	out    outstanding
}

// capacity returns the most tokens that a bucket holds.
func capacity(a plan.Allowance) float64 {
	return max(float64(a.Burst), a.RequestsPerSecond*minFill.Seconds(), 1)
}

// tokenTerm returns how long granted tokens stay valid. The level of the bucket
// and the tokens that are out stay together below capacity + rate*(term +
// returnDelay), so the use in any rateWindow is at most that and
// rate*rateWindow. The term keeps it within maxOvershoot of burst +
// rate*rateWindow.
func tokenTerm(a plan.Allowance) time.Duration {
	if a.RequestsPerSecond <= 0 {
		return minTerm
	}
	allowed := float64(a.Burst) + a.RequestsPerSecond*rateWindow.Seconds()
	spare := maxOvershoot*allowed - (capacity(a) - float64(a.Burst))
	term := time.Duration(spare/a.RequestsPerSecond*float64(time.Second)) - returnDelay
	return min(max(term, minTerm), maxTerm)
}

func (b *bucket) fill(now model.Instant, a plan.Allowance) {
	if now > b.filled {
		b.level += a.RequestsPerSecond * now.Sub(b.filled).Seconds()
		b.filled = now
	}
	returnable := tokenTerm(a) + returnDelay
	b.out.expire(now.Add(-returnable))
	spare := capacity(a) + a.RequestsPerSecond*returnable.Seconds() - float64(b.out.total)
	b.level = max(min(b.level, capacity(a), spare), 0)
}

// take removes up to want whole tokens for a node and returns how many.
func (b *bucket) take(now model.Instant, a plan.Allowance, node model.NodeID, seq uint64, want uint32) uint32 {
	b.fill(now, a)
	got := min(want, uint32(b.level))
	b.level -= float64(got)
	b.out.add(node, seq, now, got)
	return got
}

// putBack returns unused tokens of a node to the bucket. Tokens that were
// granted too long ago are lost.
func (b *bucket) putBack(now model.Instant, a plan.Allowance, node model.NodeID, back []ReturnedTokens) {
	b.fill(now, a)
	b.level += float64(b.out.takeBack(node, back))
	b.fill(now, a)
}

// retryAfter returns when to ask again after the bucket was emptied: when there
// is a token again, but not more often than it takes to fill the bucket.
func (b *bucket) retryAfter(a plan.Allowance) time.Duration {
	if a.RequestsPerSecond <= 0 {
		return maxTerm
	}
	fill := time.Duration(capacity(a) / a.RequestsPerSecond * float64(time.Second))
	return max(b.nextToken(a), min(max(fill, minRetry), maxPoll))
}

// nextToken returns how long it takes until one token is there.
func (b *bucket) nextToken(a plan.Allowance) time.Duration {
	missing := max(1-b.level, 0)
	return time.Duration(missing / a.RequestsPerSecond * float64(time.Second))
}
