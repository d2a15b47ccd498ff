package claims

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/idempotency"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// pollInterval is the time between two steps of the controller.
	pollInterval = 200 * time.Millisecond
	// settleTime is how long the desired members must differ from the replica set
	// before it is replaced; stagger is the delay between successive agents that
	// would do so.
	settleTime = 2 * time.Second
	stagger    = time.Second
	// firstStagger is used instead of stagger for the first replica set of a
	// service, for which there is no settle time.
	firstStagger = 100 * time.Millisecond
	// maxSettleDoublings limits how often the settle time doubles while
	// reconfigurations don't lead to the desired members, as with an agent that
	// can be reached in one direction only.
	maxSettleDoublings = 5
	// platformInterval is the shortest time between two reads of the platform,
	// platformBackoff the longest while it fails.
	platformInterval = time.Second
	platformBackoff  = 16 * time.Second
	// platformTimeout and reconfigurationTimeout together bound one replacement.
	platformTimeout = 2 * time.Second
	// refreshInterval is the time between two queries of a peer for a newer
	// replica set.
	refreshInterval        = 30 * time.Second
	reconfigurationTimeout = 5 * time.Second
	// stoppedAfter is how long a replica must be absent from the directory to
	// count as permanently stopped.
	stoppedAfter = 10 * time.Minute
)

// controller is the state of the goroutine that keeps the replica set up to date.
type controller struct {
	manager *Manager
	started model.Instant
	// lastSeen is when each agent was last in the directory.
	lastSeen map[model.NodeID]model.Instant
	// blockedSet is a replica set of which too many replicas have lost their
	// records, and blockedSince is when that was found.
	blockedSet   idempotency.ReplicaSetID
	blockedSince model.Instant
	// differsSince is when the replica set was found not to have the desired
	// members or a replacement was requested; 0 means neither.
	differsSince model.Instant
	// ineffective counts the reconfigurations since the replica set last had the
	// desired members.
	ineffective      int
	lastRefresh      model.Instant
	nextPlatformRead model.Instant
	backoff          time.Duration
}

func newController(m *Manager) *controller {
	return &controller{manager: m, lastSeen: map[model.NodeID]model.Instant{}, backoff: platformInterval}
}

func (c *controller) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.started = model.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		woken := false
		select {
		case <-c.manager.done:
			return
		case <-c.manager.wake:
			woken = true
		case <-ticker.C:
		}
		c.step(ctx, woken)
	}
}

// step looks for a newer replica set when none is known, when the controller was
// woken, and every refreshInterval. It replaces the replica set when that is due.
func (c *controller) step(ctx context.Context, woken bool) {
	now := model.Now()
	set := *c.manager.replicaSet.Load()
	if set.ID.Epoch == 0 || woken || now.Sub(c.lastRefresh) >= refreshInterval {
		c.lastRefresh = now
		if c.queryPeer(ctx, set) {
			return
		}
	}
	c.checkOwnReplica(ctx, set)
	members := c.manager.members()
	for _, member := range members {
		c.lastSeen[member.Node] = now
	}
	desired := idempotency.ChooseReplicas(set, members)
	if len(desired) == 0 || now < c.nextPlatformRead {
		return
	}
	if !c.due(now, set, members, desired) {
		return
	}
	c.replace(ctx, members)
}

// checkOwnReplica requests a replacement of the replica set if this agent is one of
// its replicas and has lost its records. It probes with a release of the zero key,
// which changes nothing.
func (c *controller) checkOwnReplica(ctx context.Context, set idempotency.ReplicaSet) {
	if !c.manager.isReplica() {
		return
	}
	response, err := c.manager.callLocal(ctx, idempotency.Request{Op: idempotency.OpRelease, ReplicaSet: set.ID})
	if err == nil && response.Status == idempotency.StatusNoTable && response.NewestSet.ID.Epoch <= set.ID.Epoch {
		c.manager.replaceRequested.Store(true)
	}
}

// due reports whether it is this agent's turn to replace a replica set whose members
// are not the desired ones or whose replacement was requested.
func (c *controller) due(now model.Instant, set idempotency.ReplicaSet, members, desired []idempotency.Member) bool {
	if slices.Equal(set.Members, desired) && !c.manager.replaceRequested.Load() {
		c.differsSince = 0
		c.ineffective = 0
		return false
	}
	if c.differsSince == 0 {
		c.differsSince = now
	}
	wait := settleTime<<min(c.ineffective, maxSettleDoublings) + time.Duration(c.rank(set, members))*stagger
	switch {
	case c.manager.leaving.Load():
		wait = 0
	case set.ID.Epoch == 0:
		wait = time.Duration(c.rank(set, members)) * firstStagger
	}
	return now.Sub(c.differsSince) >= wait
}

