package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// Keys in the platform.
const (
	// SeedsPrefix precedes the number of each seed slot. The value is the
	// control address of a balancer.
	SeedsPrefix = "seeds/"
	// DocumentsPrefix precedes the name of each of the operators' documents.
	DocumentsPrefix = "documents/"
)

const (
	platformTimeout = 2 * time.Second
	seedTTL         = 10 * time.Second
	// seedInterval is the mean interval between two renewals of a seed slot.
	seedInterval = 3 * time.Second
	// platformRetryPause is the base of the randomised pauses after a failed
	// call to the platform, and the interval at which a balancer that is not a
	// root checks whether it has become one.
	platformRetryPause = time.Second
)

// startPlatform starts the goroutines that use the platform: every node reads
// the seeds once, and the roots, the first RootCount balancers in the ranking of
// membership.Assignment, query and watch the documents and maintain the seed
// slots.
func (n *Node) startPlatform() {
	n.running.Go(n.readSeeds)
	if n.isBalancer() {
		n.running.Go(n.probePlatform)
		n.running.Go(n.watchDocuments)
		n.running.Go(n.maintainSeed)
	}
}

// readSeeds retries reading the seeds until it succeeds or the node has joined.
func (n *Node) readSeeds() {
	for pause := platformRetryPause; n.ctx.Err() == nil; pause = min(2*pause, maxSeedRetryPause) {
		ctx, cancel := context.WithTimeout(n.ctx, platformTimeout)
		entries, err := n.config.Platform.List(ctx, SeedsPrefix)
		cancel()
		if err == nil {
			n.post(func() { n.addSeeds(entries) })
			return
		}
		n.log.WithError(err).Warn("event=seeds_not_read")
		if !n.sleep(pause/2+rand.N(pause)) || n.joined.Load() {
			return
		}
	}
}

// maxSeedRetryPause is the maximum base of the randomised pauses after failed reads of the
// seeds.
const maxSeedRetryPause = 30 * time.Second

func (n *Node) addSeeds(entries []platform.Entry) {
	for _, entry := range entries {
		addr, err := netip.ParseAddrPort(string(entry.Value))
		if err != nil {
			n.log.WithError(err).WithField("key", entry.Key).Warn("event=seed_refused")
			continue
		}
		n.addCandidateAddress(addr)
	}
}

// isRoot reports whether this balancer is one of those that query the platform.
func (n *Node) isRoot() bool {
	position := n.position.Load()
	return position >= 0 && position < membership.RootCount
}

// probePlatform reads the out-of-service document periodically; each answer
// verifies freshness.
func (n *Node) probePlatform() {
	key := DocumentsPrefix + model.DocumentOutOfService.String()
	for n.sleep(membership.VerifyInterval) {
		if !n.isRoot() {
			continue
		}
		sent := model.Now()
		ctx, cancel := context.WithTimeout(n.ctx, platformTimeout)
		entry, err := n.config.Platform.Get(ctx, key)
		cancel()
		switch {
		case err == nil:
			n.handlePlatformEntry(entry, sent)
		case errors.Is(err, platform.ErrNotFound):
			n.post(func() { n.recordPlatformAnswer(0, sent) })
		default:
			n.log.WithError(err).Debug("event=platform_silent")
			n.sleep(rand.N(platformRetryPause))
		}
	}
}

func (n *Node) handlePlatformEntry(entry platform.Entry, sent model.Instant) {
	document, err := documentOf(entry)
	if err != nil {
		n.log.WithError(err).WithField("key", entry.Key).Error("event=document_refused")
		return
	}
	if err := n.SubmitDocument(n.ctx, document); err != nil {
		n.log.WithError(err).WithField("key", entry.Key).Debug("event=document_refused")
	}
	n.post(func() { n.recordPlatformAnswer(document.Revision, sent) })
}

