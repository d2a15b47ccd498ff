package shardowner

import (
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

var metrics = expvar.NewMap("keeper")

// run is the control goroutine. It owns the shards.
func (k *Owner) run(ctx context.Context) {
	defer close(k.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	quit := k.quit
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-k.calls:
			k.answer(&k.shards[call.request.Shard], call, false)
		case event := <-k.events:
			event()
		case <-ticker.C:
			k.tick()
		case <-quit:
			quit = nil
			k.stopping = true
		}
		if k.stopping && k.idle() {
			return
		}
	}
}

func (k *Owner) idle() bool {
	for i := range k.shards {
		if k.shards[i].phase != phaseNone || k.shards[i].leasing {
			return false
		}
	}
	return true
}

// post hands the end of a platform call to the control goroutine.
func (k *Owner) post(event event) {
	select {
	case k.events <- event:
	case <-k.done:
	}
}

func (k *Owner) tick() {
	now := k.now()
	kept := int64(0)
	for i := range k.shards {
		s := &k.shards[i]
		s.expire(now.At)
		if s.phase == phaseNone {
			k.seek(s, now)
			continue
		}
		kept++
		k.keep(s, now)
	}
	shardsKept.Set(kept)
}

var shardsKept = new(expvar.Int)

func init() { metrics.Set("shards", shardsKept) }

// keep does what is due for a kept shard.
func (k *Owner) keep(s *shard, now ledger.Moment) {
	k.renewLease(s, now)
	k.answerParked(s, now.At)
	if s.phase == phaseNone {
		return
	}
	if now.At >= s.nextSweep {
		s.nextSweep = now.At.Add(sweepInterval)
		s.ledger.Sweep(now)
	}
	if s.phase == phaseReleasing {
		k.release(s, now)
		return
	}
	k.writeDue(s, now)
	if k.shouldRelease(s, now.At) {
		s.phase = phaseReleasing
		s.ledger.Close()
		k.redirectParked(s)
	}
}

func (k *Owner) shouldRelease(s *shard, now model.Instant) bool {
	if k.stopping {
		return true
	}
	ranked := k.ranked(s.id)
	if ranked[0].Node == k.config.Node || s.phase != phaseKeeping {
		s.outranked = 0
		return false
	}
	if s.outranked == 0 {
		s.outranked = now
	}
	return now.Sub(s.outranked) > outrankedTime
}

// answer serves a call, parks it or redirects it.
func (k *Owner) answer(s *shard, call *call, final bool) {
	now := k.now()
	s.expire(now.At)
	switch s.phase {
	case phaseDoubtful:
		k.renewLease(s, now)
		k.park(s, call)
		return
	case phaseKeeping, phaseOrphan:
	default:
		k.hurry(s, now.At)
		call.answer <- answer{reply: k.redirect(s)}
		return
	}
	reply, err := s.ledger.Exchange(now, k.terms(), call.request, final)
	metrics.Add("exchanges", 1)
	switch {
	case errors.Is(err, ledger.ErrDeferred):
		k.park(s, call)
		k.writeDue(s, now)
	case errors.Is(err, ledger.ErrSuperseded):
		k.lose(s, err)
		call.answer <- answer{reply: k.redirect(s)}
	default:
		call.answer <- answer{reply: reply, err: err}
	}
}

func (k *Owner) park(s *shard, call *call) {
	if len(s.parked) >= maxParked {
		call.answer <- answer{err: Error.New("%d requests wait for a write", len(s.parked))}
		return
	}
	s.parked = append(s.parked, call)
}

// answerParked ends the wait of the calls whose time is over.
func (k *Owner) answerParked(s *shard, now model.Instant) {
	var still []*call
	var over []*call
	for _, call := range s.parked {
		if now < call.until {
			still = append(still, call)
			continue
		}
		over = append(over, call)
	}
	s.parked = still
	for _, call := range over {
		if s.phase == phaseDoubtful {
			call.answer <- answer{err: Error.New("lease of shard %d is in doubt", s.id)}
			continue
		}
		k.answer(s, call, true)
	}
}

