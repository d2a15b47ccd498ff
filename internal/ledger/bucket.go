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
	minFill = 150 * time.Millisecond
	// returnDelay is how long after the end of its term a token may come back.
	returnDelay = 100 * time.Millisecond
	minTerm     = 100 * time.Millisecond
	maxTerm     = 2 * time.Second
	// maxTokenGrants bounds the grants to one agent that tokens may come back from.
	maxTokenGrants = 32
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

// tokenTerm returns how long granted tokens stay valid. Tokens that are used in
// a rateWindow were granted at most one term before it, and tokens that come
// back in it at most one term and returnDelay earlier still. So the use is at
// most capacity + rate*(rateWindow+2*term+returnDelay), and the term keeps that
// within maxOvershoot of burst + rate*rateWindow.
func tokenTerm(a plan.Allowance) time.Duration {
	if a.RequestsPerSecond <= 0 {
		return minTerm
	}
	allowed := float64(a.Burst) + a.RequestsPerSecond*rateWindow.Seconds()
	spare := maxOvershoot*allowed - (capacity(a) - float64(a.Burst))
	term := time.Duration(spare/a.RequestsPerSecond*float64(time.Second)) - returnDelay
	return min(max(term/2, minTerm), maxTerm)
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

// tokenGrants are the tokens that one agent got and may give back, oldest first.
type tokenGrants []tokenGrant

type tokenGrant struct {
	at     model.Instant
	tokens uint32
}

// since drops the grants that were made before an instant.
func (g tokenGrants) since(at model.Instant) tokenGrants {
	for len(g) > 0 && g[0].at < at {
		g = g[1:]
	}
	return g
}

// add notes a grant. The oldest one is forgotten when there are too many.
func (g tokenGrants) add(grant tokenGrant) tokenGrants {
	if grant.tokens == 0 {
		return g
	}
	if len(g) == maxTokenGrants {
		g = g[1:]
	}
	return append(g, grant)
}

// takeBack removes up to count tokens and returns how many were left to give back.
func (g tokenGrants) takeBack(count uint32) (tokenGrants, uint32) {
	var taken uint32
	for len(g) > 0 && taken < count {
		part := min(count-taken, g[0].tokens)
		taken += part
		g[0].tokens -= part
		if g[0].tokens == 0 {
			g = g[1:]
		}
	}
	return g, taken
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
