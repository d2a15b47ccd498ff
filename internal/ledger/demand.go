package ledger

import (
	"math"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	demandTime = time.Second
	peakTime   = time.Second
	// maxBacks bounds the list of tokens to give back.
	maxBacks = 16
)

// demand estimates the rate of requests from their arrivals, with an
// exponentially weighted average over demandTime.
type demand struct {
	weight float64
	at     model.Instant
}

func (d *demand) decay(now model.Instant) {
	if now > d.at {
		d.weight *= math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
		d.at = now
	}
}

func (d *demand) arrive(now model.Instant) {
	d.decay(now)
	d.weight++
}

// within returns the number of requests to expect within a time. Less than one
// is returned as zero.
func (d *demand) within(now model.Instant, term time.Duration) uint32 {
	d.decay(now)
	return uint32(d.weight * term.Seconds() / demandTime.Seconds())
}

// peak follows the most open requests of the last peakTime.
type peak struct {
	value uint32
	at    model.Instant
}

func (p *peak) see(now model.Instant, value uint32) {
	if value >= p.value || now.Sub(p.at) > peakTime {
		p.value = value
		p.at = now
	}
}

// tokens are the rate tokens in hand, oldest first.
type tokens struct {
	slices []tokenSlice
}

type tokenSlice struct {
	count uint32
	until model.Instant
	// seq is the exchange that brought the tokens.
	seq uint64
}

func (t *tokens) add(slice tokenSlice) {
	if slice.count > 0 {
		t.slices = append(t.slices, slice)
	}
}

// expire removes the tokens that are no longer valid and adds them to back.
func (t *tokens) expire(now model.Instant, back []ReturnedTokens) []ReturnedTokens {
	valid := t.slices[:0]
	for _, slice := range t.slices {
		if slice.until <= now {
			back = append(back, ReturnedTokens{Seq: slice.seq, Tokens: slice.count})
			continue
		}
		valid = append(valid, slice)
	}
	t.slices = valid
	return back[max(len(back)-maxBacks, 0):]
}

func (t *tokens) count() uint32 {
	var count uint32
	for _, slice := range t.slices {
		count += slice.count
	}
	return count
}

// take uses the token that ends first and returns it.
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