// resume serves the parked calls again.
func (k *Owner) resume(s *shard) {
	parked := s.parked
	s.parked = nil
	for _, call := range parked {
		k.answer(s, call, false)
	}
}

func (k *Owner) redirectParked(s *shard) {
	for _, call := range s.parked {
		call.answer <- answer{reply: k.redirect(s)}
	}
	s.parked = nil
}

// redirect names the node to ask instead of this one.
func (k *Owner) redirect(s *shard) ledger.Reply {
	if s.holder.Control.IsValid() && s.holder.Node != k.config.Node {
		return ledger.Reply{Redirect: s.holder.Control.String()}
	}
	for _, record := range k.ranked(s.id) {
		if record.Node != k.config.Node {
			return ledger.Reply{Redirect: record.Control.String()}
		}
	}
	return ledger.Reply{}
}

// lose drops a shard that another node has taken.
func (k *Owner) lose(s *shard, err error) {
	k.log(s).WithError(err).Warn("event=shard_lost")
	metrics.Add("shards_lost", 1)
	s.drop()
	k.redirectParked(s)
}

func (k *Owner) log(s *shard) *logrus.Entry {
	return k.config.Log.WithField("shard", s.id)
}

// writeDue starts the writes that are due.
func (k *Owner) writeDue(s *shard, now ledger.Moment) {
	if s.ceilings.idle(now.At) && (s.ceilingsDoc != nil || s.ledger.CeilingsDue()) {
		k.writeCeilingsNow(s, now)
	}
	if s.metering.idle(now.At) && (s.meteringDoc != nil || s.ledger.MeteringDue()) {
		k.writeMeteringNow(s, now)
	}
}

func (k *Owner) writeCeilingsNow(s *shard, now ledger.Moment) {
	if s.ceilingsDoc == nil {
		doc := s.ledger.ProposeCeilings(now, k.terms())
		s.ceilingsDoc = &doc
	}
	s.ceilings.start(now.At, ceilingsInterval)
	tenure, doc, expect := s.tenure, *s.ceilingsDoc, s.ceilings.version
	k.background(func(ctx context.Context) event {
		version, err := k.writeCeilings(ctx, s.id, doc, expect)
		return func() { k.ceilingsDone(s, tenure, version, err) }
	})
}

func (k *Owner) writeMeteringNow(s *shard, now ledger.Moment) {
	if s.meteringDoc == nil {
		doc := s.ledger.ProposeMetering(now)
		s.meteringDoc = &doc
	}
	s.metering.start(now.At, meteringInterval)
	tenure, doc, expect := s.tenure, *s.meteringDoc, s.metering.version
	k.background(func(ctx context.Context) event {
		version, err := k.writeMetering(ctx, s.id, doc, expect)
		return func() { k.meteringDone(s, tenure, version, err) }
	})
}

// background runs platform calls beside the control goroutine, within
// storeTime, and posts their end.
func (k *Owner) background(work func(context.Context) event) {
	go func() {
		limited, cancel := context.WithTimeout(k.ctx, storeTime)
		defer cancel()
		k.post(work(limited))
	}()
}

func (k *Owner) ceilingsDone(s *shard, tenure uint64, version platform.Version, err error) {
	if s.tenure != tenure {
		return
	}
	switch s.ceilings.finish(version, err) {
	case writeDone:
		s.ceilingsDoc = nil
		s.ledger.CeilingsWritten()
	case writeFailed:
		s.ceilingsDoc = nil
		s.ledger.CeilingsFailed()
	case writeLost:
		k.lose(s, err)
		return
	case writeOpen:
		metrics.Add("writes_unsettled", 1)
	}
	k.resume(s)
}

func (k *Owner) meteringDone(s *shard, tenure uint64, version platform.Version, err error) {
	if s.tenure != tenure {
		return
	}
	switch s.metering.finish(version, err) {
	case writeDone:
		s.meteringDoc = nil
		s.ledger.MeteringWritten()
	case writeFailed:
		s.meteringDoc = nil
		s.ledger.MeteringFailed()
	case writeLost:
		k.lose(s, err)
	case writeOpen:
		metrics.Add("writes_unsettled", 1)
	}
}