// recordPlatformAnswer records an answer of the platform for freshness, unless
// the platform returned an older revision than the one held.
func (n *Node) recordPlatformAnswer(revision model.Revision, sent model.Instant) {
	if revision < n.Revisions()[model.DocumentOutOfService] {
		n.log.WithField("revision", revision).Warn("event=platform_stale")
		return
	}
	var known model.Revisions
	known[model.DocumentOutOfService] = revision
	n.freshness.RecordAnswer(sent, 0, membership.DocumentStatus{Revisions: known, Confirmed: true})
	n.detector.RecordContact(model.Now())
	n.publishFreshness()
}

// watchDocuments submits each change of the documents in the platform.
func (n *Node) watchDocuments() {
	var after platform.Version
	for n.ctx.Err() == nil {
		if !n.isRoot() {
			n.sleep(platformRetryPause)
			continue
		}
		result, err := n.config.Platform.Watch(n.ctx, DocumentsPrefix, after)
		if err != nil {
			n.sleep(platformRetryPause/2 + rand.N(platformRetryPause))
			continue
		}
		if !result.Changed {
			n.sleep(minWatchPause)
			continue
		}
		after = result.Version
		n.submitEntries(result.Entries)
	}
}

// minWatchPause bounds the rate of watches that return without a change.
const minWatchPause = 100 * time.Millisecond

func (n *Node) submitEntries(entries []platform.Entry) {
	for _, entry := range entries {
		document, err := documentOf(entry)
		if err == nil {
			err = n.SubmitDocument(n.ctx, document)
		}
		if err != nil {
			n.log.WithError(err).WithField("key", entry.Key).Debug("event=document_refused")
		}
	}
}

// documentOf returns the document in a platform entry, with the revision from
// its body.
func documentOf(entry platform.Entry) (Document, error) {
	name := strings.TrimPrefix(entry.Key, DocumentsPrefix)
	for kind := range model.DocumentKind(model.DocumentCount) {
		if kind.String() != name {
			continue
		}
		var head struct {
			Revision model.Revision `json:"revision"`
		}
		if err := json.Unmarshal(entry.Value, &head); err != nil {
			return Document{}, Error.New("revision: document %s: %v", name, err)
		}
		return Document{Kind: kind, Revision: head.Revision, Body: entry.Value}, nil
	}
	return Document{}, Error.New("key: %q is not the key of a document", entry.Key)
}

// maintainSeed stores the address of this balancer, while it is a root, in the
// seed slot of its position.
func (n *Node) maintainSeed() {
	var held seedSlot
	for n.sleep(seedInterval/2 + rand.N(seedInterval)) {
		position := int(n.position.Load())
		if !n.isRoot() {
			held.release(n)
			continue
		}
		if err := held.renew(n, position); err != nil {
			n.log.WithError(err).WithField("slot", position).Debug("event=seed_not_kept")
		}
	}
	held.release(n)
}

// seedSlot is the seed slot that this balancer holds under a lease.
type seedSlot struct {
	lease    platform.LeaseID
	position int
}

// renew keeps the lease alive. Without a valid lease for this position it obtains
// one and writes the address under it.
func (s *seedSlot) renew(n *Node, position int) error {
	ctx, cancel := context.WithTimeout(n.ctx, platformTimeout)
	defer cancel()
	store := n.config.Platform
	if s.lease != 0 && s.position == position && store.KeepAlive(ctx, s.lease) == nil {
		return nil
	}
	s.lease = 0
	key := fmt.Sprintf("%s%d", SeedsPrefix, position)
	entry, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Error.Wrap(err)
	}
	lease, err := store.Grant(ctx, seedTTL)
	if err != nil {
		return Error.Wrap(err)
	}
	value := []byte(n.config.Self.Control.String())
	write := platform.Write{Key: key, Value: value, Expect: entry.Version, Lease: lease}
	if _, err := store.Put(ctx, write); err != nil {
		return Error.Wrap(errors.Join(err, store.Revoke(ctx, lease)))
	}
	s.lease, s.position = lease, position
	return nil
}

func (s *seedSlot) release(n *Node) {
	if s.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), probeTimeout)
	defer cancel()
	if err := n.config.Platform.Revoke(ctx, s.lease); err != nil {
		n.log.WithError(err).Debug("event=seed_not_released")
	}
	s.lease = 0
}

// sleep waits for a duration. It returns false if the node stops first.
func (n *Node) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}
