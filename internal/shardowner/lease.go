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
	// maxCandidates is the number of balancers that poll for a vacant shard.
	maxCandidates = 3
	pollInterval  = time.Second
	// minPollInterval is the minimum interval between polls that are triggered by
	// requests of agents, and the usual interval from a failed renewal to the next.
	minPollInterval = 250 * time.Millisecond
)

// ranked returns the candidates for a shard in rank order, including this node.
func (o *Owner) ranked(id ledger.ShardID) []membership.Record {
	own := membership.Record{
		Node: o.config.Node, Role: model.RoleBalancer, State: membership.StateActive, Control: o.config.Control,
	}
	records := []membership.Record{own}
	for _, record := range o.config.Balancers.Balancers() {
		if record.Node != o.config.Node {
			records = append(records, record)
		}
	}
	return ledger.Rank(id, records)
}

// rank returns the position of this node among the candidates for a shard, from
// 0.
func (o *Owner) rank(id ledger.ShardID) int {
	for rank, record := range o.ranked(id) {
		if record.Node == o.config.Node {
			return rank
		}
	}
	return maxCandidates
}

// pollOwnership checks periodically whether a shard is vacant. The first
// candidate takes a vacant shard over at once; each further candidate waits for
// one more vacant poll than the candidate before it.
func (o *Owner) pollOwnership(s *shard, now ledger.Moment) {
	if s.leaseCallPending || now.At < s.nextPoll || o.stopping {
		return
	}
	rank := o.rank(s.id)
	s.leaseCallAt = now.At
	s.nextPoll = now.At.Add(pollInterval)
	if rank >= maxCandidates {
		return
	}
	s.leaseCallPending = true
	tenure := s.tenure
	o.background(func(ctx context.Context) event {
		entry, err := o.config.Store.Get(ctx, ledger.OwnerKey(s.id))
		return func() {
			if s.tenure == tenure {
				s.leaseCallPending = false
				o.pollDone(s, rank, entry, err)
			}
		}
	})
}

// pollSooner advances the next poll because an agent is looking for the owner.
func (o *Owner) pollSooner(s *shard, now model.Instant) {
	s.nextPoll = min(s.nextPoll, max(now, s.leaseCallAt.Add(minPollInterval)))
}

func (o *Owner) pollDone(s *shard, rank int, entry platform.Entry, err error) {
	s.currentOwner = ownerRecord{}
	if err == nil {
		s.vacantPolls = 0
		if err := json.Unmarshal(entry.Value, &s.currentOwner); err != nil {
			o.log(s).WithError(err).Warn("event=keeper_record_malformed")
		}
		return
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return
	}
	s.vacantPolls++
	if s.vacantPolls > rank && !o.stopping {
		o.startTakeover(s)
	}
}

func (o *Owner) startTakeover(s *shard) {
	s.leaseCallPending = true
	tenure := s.tenure
	o.background(func(ctx context.Context) event {
		result, err := o.takeOver(ctx, s.id)
		return func() {
			if s.tenure == tenure {
				s.leaseCallPending = false
				o.takeoverDone(s, result, err)
			}
		}
	})
}

func (o *Owner) takeoverDone(s *shard, result takeoverResult, err error) {
	if err != nil {
		o.log(s).WithError(err).Info("event=takeover_failed")
		metrics.Add("takeovers_failed", 1)
		return
	}
	now := model.Now()
	s.acquire(now, result)
	metrics.Add("takeovers", 1)
	o.log(s).WithField("fence", result.shard.Fence()).Info("event=shard_taken")
}

// renewLease starts a renewal of the lease if one is due.
func (o *Owner) renewLease(s *shard, now ledger.Moment) {
	if s.leaseCallPending || now.At < s.nextRenew || s.phase == phaseReleasing {
		return
	}
	s.leaseCallPending = true
	s.leaseCallAt = now.At
	s.nextRenew = now.At.Add(renewInterval)
	tenure, old, ownerID := s.tenure, s.lease, s.ledger.OwnerID()
	o.background(func(ctx context.Context) event {
		renewed, err := o.renew(ctx, s.id, old, ownerID)
		return func() {
			if s.tenure == tenure {
				s.leaseCallPending = false
				o.renewalDone(s, renewed, err)
			}
		}
	})
}

// renewalDone applies the result of a renewal: the shard is owned again, lost to
// another node, or, while the platform does not answer, continued without a lease.
func (o *Owner) renewalDone(s *shard, renewed heldLease, err error) {
	if s.phase == phaseReleasing {
		return
	}
	if err == nil {
		o.setPhase(s, phaseOwning)
		s.lease = renewed
		s.expire(model.Now())
		o.retryParked(s)
		return
	}
	if !unanswered(err) {
		o.dropLost(s, err)
		return
	}
	metrics.Add("renewals_failed", 1)
	s.nextRenew = min(s.nextRenew, s.leaseCallAt.Add(minPollInterval))
	// Only a call that started after the lease may have expired shows that the
	// platform does not answer now.
	if s.phase == phaseUncertain && s.leaseCallAt >= s.uncertainSince {
		o.setPhase(s, phaseWithoutLease)
		o.retryParked(s)
		return
	}
	if s.phase == phaseUncertain {
		// The failed call started before the lease may have expired. The next one is
		// due at once.
		s.nextRenew = 0
	}
}

func (o *Owner) setPhase(s *shard, next phase) {
	if s.phase == next {
		return
	}
	if next == phaseWithoutLease {
		o.log(s).Warn("event=shard_without_lease")
	}
	if s.phase == phaseWithoutLease {
		o.log(s).Info("event=shard_lease_back")
	}
	s.phase = next
}

// release hands a shard over: it writes the documents once more, with the
// ceilings lowered to the units granted, and revokes the lease. It does nothing
// while another platform call of the shard is outstanding.
func (o *Owner) release(s *shard, now ledger.Moment) {
	if s.leaseCallPending || s.ceilings.pending || s.metering.pending {
		return
	}
	s.leaseCallPending = true
	ceilings, metering := o.finalDocuments(s, now)
	tenure, expectCeilings, expectMetering, lease := s.tenure, s.ceilings.version, s.metering.version, s.lease.id
	o.background(func(ctx context.Context) event {
		_, ceilingsErr := o.writeCeilings(ctx, s.id, ceilings, expectCeilings)
		var meteringErr error
		if metering != nil {
			_, meteringErr = o.writeMetering(ctx, s.id, *metering, expectMetering)
		}
		err := errors.Join(ceilingsErr, meteringErr, o.revoke(ctx, lease))
		return func() {
			if s.tenure == tenure {
				o.releaseDone(s, err)
			}
		}
	})
}

// finalDocuments returns the documents to write before a hand-over. If the
// outcome of an earlier write is still unknown, the same document is returned
// instead of a newer one.
func (o *Owner) finalDocuments(s *shard, now ledger.Moment) (ledger.Ceilings, *ledger.Metering) {
	if s.meteringDoc == nil && s.ledger.MeteringDue() {
		doc := s.ledger.ProposeMetering(now)
		s.meteringDoc = &doc
	}
	if s.ceilingsDoc != nil {
		return *s.ceilingsDoc, s.meteringDoc
	}
	return s.ledger.ProposeCeilings(now, o.terms()), s.meteringDoc
}

func (o *Owner) releaseDone(s *shard, err error) {
	if err != nil {
		o.log(s).WithError(err).Warn("event=shard_released_unclean")
	} else {
		o.log(s).Info("event=shard_released")
	}
	metrics.Add("shards_released", 1)
	s.drop()
	s.nextPoll = model.Now().Add(pollInterval)
	o.redirectParked(s)
}