// rank is this agent's position in an order that all agents compute alike, so that
// they act one after the other. Each replica set has its own order.
func (c *controller) rank(set idempotency.ReplicaSet, members []idempotency.Member) int {
	self := c.orderHash(set, c.manager.config.Self.Node)
	rank := 0
	for _, member := range members {
		if c.orderHash(set, member.Node) < self {
			rank++
		}
	}
	return rank
}

func (c *controller) orderHash(set idempotency.ReplicaSet, node model.NodeID) uint64 {
	return xxhash.Sum64String(hex.EncodeToString(set.ID.Random[:]) + string(node))
}

// queryPeer asks a random other agent for a newer replica set and reports whether
// it had one.
func (c *controller) queryPeer(ctx context.Context, set idempotency.ReplicaSet) bool {
	var others []idempotency.Member
	for _, member := range append(c.manager.members(), set.Members...) {
		if member.Node != c.manager.config.Self.Node {
			others = append(others, member)
		}
	}
	if len(others) == 0 {
		return false
	}
	other := others[rand.IntN(len(others))]
	response, err := c.manager.call(ctx, idempotency.Call{To: other, Request: idempotency.Request{Op: idempotency.OpNotify, KnownSet: set}})
	return err == nil && c.manager.adopt(response.NewestSet)
}

// storedReplicaSet is the JSON form of a replica set in the platform.
type storedReplicaSet struct {
	Epoch   uint64               `json:"epoch"`
	Random  string               `json:"random"`
	Members []idempotency.Member `json:"members"`
}

func (c *controller) key() string { return "booking/" + string(c.manager.config.Service) }

// read returns the replica set in force with its version in the platform, or the zero
// values if the platform has none.
func (c *controller) read(ctx context.Context) (idempotency.ReplicaSet, platform.Version, error) {
	entry, err := c.manager.config.Store.Get(ctx, c.key())
	if errors.Is(err, platform.ErrNotFound) {
		return idempotency.ReplicaSet{}, 0, nil
	}
	if err != nil {
		return idempotency.ReplicaSet{}, 0, Error.Wrap(err)
	}
	var stored storedReplicaSet
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return idempotency.ReplicaSet{}, 0, Error.New("key %s: %v", c.key(), err)
	}
	raw, err := hex.DecodeString(stored.Random)
	if err != nil || len(raw) != len(idempotency.ReplicaSetID{}.Random) || stored.Epoch == 0 || len(stored.Members) == 0 {
		return idempotency.ReplicaSet{}, 0, Error.New("key %s: random, epoch or members are malformed", c.key())
	}
	set := idempotency.ReplicaSet{ID: idempotency.ReplicaSetID{Epoch: stored.Epoch}, Members: stored.Members}
	copy(set.ID.Random[:], raw)
	return set, entry.Version, nil
}

// replace reads the replica set in force and replaces it if it is the one that this
// agent knows, and either its members are not the desired ones or a replacement was
// requested.
func (c *controller) replace(ctx context.Context, members []idempotency.Member) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout+reconfigurationTimeout)
	defer cancel()
	old, version, err := c.read(ctx)
	if err != nil {
		c.platformFailed(err)
		return
	}
	c.platformSucceeded()
	if c.manager.adopt(old) {
		return
	}
	desired := idempotency.ChooseReplicas(old, c.withResponding(ctx, old, members))
	if slices.Equal(desired, old.Members) && !c.manager.replaceRequested.Load() {
		c.differsSince = 0
		return
	}
	next, changed := c.reconfigure(ctx, old, desired)
	if !changed {
		return
	}
	if err := c.write(ctx, next, version); err != nil {
		// The write may have taken effect; a later step reads the replica set in
		// force.
		c.platformFailed(err)
		return
	}
	c.manager.replaceRequested.Store(false)
	c.differsSince = 0
	c.ineffective++
	c.manager.adopt(next)
	c.notify(ctx, old, next)
}

