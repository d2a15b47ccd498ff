package shardowner

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	leaseTTL = 3 * time.Second
	// leaseMargin is how long before the expiry of a lease its holder stops
	// relying on it.
	leaseMargin = 300 * time.Millisecond
	// storeTimeout bounds the platform calls of one poll, takeover, renewal, write
	// or release together.
	storeTimeout = 800 * time.Millisecond
)

// ownerRecord is the value stored under a shard's lease.
type ownerRecord struct {
	Node    model.NodeID   `json:"node"`
	Control netip.AddrPort `json:"control"`
}

// heldLease is a lease and the instant until which this node relies on it.
type heldLease struct {
	id         platform.LeaseID
	validUntil model.Instant
}

// takeoverResult is the result of a takeover.
type takeoverResult struct {
	lease    heldLease
	shard    *ledger.Shard
	ceilings platform.Version
	metering platform.Version
}

// unanswered reports whether an error means that the platform did not answer,
// so that it says nothing about the stored state.
func unanswered(err error) bool {
	answered := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) ||
		errors.Is(err, platform.ErrLeaseExpired) || errors.Is(err, platform.ErrTooLarge)
	return err != nil && !answered
}

// acquireLease obtains a new lease and stores this node's record under it. It
// returns platform.ErrConflict if another node owns the shard.
func (o *Owner) acquireLease(ctx context.Context, id ledger.ShardID) (heldLease, error) {
	sent := model.Now()
	lease, err := o.config.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return heldLease{}, Error.Wrap(err)
	}
	value, err := json.Marshal(ownerRecord{Node: o.config.Node, Control: o.config.Control})
	if err != nil {
		return heldLease{}, Error.Wrap(err)
	}
	key := ledger.OwnerKey(id)
	_, err = o.config.Store.Put(ctx, platform.Write{Key: key, Value: value, Lease: lease})
	if errors.Is(err, platform.ErrUnknownOutcome) {
		err = o.confirmLease(ctx, key, lease)
	}
	if err != nil {
		return heldLease{}, errors.Join(Error.Wrap(err), o.revoke(ctx, lease))
	}
	return heldLease{id: lease, validUntil: sent.Add(leaseTTL - leaseMargin)}, nil
}

// confirmLease reads, after a write with an unknown outcome, whether this node's
// record was stored under the lease.
func (o *Owner) confirmLease(ctx context.Context, key string, lease platform.LeaseID) error {
	entry, err := o.config.Store.Get(ctx, key)
	if err == nil && entry.Lease != lease {
		return platform.ErrConflict
	}
	return err
}

func (o *Owner) revoke(ctx context.Context, lease platform.LeaseID) error {
	return Error.Wrap(o.config.Store.Revoke(ctx, lease))
}

// takeOver acquires a shard's lease and loads its ledger from the stored
// documents. Both documents are then written with the new fence, which makes
// every outstanding write of an earlier owner fail.
func (o *Owner) takeOver(ctx context.Context, id ledger.ShardID) (takeoverResult, error) {
	lease, err := o.acquireLease(ctx, id)
	if err != nil {
		return takeoverResult{}, err
	}
	result, err := o.loadLedger(ctx, id)
	if err != nil {
		return takeoverResult{}, errors.Join(err, o.revoke(ctx, lease.id))
	}
	result.lease = lease
	return result, nil
}

// loadLedger starts a ledger from the stored documents and writes both with its
// fence. The lease in the result is empty.
func (o *Owner) loadLedger(ctx context.Context, id ledger.ShardID) (takeoverResult, error) {
	ceilingsEntry, err := o.read(ctx, ledger.CeilingsKey(id))
	if err != nil {
		return takeoverResult{}, err
	}
	meteringEntry, err := o.read(ctx, ledger.MeteringKey(id))
	if err != nil {
		return takeoverResult{}, err
	}
	ceilings, err := ledger.DecodeCeilings(ceilingsEntry.Value)
	if err != nil {
		return takeoverResult{}, Error.Wrap(err)
	}
	metering, err := ledger.DecodeMetering(meteringEntry.Value)
	if err != nil {
		return takeoverResult{}, Error.Wrap(err)
	}
	now := o.now()
	shard := ledger.NewShard(id, rand.Uint64(), now, ceilings, metering)
	return o.writeInitialDocuments(ctx, id, shard, ceilingsEntry.Version, meteringEntry.Version)
}

