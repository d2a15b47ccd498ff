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

// run is the control goroutine. All shard state is confined to it.
func (o *Owner) run(ctx context.Context) {
	defer close(o.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	quit := o.quit
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-o.calls:
			o.handle(&o.shards[call.request.Shard], call, false)
		case event := <-o.events:
			event()
		case <-ticker.C:
			o.tick()
		case <-quit:
			quit = nil
			o.stopping = true
		}
		if o.stopping && o.allReleased() {
			return
		}
	}
}

func (o *Owner) allReleased() bool {
	for i := range o.shards {
		if o.shards[i].phase != phaseNone || o.shards[i].leaseCallPending {
			return false
		}
	}
	return true
}

// post passes the result of a platform call to the control goroutine.
func (o *Owner) post(event event) {
	select {
	case o.events <- event:
	case <-o.done:
	}
}

func (o *Owner) tick() {
	now := o.now()
	owned := int64(0)
	for i := range o.shards {
		s := &o.shards[i]
		s.expire(now.At)
		if s.phase == phaseNone {
			o.pollOwnership(s, now)
			continue
		}
		owned++
		o.maintain(s, now)
	}
	shardsOwned.Set(owned)
}

var shardsOwned = new(expvar.Int)

func init() { metrics.Set("shards", shardsOwned) }

// maintain performs the periodic work of a shard in any phase but phaseNone.
func (o *Owner) maintain(s *shard, now ledger.Moment) {
	o.renewLease(s, now)
	o.expireParked(s, now.At)
	if s.phase == phaseNone {
		return
	}
	if now.At >= s.nextSweep {
		s.nextSweep = now.At.Add(sweepInterval)
		s.ledger.Sweep(now)
	}
	if s.phase == phaseReleasing {
		o.release(s, now)
		return
	}
	o.startDueWrites(s, now)
	if o.shouldRelease(s, now.At) {
		s.phase = phaseReleasing
		s.ledger.Close()
		o.redirectParked(s)
	}
}

// shouldRelease reports whether to hand a shard over: this node is stopping, or
// another balancer has ranked first for longer than outrankedPeriod.
func (o *Owner) shouldRelease(s *shard, now model.Instant) bool {
	if o.stopping {
		return true
	}
	ranked := o.ranked(s.id)
	if ranked[0].Node == o.config.Node || s.phase != phaseOwning {
		s.outrankedSince = 0
		return false
	}
	if s.outrankedSince == 0 {
		s.outrankedSince = now
	}
	return now.Sub(s.outrankedSince) > outrankedPeriod
}

// handle serves a call, parks it until a write or lease call ends, or redirects
// it. If final is set, the call is served with what is available instead of being
// parked for a write, as in ledger.Shard.Exchange.
func (o *Owner) handle(s *shard, call *call, final bool) {
	now := o.now()
	s.expire(now.At)
	switch s.phase {
	case phaseUncertain:
		o.renewLease(s, now)
		o.park(s, call)
		return
	case phaseOwning, phaseWithoutLease:
	default:
		o.pollSooner(s, now.At)
		call.answer <- answer{reply: o.redirect(s)}
		return
	}
	reply, err := s.ledger.Exchange(now, o.terms(), call.request, final)
	metrics.Add("exchanges", 1)
	switch {
	case errors.Is(err, ledger.ErrDeferred):
		o.park(s, call)
		o.startDueWrites(s, now)
	case errors.Is(err, ledger.ErrSuperseded):
		o.dropLost(s, err)
		call.answer <- answer{reply: o.redirect(s)}
	default:
		call.answer <- answer{reply: reply, err: err}
	}
}

func (o *Owner) park(s *shard, call *call) {
	if len(s.parked) >= maxParked {
		call.answer <- answer{err: Error.New("too many requests wait for a write: %d", len(s.parked))}
		return
	}
	s.parked = append(s.parked, call)
}

