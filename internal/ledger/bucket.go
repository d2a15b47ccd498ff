package ledger

import (
	"math"
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
	minFill = 200 * time.Millisecond
	// returnDelay is how long after the end of its term a token may come back.
	returnDelay = 100 * time.Millisecond
	minTerm     = 150 * time.Millisecond
	maxTerm     = 2 * time.Second
)

// bucket is a token bucket of one account.
type bucket struct {
	level  float64
	filled model.Instant
}

// capacity returns the most tokens that a bucket holds.
func capacity(a plan.Allowance) float64 {
	return max(float64(a.Burst), a.RequestsPerSecond*minFill.Seconds(), 1)
}

// tokenTerm returns how long granted tokens stay valid. Use in any rateWindow is
// at most capacity + rate*(rateWindow+term+returnDelay), and the term keeps that
// within maxOvershoot of burst + rate*rateWindow.
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
	b.level = min(b.level, capacity(a))
}

// take removes up to want whole tokens and returns how many.
func (b *bucket) take(now model.Instant, a plan.Allowance, want uint32) uint32 {
	b.fill(now, a)
	got := min(want, uint32(math.Max(b.level, 0)))
	b.level -= float64(got)
	return got
}

// putBack returns unused tokens to the bucket.
func (b *bucket) putBack(now model.Instant, a plan.Allowance, tokens uint32) {
	b.level += float64(tokens)
	b.fill(now, a)
}

// nextToken returns how long it takes until one token is there.
func (b *bucket) nextToken(a plan.Allowance) time.Duration {
	if a.RequestsPerSecond <= 0 {
		return maxTerm
	}
	missing := max(1-b.level, 0)
	return time.Duration(missing / a.RequestsPerSecond * float64(time.Second))
}
