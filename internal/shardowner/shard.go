package shardowner

import (
	"errors"
	"time"

	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	ceilingsInterval = 200 * time.Millisecond
	meteringInterval = time.Second
	sweepInterval    = time.Second
	renewInterval    = time.Second
	// outrankedTime is how long another balancer must be the first candidate
	// before a shard is handed to it.
	outrankedTime = 10 * time.Second
)

// phase is how far this node is with keeping a shard.
type phase uint8

const (
	// phaseNone: another node keeps the shard, or nobody.
	phaseNone phase = 0
	// phaseKeeping: this node holds the lease.
	phaseKeeping phase = 1
	// phaseDoubtful: the lease may have ended and nothing is granted.
	phaseDoubtful phase = 2
	// phaseOrphan: the lease may have ended and the platform does not answer.
	// The ceilings that are already written are still granted from.
	phaseOrphan phase = 3
	// phaseReleasing: the shard is being handed over.
	phaseReleasing phase = 4
)

// shard is what this node knows of one shard.
type shard struct {
	id    ledger.ShardID
	phase phase
	// tenure numbers the times that this node has taken the shard. The end of a
	// platform call that belongs to an earlier one is ignored.
	tenure uint64
	// leasing tells that a call about the lease is open, started at leasingAt.
	leasing   bool
	leasingAt model.Instant

	ledger      *ledger.Shard
	term        term
	doubted     model.Instant
	nextRenew   model.Instant
	nextSweep   model.Instant
	outranked   model.Instant
	ceilings    writer
	metering    writer
	ceilingsDoc *ledger.Ceilings
	meteringDoc *ledger.Metering
	parked      []*call

	// The fields below serve a shard that is kept by another node or by nobody.
	holder   holder
	nextPoll model.Instant
	absent   int
}

// expire puts a shard in doubt when its lease may have ended.
func (s *shard) expire(now model.Instant) {
	if s.phase == phaseKeeping && now >= s.term.until {
		s.phase = phaseDoubtful
		s.doubted = now
		s.nextRenew = now
	}
}

func (s *shard) take(now model.Instant, took taken) {
	s.phase = phaseKeeping
	s.ledger = took.shard
	s.term = took.term
	s.nextRenew = now.Add(renewInterval)
	s.outranked = 0
	s.ceilings = writer{version: took.ceilings}
	s.metering = writer{version: took.metering}
	s.ceilingsDoc, s.meteringDoc = nil, nil
	s.holder = holder{}
}

func (s *shard) drop() {
	s.phase = phaseNone
	s.tenure++
	s.ledger = nil
	s.ceilingsDoc, s.meteringDoc = nil, nil
	s.nextPoll = 0
	s.absent = 0
	s.leasing = false
}

// writer follows the writes of one document.
type writer struct {
	version platform.Version
	busy    bool
	// unsure tells that an earlier try of the open write may take effect.
	unsure bool
	next   model.Instant
}

func (w *writer) idle(now model.Instant) bool { return !w.busy && now >= w.next }

func (w *writer) start(now model.Instant, interval time.Duration) {
	w.busy = true
	w.next = now.Add(interval)
}

// outcome is what became of a write.
type outcome uint8

const (
	writeDone outcome = 0
	// writeFailed: the write had no effect and never will.
	writeFailed outcome = 1
	// writeOpen: the same write is to be tried again.
	writeOpen outcome = 2
	// writeLost: another node has written.
	writeLost outcome = 3
)

// finish notes the end of one try. A try that surely had no effect settles
// nothing while an earlier try of the same write is still unsure.
func (w *writer) finish(version platform.Version, err error) outcome {
	w.busy = false
	switch {
	case err == nil:
		w.version = version
		w.unsure = false
		return writeDone
	case errors.Is(err, platform.ErrConflict):
		return writeLost
	case w.unsure:
		return writeOpen
	case noEffect(err):
		return writeFailed
	default:
		w.unsure = true
		return writeOpen
	}
}

// noEffect reports whether an error of a write proves that it had no effect.
func noEffect(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOverBudget) ||
		errors.Is(err, platform.ErrTooLarge)
}