func (o *Owner) writeInitialDocuments(
	ctx context.Context, id ledger.ShardID, shard *ledger.Shard, ceilings, metering platform.Version,
) (takeoverResult, error) {
	now := o.now()
	doc := shard.ProposeInheritedCeilings()
	ceilings, err := o.writeCeilings(ctx, id, doc, ceilings)
	if err != nil {
		return takeoverResult{}, err
	}
	totals := shard.ProposeMetering(now)
	metering, err = o.writeMetering(ctx, id, totals, metering)
	if err != nil {
		return takeoverResult{}, err
	}
	shard.CeilingsWritten()
	shard.MeteringWritten()
	return takeoverResult{shard: shard, ceilings: ceilings, metering: metering}, nil
}

// read returns the entry of a key, or an empty entry if the key is absent.
func (o *Owner) read(ctx context.Context, key string) (platform.Entry, error) {
	entry, err := o.config.Store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{Key: key}, nil
	}
	return entry, Error.Wrap(err)
}

func (o *Owner) writeCeilings(
	ctx context.Context, id ledger.ShardID, doc ledger.Ceilings, expect platform.Version,
) (platform.Version, error) {
	body, err := ledger.EncodeCeilings(doc)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return o.write(ctx, ledger.CeilingsKey(id), body, expect, func(stored []byte) bool {
		found, err := ledger.DecodeCeilings(stored)
		return err == nil && found.WriteID == doc.WriteID
	})
}

func (o *Owner) writeMetering(
	ctx context.Context, id ledger.ShardID, doc ledger.Metering, expect platform.Version,
) (platform.Version, error) {
	body, err := ledger.EncodeMetering(doc)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return o.write(ctx, ledger.MeteringKey(id), body, expect, func(stored []byte) bool {
		found, err := ledger.DecodeMetering(stored)
		return err == nil && found.WriteID == doc.WriteID
	})
}

// write performs one conditional write. After a conflict or an unknown outcome
// it reads the key, since this or an earlier attempt of the same write may have
// taken effect; isOwn reports whether a stored value comes from this write. If
// that read is not answered, the error is platform.ErrUnknownOutcome.
func (o *Owner) write(
	ctx context.Context, key string, body []byte, expect platform.Version, isOwn func([]byte) bool,
) (platform.Version, error) {
	version, err := o.config.Store.Put(ctx, platform.Write{Key: key, Value: body, Expect: expect})
	uncertain := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome)
	if !uncertain {
		return version, Error.Wrap(err)
	}
	entry, getErr := o.config.Store.Get(ctx, key)
	if getErr == nil && isOwn(entry.Value) {
		return entry.Version, nil
	}
	if unanswered(getErr) {
		return 0, Error.New("%w: %v", platform.ErrUnknownOutcome, getErr)
	}
	return 0, Error.Wrap(err)
}

// renew keeps a lease alive. If the lease has expired, renew acquires a new
// one, which succeeds only if no other owner than ownerID has taken the shard over
// since.
func (o *Owner) renew(ctx context.Context, id ledger.ShardID, old heldLease, ownerID uint64) (heldLease, error) {
	sent := model.Now()
	err := o.config.Store.KeepAlive(ctx, old.id)
	if err == nil {
		return heldLease{id: old.id, validUntil: sent.Add(leaseTTL - leaseMargin)}, nil
	}
	if !errors.Is(err, platform.ErrLeaseExpired) {
		return heldLease{}, Error.Wrap(err)
	}
	return o.reacquireLease(ctx, id, ownerID)
}

func (o *Owner) reacquireLease(ctx context.Context, id ledger.ShardID, ownerID uint64) (heldLease, error) {
	newLease, err := o.acquireLease(ctx, id)
	if err != nil {
		return heldLease{}, err
	}
	if err := o.checkOwner(ctx, id, ownerID); err != nil {
		return heldLease{}, errors.Join(err, o.revoke(ctx, newLease.id))
	}
	return newLease, nil
}

// checkOwner returns platform.ErrConflict unless the owner with ownerID wrote the
// ceilings last.
func (o *Owner) checkOwner(ctx context.Context, id ledger.ShardID, ownerID uint64) error {
	entry, err := o.read(ctx, ledger.CeilingsKey(id))
	if err != nil {
		return err
	}
	doc, err := ledger.DecodeCeilings(entry.Value)
	if err != nil || doc.OwnerID != ownerID {
		return Error.Wrap(platform.ErrConflict)
	}
	return nil
}
