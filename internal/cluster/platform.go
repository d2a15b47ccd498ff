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

// The keys in the platform.
const (
	// SeedsPrefix is before the number of each seed slot. The value is the
	// control address of a balancer.
	SeedsPrefix = "seeds/"
	// DocumentsPrefix is before the name of each of the operators' documents.
	DocumentsPrefix = "documents/"
)

const (
	platformTimeout = 2 * time.Second
	seedTTL         = 10 * time.Second
	seedInterval    = 3 * time.Second
	// platformPause is the mean time between two tries after a failed call.
	platformPause = time.Second
)

// startPlatform begins the work with the platform: every node reads the seeds
// once, and the first few balancers in the ranking watch the documents and keep
// the seed slots.
func (n *Node) startPlatform() {
	n.running.Go(n.readSeeds)
	if n.balancer() {
		n.running.Go(n.probePlatform)
		n.running.Go(n.watchDocuments)
		n.running.Go(n.keepSeed)
	}
}

// readSeeds reads the seeds until it succeeds or the node has joined.
func (n *Node) readSeeds() {
	for pause := platformPause; n.ctx.Err() == nil; pause = min(2*pause, maxSeedPause) {
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

const maxSeedPause = 30 * time.Second

func (n *Node) addSeeds(entries []platform.Entry) {
	for _, entry := range entries {
		addr, err := netip.ParseAddrPort(string(entry.Value))
		if err != nil {
			n.log.WithError(err).WithField("key", entry.Key).Warn("event=seed_refused")
			continue
		}
		n.addAddress(addr)
	}
}

// root reports whether this balancer is one of those that ask the platform.
func (n *Node) root() bool {
	position := n.position.Load()
	return position >= 0 && position < membership.RootCount
}

// probePlatform reads the list of what is out of service again and again; each
// answer proves freshness.
func (n *Node) probePlatform() {
	key := DocumentsPrefix + model.DocumentOutOfService.String()
	for n.sleep(membership.VerifyInterval) {
		if !n.root() {
			continue
		}
		sent := model.Now()
		ctx, cancel := context.WithTimeout(n.ctx, platformTimeout)
		entry, err := n.config.Platform.Get(ctx, key)
		cancel()
		switch {
		case err == nil:
			n.platformAnswered(entry, sent)
		case errors.Is(err, platform.ErrNotFound):
			n.post(func() { n.platformProved(0, sent) })
		default:
			n.log.WithError(err).Debug("event=platform_silent")
			n.sleep(rand.N(platformPause))
		}
	}
}

func (n *Node) platformAnswered(entry platform.Entry, sent model.Instant) {
	document, err := documentOf(entry)
	if err != nil {
		n.log.WithError(err).WithField("key", entry.Key).Error("event=document_refused")
		return
	}
	if err := n.SubmitDocument(n.ctx, document); err != nil {
		n.log.WithError(err).WithField("key", entry.Key).Debug("event=document_refused")
	}
	n.post(func() { n.platformProved(document.Revision, sent) })
}

// platformProved takes an answer of the platform as proof, unless the platform
// has gone back behind what is known.
func (n *Node) platformProved(revision model.Revision, sent model.Instant) {
	if revision < n.Revisions()[model.DocumentOutOfService] {
		n.log.WithField("revision", revision).Warn("event=platform_stale")
		return
	}
	var known model.Revisions
	known[model.DocumentOutOfService] = revision
	n.proof.RecordAnswer(sent, 0, membership.DocumentStatus{Revisions: known, Confirmed: true})
	n.watch.RecordContact(model.Now())
	n.publishFresh()
}

// watchDocuments takes each accepted change from the platform.
func (n *Node) watchDocuments() {
	var after platform.Version
	for n.ctx.Err() == nil {
		if !n.root() {
			n.sleep(platformPause)
			continue
		}
		change, err := n.config.Platform.Watch(n.ctx, DocumentsPrefix, after)
		if err != nil {
			n.sleep(platformPause/2 + rand.N(platformPause))
			continue
		}
		if !change.Changed {
			n.sleep(minWatchPause)
			continue
		}
		after = change.Version
		n.takeEntries(change.Entries)
	}
}

// minWatchPause bounds the rate of watches that return without a change.
const minWatchPause = 100 * time.Millisecond

func (n *Node) takeEntries(entries []platform.Entry) {
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

// documentOf reads a document and its revision from the platform's entry.
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
	return Document{}, Error.New("key: %q names no document", entry.Key)
}

// keepSeed keeps the address of this balancer in the seed slot of its position.
func (n *Node) keepSeed() {
	var held seedSlot
	for n.sleep(seedInterval/2 + rand.N(seedInterval)) {
		position := int(n.position.Load())
		if !n.root() {
			held.release(n)
			continue
		}
		if err := held.keep(n, position); err != nil {
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

func (s *seedSlot) keep(n *Node, position int) error {
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), askTimeout)
	defer cancel()
	if err := n.config.Platform.Revoke(ctx, s.lease); err != nil {
		n.log.WithError(err).Debug("event=seed_not_released")
	}
	s.lease = 0
}

// sleep waits, and reports false when the node stops.
func (n *Node) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}
