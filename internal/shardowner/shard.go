package shardowner

import (
	"errors"
	"time"

	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// ceilingsInterval and meteringInterval are the minimum intervals between the
	// starts of two writes of a shard's document.
	ceilingsInterval = 200 * time.Millisecond
	meteringInterval = time.Second
	// sweepInterval is the interval between two calls of ledger.Shard.Sweep, and
	// renewInterval that between two renewals of the lease.
	sweepInterval = time.Second
	renewInterval = time.Second
	// outrankedPeriod is how long another balancer must rank first before a shard
	// is handed over to it.
	outrankedPeriod = 10 * time.Second
)

// phase is the state of a shard's ownership at this node.
type phase uint8

const (
	// phaseNone means that another node owns the shard, or none does.
	phaseNone phase = 0
	// phaseOwning means that this node holds the lease.
	phaseOwning phase = 1
	// phaseUncertain means that the lease may have expired, and nothing is
	// granted.
	phaseUncertain phase = 2
	// phaseWithoutLease means that the lease may have expired and the platform
	// does not answer. Grants continue up to the ceilings that are already
	// persistent.
	phaseWithoutLease phase = 3
	// phaseReleasing means that the shard is being handed over.
	phaseReleasing phase = 4
)

// shard is the state of one shard at this node.
type shard struct {
	id    ledger.ShardID
	phase phase
	// tenure numbers this node's periods of ownership of the shard. The result of
	// a platform call from an earlier tenure is ignored.
	tenure uint64
	// leaseCallPending is set while a poll, a takeover, a renewal or a release
	// waits for the platform. The newest poll or renewal started at leaseCallAt.
	leaseCallPending bool
	leaseCallAt      model.Instant

	ledger *ledger.Shard
	lease  heldLease
	// uncertainSince is when the phase last became phaseUncertain.
	uncertainSince model.Instant
	nextRenew      model.Instant
	nextSweep      model.Instant
	// outrankedSince is when another balancer began to rank first, or 0.
	outrankedSince model.Instant
	// ceilings and metering track the writes of the two documents. ceilingsDoc and
	// meteringDoc are the documents whose write is outstanding or unsettled, or nil.
	ceilings    writer
	metering    writer
	ceilingsDoc *ledger.Ceilings
	meteringDoc *ledger.Metering
	// parked holds the calls that wait for a write or a renewal.
	parked []*call

	// The fields below apply while this node does not own the shard.
	currentOwner ownerRecord
	nextPoll     model.Instant
	// vacantPolls is the number of polls that found no owner since one was found.
	vacantPolls int
}

// expire moves an owned shard to phaseUncertain when its lease may have
// expired.
func (s *shard) expire(now model.Instant) {
	if s.phase == phaseOwning && now >= s.lease.validUntil {
		s.phase = phaseUncertain
		s.uncertainSince = now
		s.nextRenew = now
	}
}

// acquire starts a period of ownership with the result of a takeover.
func (s *shard) acquire(now model.Instant, result takeoverResult) {
	s.phase = phaseOwning
	s.ledger = result.shard
	s.lease = result.lease
	s.nextRenew = now.Add(renewInterval)
	s.outrankedSince = 0
	s.ceilings = writer{version: result.ceilings}
	s.metering = writer{version: result.metering}
	s.ceilingsDoc, s.meteringDoc = nil, nil
	s.currentOwner = ownerRecord{}
}

// drop ends the period of ownership at this node. It neither writes documents nor
// revokes the lease, and leaves the parked calls to the caller.
func (s *shard) drop() {
	s.phase = phaseNone
	s.tenure++
	s.ledger = nil
	s.ceilingsDoc, s.meteringDoc = nil, nil
	s.nextPoll = 0
	s.vacantPolls = 0
	s.leaseCallPending = false
}

// writer tracks the writes of one document.
type writer struct {
	version platform.Version
	pending bool
	// unsettled is set while an earlier attempt of the outstanding write may
	// still take effect.
	unsettled bool
	nextStart model.Instant
}

// ready reports whether an attempt may start now.
func (w *writer) ready(now model.Instant) bool { return !w.pending && now >= w.nextStart }

// start records the start of an attempt. The next one may start after interval.
func (w *writer) start(now model.Instant, interval time.Duration) {
	w.pending = true
	w.nextStart = now.Add(interval)
}

// writeOutcome is the result of a write attempt.
type writeOutcome uint8

const (
	// writeDone means that the document is stored.
	writeDone writeOutcome = 0
	// writeFailed means that the write had no effect and never will.
	writeFailed writeOutcome = 1
	// writeUnsettled means that the outcome is unknown; the same write must be
	// attempted again.
	writeUnsettled writeOutcome = 2
	// writeSuperseded means that another node has written the document.
	writeSuperseded writeOutcome = 3
)

// finish records the end of one attempt. An attempt that certainly had no
// effect does not settle the write while an earlier attempt of it is unsettled.
func (w *writer) finish(version platform.Version, err error) writeOutcome {
	w.pending = false
	switch {
	case err == nil:
		w.version = version
		w.unsettled = false
		return writeDone
	case errors.Is(err, platform.ErrConflict):
		return writeSuperseded
	case w.unsettled:
		return writeUnsettled
	case noEffect(err):
		return writeFailed
	default:
		w.unsettled = true
		return writeUnsettled
	}
}

// noEffect reports whether a write error guarantees that the write had no
// effect.
func noEffect(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOverBudget) ||
		errors.Is(err, platform.ErrTooLarge)
}
