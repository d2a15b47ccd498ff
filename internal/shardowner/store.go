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
	leaseTime = 3 * time.Second
	// leaseMargin is how long before the end of a lease its holder stops.
	leaseMargin = 300 * time.Millisecond
	storeTime   = 800 * time.Millisecond
)

// holder is the value under a shard's lease.
type holder struct {
	Node    model.NodeID   `json:"node"`
	Control netip.AddrPort `json:"control"`
}

// term is a lease with the instant up to which its holder relies on it.
type term struct {
	lease platform.LeaseID
	until model.Instant
}

// taken is what a takeover brings.
type taken struct {
	term     term
	shard    *ledger.Shard
	ceilings platform.Version
	metering platform.Version
}

// silent reports whether an error tells nothing about the state of the
// platform, because it did not answer.
func silent(err error) bool {
	answered := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) ||
		errors.Is(err, platform.ErrLeaseExpired) || errors.Is(err, platform.ErrTooLarge)
	return err != nil && !answered
}

// claim gets a new lease and puts the holder's record under it. It returns
// ErrConflict when another node holds the shard.
func (k *Owner) claim(ctx context.Context, id ledger.ShardID) (term, error) {
	sent := model.Now()
	lease, err := k.config.Store.Grant(ctx, leaseTime)
	if err != nil {
		return term{}, Error.Wrap(err)
	}
	value, err := json.Marshal(holder{Node: k.config.Node, Control: k.config.Control})
	if err != nil {
		return term{}, Error.Wrap(err)
	}
	key := ledger.OwnerKey(id)
	_, err = k.config.Store.Put(ctx, platform.Write{Key: key, Value: value, Lease: lease})
	if errors.Is(err, platform.ErrUnknownOutcome) {
		err = k.confirmLease(ctx, key, lease)
	}
	if err != nil {
		return term{}, errors.Join(Error.Wrap(err), k.revoke(ctx, lease))
	}
	return term{lease: lease, until: sent.Add(leaseTime - leaseMargin)}, nil
}

func (k *Owner) confirmLease(ctx context.Context, key string, lease platform.LeaseID) error {
	entry, err := k.config.Store.Get(ctx, key)
	if err == nil && entry.Lease != lease {
		return platform.ErrConflict
	}
	return err
}

func (k *Owner) revoke(ctx context.Context, lease platform.LeaseID) error {
	return Error.Wrap(k.config.Store.Revoke(ctx, lease))
}

// takeOver claims a shard and starts its ledger from the documents. Writing both
// documents with the new fence makes every open write of an earlier keeper fail.
func (k *Owner) takeOver(ctx context.Context, id ledger.ShardID) (taken, error) {
	lease, err := k.claim(ctx, id)
	if err != nil {
		return taken{}, err
	}
	took, err := k.load(ctx, id)
	if err != nil {
		return taken{}, errors.Join(err, k.revoke(ctx, lease.lease))
	}
	took.term = lease
	return took, nil
}

func (k *Owner) load(ctx context.Context, id ledger.ShardID) (taken, error) {
	ceilingsEntry, err := k.read(ctx, ledger.CeilingsKey(id))
	if err != nil {
		return taken{}, err
	}
	meteringEntry, err := k.read(ctx, ledger.MeteringKey(id))
	if err != nil {
		return taken{}, err
	}
	ceilings, err := ledger.DecodeCeilings(ceilingsEntry.Value)
	if err != nil {
		return taken{}, Error.Wrap(err)
	}
	metering, err := ledger.DecodeMetering(meteringEntry.Value)
	if err != nil {
		return taken{}, Error.Wrap(err)
	}
	now := k.now()
	shard := ledger.NewShard(id, rand.Uint64(), now, ceilings, metering)
	return k.stampDocuments(ctx, id, shard, ceilingsEntry.Version, meteringEntry.Version)
}