// expireParked answers the parked calls whose deadline has passed.
func (o *Owner) expireParked(s *shard, now model.Instant) {
	var remaining []*call
	var expired []*call
	for _, call := range s.parked {
		if now < call.deadline {
			remaining = append(remaining, call)
			continue
		}
		expired = append(expired, call)
	}
	s.parked = remaining
	for _, call := range expired {
		if s.phase == phaseUncertain {
			call.answer <- answer{err: Error.New("lease of shard %d may have expired", s.id)}
			continue
		}
		o.handle(s, call, true)
	}
}

// retryParked handles the parked calls again.
func (o *Owner) retryParked(s *shard) {
	parked := s.parked
	s.parked = nil
	for _, call := range parked {
		o.handle(s, call, false)
	}
}

func (o *Owner) redirectParked(s *shard) {
	for _, call := range s.parked {
		call.answer <- answer{reply: o.redirect(s)}
	}
	s.parked = nil
}

// redirect returns a reply that names another node to ask.
func (o *Owner) redirect(s *shard) ledger.Reply {
	if s.currentOwner.Control.IsValid() && s.currentOwner.Node != o.config.Node {
		return ledger.Reply{Redirect: s.currentOwner.Control.String()}
	}
	for _, record := range o.ranked(s.id) {
		if record.Node != o.config.Node {
			return ledger.Reply{Redirect: record.Control.String()}
		}
	}
	return ledger.Reply{}
}

// dropLost drops a shard that another node has taken over.
func (o *Owner) dropLost(s *shard, err error) {
	o.log(s).WithError(err).Warn("event=shard_lost")
	metrics.Add("shards_lost", 1)
	s.drop()
	o.redirectParked(s)
}

func (o *Owner) log(s *shard) *logrus.Entry {
	return o.config.Log.WithField("shard", s.id)
}

// startDueWrites starts the writes that are due, at most one per document at a
// time.
func (o *Owner) startDueWrites(s *shard, now ledger.Moment) {
	if s.ceilings.ready(now.At) && (s.ceilingsDoc != nil || s.ledger.CeilingsDue()) {
		o.startCeilingsWrite(s, now)
	}
	if s.metering.ready(now.At) && (s.meteringDoc != nil || s.ledger.MeteringDue()) {
		o.startMeteringWrite(s, now)
	}
}

func (o *Owner) startCeilingsWrite(s *shard, now ledger.Moment) {
	if s.ceilingsDoc == nil {
		doc := s.ledger.ProposeCeilings(now, o.terms())
		s.ceilingsDoc = &doc
	}
	s.ceilings.start(now.At, ceilingsInterval)
	tenure, doc, expect := s.tenure, *s.ceilingsDoc, s.ceilings.version
	o.background(func(ctx context.Context) event {
		version, err := o.writeCeilings(ctx, s.id, doc, expect)
		return func() { o.ceilingsDone(s, tenure, version, err) }
	})
}

func (o *Owner) startMeteringWrite(s *shard, now ledger.Moment) {
	if s.meteringDoc == nil {
		doc := s.ledger.ProposeMetering(now)
		s.meteringDoc = &doc
	}
	s.metering.start(now.At, meteringInterval)
	tenure, doc, expect := s.tenure, *s.meteringDoc, s.metering.version
	o.background(func(ctx context.Context) event {
		version, err := o.writeMetering(ctx, s.id, doc, expect)
		return func() { o.meteringDone(s, tenure, version, err) }
	})
}

// background runs platform calls in another goroutine, limited to storeTimeout,
// and posts the resulting event.
func (o *Owner) background(work func(context.Context) event) {
	go func() {
		limited, cancel := context.WithTimeout(o.ctx, storeTimeout)
		defer cancel()
		o.post(work(limited))
	}()
}

func (o *Owner) ceilingsDone(s *shard, tenure uint64, version platform.Version, err error) {
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
	case writeSuperseded:
		o.dropLost(s, err)
		return
	case writeUnsettled:
		metrics.Add("writes_unsettled", 1)
	}
	o.retryParked(s)
}

func (o *Owner) meteringDone(s *shard, tenure uint64, version platform.Version, err error) {
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
	case writeSuperseded:
		o.dropLost(s, err)
	case writeUnsettled:
		metrics.Add("writes_unsettled", 1)
	}
}
