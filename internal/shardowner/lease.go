package shardowner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// maxCandidates is the number of balancers that look after a free shard.
	maxCandidates = 3
	pollInterval  = time.Second
	// hurryInterval is the least time between two looks that agents bring about.
	hurryInterval = 250 * time.Millisecond
)

// ranked returns the candidates for a shard, this node among them.
func (k *Owner) ranked(id ledger.ShardID) []membership.Record {
	own := membership.Record{
		Node: k.config.Node, Role: model.RoleBalancer, State: membership.StateActive, Control: k.config.Control,
	}
	records := []membership.Record{own}
	for _, record := range k.config.Balancers.Balancers() {
		if record.Node != k.config.Node {
			records = append(records, record)
		}
	}
	return ledger.Rank(id, records)
}

// rank returns the place of this node among the candidates for a shard.
func (k *Owner) rank(id ledger.ShardID) int {
	for place, record := range k.ranked(id) {
		if record.Node == k.config.Node {
			return place
		}
	}
	return maxCandidates
}

// seek looks from time to time whether a shard is free. The first candidate
// takes it at once, the others after as many looks as their place.
func (k *Owner) seek(s *shard, now ledger.Moment) {
	if s.leasing || now.At < s.nextPoll || k.stopping {
		return
	}
	rank := k.rank(s.id)
	s.leasingAt = now.At
	s.nextPoll = now.At.Add(pollInterval)
	if rank >= maxCandidates {
		return
	}
	s.leasing = true
	tenure := s.tenure
	k.background(func(ctx context.Context) event {
		entry, err := k.config.Store.Get(ctx, ledger.OwnerKey(s.id))
		return func() {
			if s.tenure == tenure {
				s.leasing = false
				k.looked(s, rank, entry, err)
			}
		}
	})
}

// hurry makes the next look come soon, because an agent seeks the keeper.
func (k *Owner) hurry(s *shard, now model.Instant) {
	s.nextPoll = min(s.nextPoll, max(now, s.leasingAt.Add(hurryInterval)))
}

func (k *Owner) looked(s *shard, rank int, entry platform.Entry, err error) {
	s.holder = holder{}
	if err == nil {
		s.absent = 0
		if err := json.Unmarshal(entry.Value, &s.holder); err != nil {
			k.log(s).WithError(err).Warn("event=keeper_record_malformed")
		}
		return
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return
	}
	s.absent++
	if s.absent > rank && !k.stopping {
		k.beginTakeover(s)
	}
}

func (k *Owner) beginTakeover(s *shard) {
	s.leasing = true
	tenure := s.tenure
	k.background(func(ctx context.Context) event {
		took, err := k.takeOver(ctx, s.id)
		return func() {
			if s.tenure == tenure {
				s.leasing = false
				k.tookOver(s, took, err)
			}
		}
	})
}

func (k *Owner) tookOver(s *shard, took taken, err error) {
	if err != nil {
		k.log(s).WithError(err).Info("event=takeover_failed")
		metrics.Add("takeovers_failed", 1)
		return
	}
	now := model.Now()
	s.take(now, took)
	metrics.Add("takeovers", 1)
	k.log(s).WithField("fence", took.shard.Fence()).Info("event=shard_taken")
}

// renewLease keeps the lease alive, or finds out whether it is lost.
func (k *Owner) renewLease(s *shard, now ledger.Moment) {
	if s.leasing || now.At < s.nextRenew || s.phase == phaseReleasing {
		return
	}
	s.leasing = true
	s.leasingAt = now.At
	s.nextRenew = now.At.Add(renewInterval)
	tenure, old, owner := s.tenure, s.term, s.ledger.OwnerID()
	k.background(func(ctx context.Context) event {
		renewed, err := k.renew(ctx, s.id, old, owner)
		return func() {
			if s.tenure == tenure {
				s.leasing = false
				k.renewed(s, renewed, err)
			}
		}
	})
}

func (k *Owner) renewed(s *shard, renewed term, err error) {
	if s.phase == phaseReleasing {
		return
	}
	if err == nil {
		k.setPhase(s, phaseKeeping)
		s.term = renewed
		s.expire(model.Now())
		k.resume(s)
		return
	}
	if !silent(err) {
		k.lose(s, err)
		return
	}
	metrics.Add("renewals_failed", 1)
	s.nextRenew = min(s.nextRenew, s.leasingAt.Add(hurryInterval))
	// Only a call that began after the lease came into doubt shows that the
	// platform is silent now.
	if s.phase == phaseDoubtful && s.leasingAt >= s.doubted {
		k.setPhase(s, phaseOrphan)
		k.resume(s)
		return
	}
	if s.phase == phaseDoubtful {
		s.nextRenew = 0
	}
}

func (k *Owner) setPhase(s *shard, next phase) {
	if s.phase == next {
		return
	}
	if next == phaseOrphan {
		k.log(s).Warn("event=shard_without_lease")
	}
	if s.phase == phaseOrphan {
		k.log(s).Info("event=shard_lease_back")
	}
	s.phase = next
}

// release hands a shard over: the documents are written once more, with the
// ceilings lowered to what was granted, and the lease is ended.
func (k *Owner) release(s *shard, now ledger.Moment) {
	if s.leasing || s.ceilings.busy || s.metering.busy {
		return
	}
	s.leasing = true
	ceilings, metering := k.lastDocuments(s, now)
	tenure, expectCeilings, expectMetering, lease := s.tenure, s.ceilings.version, s.metering.version, s.term.lease
	k.background(func(ctx context.Context) event {
		_, ceilingsErr := k.writeCeilings(ctx, s.id, ceilings, expectCeilings)
		var meteringErr error
		if metering != nil {
			_, meteringErr = k.writeMetering(ctx, s.id, *metering, expectMetering)
		}
		err := errors.Join(ceilingsErr, meteringErr, k.revoke(ctx, lease))
		return func() {
			if s.tenure == tenure {
				k.released(s, err)
			}
		}
	})
}

// lastDocuments returns the documents to write before a hand-over. A write that
// is still unsettled is repeated instead of a newer one.
func (k *Owner) lastDocuments(s *shard, now ledger.Moment) (ledger.Ceilings, *ledger.Metering) {
	if s.meteringDoc == nil && s.ledger.MeteringDue() {
		doc := s.ledger.ProposeMetering(now)
		s.meteringDoc = &doc
	}
	if s.ceilingsDoc != nil {
		return *s.ceilingsDoc, s.meteringDoc
	}
	return s.ledger.ProposeCeilings(now, k.terms()), s.meteringDoc
}

func (k *Owner) released(s *shard, err error) {
	if err != nil {
		k.log(s).WithError(err).Warn("event=shard_released_unclean")
	} else {
		k.log(s).Info("event=shard_released")
	}
	metrics.Add("shards_released", 1)
	s.drop()
	s.nextPoll = model.Now().Add(pollInterval)
	k.redirectParked(s)
}