func (k *Owner) stampDocuments(
	ctx context.Context, id ledger.ShardID, shard *ledger.Shard, ceilings, metering platform.Version,
) (taken, error) {
	now := k.now()
	doc := shard.ProposeInheritedCeilings()
	ceilings, err := k.writeCeilings(ctx, id, doc, ceilings)
	if err != nil {
		return taken{}, err
	}
	totals := shard.ProposeMetering(now)
	metering, err = k.writeMetering(ctx, id, totals, metering)
	if err != nil {
		return taken{}, err
	}
	shard.CeilingsWritten()
	shard.MeteringWritten()
	return taken{shard: shard, ceilings: ceilings, metering: metering}, nil
}

// read returns the entry of a key, which is empty when the key is absent.
func (k *Owner) read(ctx context.Context, key string) (platform.Entry, error) {
	entry, err := k.config.Store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{Key: key}, nil
	}
	return entry, Error.Wrap(err)
}

func (k *Owner) writeCeilings(
	ctx context.Context, id ledger.ShardID, doc ledger.Ceilings, expect platform.Version,
) (platform.Version, error) {
	body, err := ledger.EncodeCeilings(doc)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return k.write(ctx, ledger.CeilingsKey(id), body, expect, func(stored []byte) bool {
		found, err := ledger.DecodeCeilings(stored)
		return err == nil && found.WriteID == doc.WriteID
	})
}

func (k *Owner) writeMetering(
	ctx context.Context, id ledger.ShardID, doc ledger.Metering, expect platform.Version,
) (platform.Version, error) {
	body, err := ledger.EncodeMetering(doc)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return k.write(ctx, ledger.MeteringKey(id), body, expect, func(stored []byte) bool {
		found, err := ledger.DecodeMetering(stored)
		return err == nil && found.WriteID == doc.WriteID
	})
}

// write carries out one conditional write. After a conflict it looks whether an
// earlier try of the same write took effect.
func (k *Owner) write(
	ctx context.Context, key string, body []byte, expect platform.Version, ours func([]byte) bool,
) (platform.Version, error) {
	version, err := k.config.Store.Put(ctx, platform.Write{Key: key, Value: body, Expect: expect})
	unsure := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome)
	if !unsure {
		return version, Error.Wrap(err)
	}
	entry, getErr := k.config.Store.Get(ctx, key)
	if getErr == nil && ours(entry.Value) {
		return entry.Version, nil
	}
	if silent(getErr) {
		return 0, Error.New("%w: %v", platform.ErrUnknownOutcome, getErr)
	}
	return 0, Error.Wrap(err)
}

// renew keeps a lease alive. After the lease has ended it claims the shard
// anew, which succeeds only while no other node has taken it.
func (k *Owner) renew(ctx context.Context, id ledger.ShardID, old term, owner uint64) (term, error) {
	sent := model.Now()
	err := k.config.Store.KeepAlive(ctx, old.lease)
	if err == nil {
		return term{lease: old.lease, until: sent.Add(leaseTime - leaseMargin)}, nil
	}
	if !errors.Is(err, platform.ErrLeaseExpired) {
		return term{}, Error.Wrap(err)
	}
	return k.reclaim(ctx, id, owner)
}

func (k *Owner) reclaim(ctx context.Context, id ledger.ShardID, owner uint64) (term, error) {
	fresh, err := k.claim(ctx, id)
	if err != nil {
		return term{}, err
	}
	if err := k.checkOwner(ctx, id, owner); err != nil {
		return term{}, errors.Join(err, k.revoke(ctx, fresh.lease))
	}
	return fresh, nil
}

// checkOwner returns ErrConflict when another keeper has written since.
func (k *Owner) checkOwner(ctx context.Context, id ledger.ShardID, owner uint64) error {
	entry, err := k.read(ctx, ledger.CeilingsKey(id))
	if err != nil {
		return err
	}
	doc, err := ledger.DecodeCeilings(entry.Value)
	if err != nil || doc.OwnerID != owner {
		return Error.Wrap(platform.ErrConflict)
	}
	return nil
}
