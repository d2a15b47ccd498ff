package ledger

import (
	"math"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	demandWindow = time.Second
	peakWindow   = time.Second
	// maxReturnedTokens bounds the list of tokens to return; the oldest entries
	// are dropped.
	maxReturnedTokens = 16
)

// demand estimates the request rate as an exponentially weighted average of
// arrivals over demandWindow.
type demand struct {
	// decayedCount is the number of arrivals up to updatedAt, each weighted less
	// the longer ago it was.
	decayedCount float64
	updatedAt    model.Instant
}

func (d *demand) decay(now model.Instant) {
	if now > d.updatedAt {
		d.decayedCount *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandWindow.Seconds())
		d.updatedAt = now
	}
}

func (d *demand) record(now model.Instant) {
	d.decay(now)
	d.decayedCount++
}

// expected returns the number of requests expected within a period, rounded
// down to a whole number.
func (d *demand) expected(now model.Instant, period time.Duration) uint32 {
	d.decay(now)
	return uint32(d.decayedCount * period.Seconds() / demandWindow.Seconds())
}

// peak tracks the largest number of concurrent requests within peakWindow.
type peak struct {
	value uint32
	at    model.Instant
}

func (p *peak) observe(now model.Instant, value uint32) {
	if value >= p.value || now.Sub(p.at) > peakWindow {
		p.value = value
		p.at = now
	}
}

// tokens holds the available rate tokens in the order in which they were added.
type tokens struct {
	slices []tokenSlice
}

// tokenSlice is a number of tokens from one grant.
type tokenSlice struct {
	count     uint32
	expiresAt model.Instant
	// seq is the number of the exchange that granted the tokens.
	seq uint64
}

func (t *tokens) add(slice tokenSlice) {
	if slice.count > 0 {
		t.slices = append(t.slices, slice)
	}
}

// expire removes the expired tokens and appends them to returned, which is
// truncated to the newest maxReturnedTokens entries.
func (t *tokens) expire(now model.Instant, returned []ReturnedTokens) []ReturnedTokens {
	valid := t.slices[:0]
	for _, slice := range t.slices {
		if slice.expiresAt <= now {
			returned = append(returned, ReturnedTokens{Seq: slice.seq, Tokens: slice.count})
			continue
		}
		valid = append(valid, slice)
	}
	t.slices = valid
	return returned[max(len(returned)-maxReturnedTokens, 0):]
}

func (t *tokens) count() uint32 {
	var count uint32
	for _, slice := range t.slices {
		count += slice.count
	}
	return count
}

// take consumes one token of the slice that was added first. It returns false if
// there is none.
func (t *tokens) take() (tokenSlice, bool) {
	if len(t.slices) == 0 {
		return tokenSlice{}, false
	}
	token := t.slices[0]
	token.count = 1
	t.slices[0].count--
	if t.slices[0].count == 0 {
		t.slices = t.slices[1:]
	}
	return token, true
}