// withResponding adds the old replicas that still answer, so that an agent which
// knows too few others does not replace them.
func (c *controller) withResponding(ctx context.Context, old idempotency.ReplicaSet, members []idempotency.Member) []idempotency.Member {
	members = slices.Clone(members)
	for _, replica := range old.Members {
		if slices.Contains(members, replica) || replica.Node == c.manager.config.Self.Node {
			continue
		}
		response, err := c.manager.call(ctx, idempotency.Call{To: replica, Request: idempotency.Request{Op: idempotency.OpNotify, KnownSet: old}})
		if err == nil && !response.Leaving {
			members = append(members, replica)
		}
	}
	return members
}

func (c *controller) write(ctx context.Context, next idempotency.ReplicaSet, version platform.Version) error {
	value, err := json.Marshal(storedReplicaSet{
		Epoch: next.ID.Epoch, Random: hex.EncodeToString(next.ID.Random[:]), Members: next.Members,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = c.manager.config.Store.Put(ctx, platform.Write{Key: c.key(), Value: value, Expect: version})
	return Error.Wrap(err)
}

func (c *controller) platformFailed(err error) {
	c.nextPlatformRead = model.Now().Add(c.backoff)
	c.backoff = min(2*c.backoff, platformBackoff)
	c.manager.config.Log.WithError(err).Warn("event=booking_roster_failed")
}

func (c *controller) platformSucceeded() {
	c.backoff = platformInterval
	c.nextPlatformRead = model.Now().Add(platformInterval)
}

// reconfigure carries out the calls of an idempotency.Reconfiguration.
func (c *controller) reconfigure(ctx context.Context, old idempotency.ReplicaSet, desired []idempotency.Member) (idempotency.ReplicaSet, bool) {
	reconfiguration := idempotency.NewReconfiguration(old, randomID(), desired, c.options(old))
	type result struct {
		call     idempotency.Call
		response idempotency.Response
		err      error
	}
	results := make(chan result)
	outstanding := 0
	begin := func(calls []idempotency.Call) {
		for _, call := range calls {
			outstanding++
			go func() {
				response, err := c.manager.call(ctx, call)
				results <- result{call, response, err}
			}()
		}
	}
	begin(reconfiguration.Start())
	for outstanding > 0 {
		got := <-results
		outstanding--
		if got.err != nil {
			begin(reconfiguration.Fail(got.call))
		} else {
			begin(reconfiguration.Answer(got.call, got.response))
		}
	}
	c.noteBlocked(old, reconfiguration)
	c.manager.adopt(reconfiguration.NewestSet())
	next, ready := reconfiguration.Ready()
	c.manager.config.Log.WithFields(logrus.Fields{
		"epoch": old.ID.Epoch + 1, "wanted": len(desired), "homes": len(next.Members), "ready": ready, "blocked": reconfiguration.Blocked(),
	}).Info("event=booking_roster_change")
	return next, ready
}

// noteBlocked records when a replica set was first found to be blocked.
func (c *controller) noteBlocked(old idempotency.ReplicaSet, reconfiguration *idempotency.Reconfiguration) {
	if old.ID.Epoch > 0 && reconfiguration.Blocked() && c.blockedSet != old.ID {
		c.blockedSet = old.ID
		c.blockedSince = model.Now()
	}
}

func (c *controller) options(old idempotency.ReplicaSet) idempotency.ReconfigurationOptions {
	now := model.Now()
	options := idempotency.ReconfigurationOptions{
		Forced: old.ID.Epoch > 0 && c.blockedSet == old.ID && now.Sub(c.blockedSince) >= idempotency.RecordLifetime,
	}
	for _, member := range old.Members {
		seen := max(c.lastSeen[member.Node], c.started)
		if now.Sub(seen) >= stoppedAfter {
			options.Stopped = append(options.Stopped, member.Node)
		}
	}
	return options
}

// notify sends the new replica set to the members of both.
func (c *controller) notify(ctx context.Context, old, next idempotency.ReplicaSet) {
	notified := map[model.NodeID]bool{}
	for _, member := range append(slices.Clone(next.Members), old.Members...) {
		if notified[member.Node] {
			continue
		}
		notified[member.Node] = true
		c.manager.running.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			// A member that can't be reached learns of the new replica set from a
			// later message.
			_, _ = c.manager.call(ctx, idempotency.Call{To: member, Request: idempotency.Request{Op: idempotency.OpNotify, KnownSet: next}})
		})
	}
}
