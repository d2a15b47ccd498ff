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
	pollInterval = 200 * time.Millisecond
	// settleTime is how long the wanted homes must differ from the roster before
	// it is replaced, and stagger the time between two agents that do so.
	settleTime = 2 * time.Second
	stagger    = time.Second
	// firstStagger is the same for the first roster of a service.
	firstStagger = 100 * time.Millisecond
	// maxFruitless bounds how often the settle time doubles while changes don't
	// lead to the wanted homes, as with an agent that is reached one way only.
	maxFruitless = 5
	// platformInterval is the shortest time between two reads of the platform,
	// and platformBackoff the longest while it fails.
	platformInterval = time.Second
	platformBackoff  = 16 * time.Second
	platformTimeout  = 2 * time.Second
	// refreshInterval is the time between two questions for a newer roster.
	refreshInterval = 30 * time.Second
	changeTimeout   = 5 * time.Second
	// goneAfter is how long a home must be out of the directory to count as dead
	// for good.
	goneAfter = 10 * time.Minute
)

// rosters is the control goroutine's state.
type rosters struct {
	keeper   *Manager
	started  model.Instant
	lastSeen map[model.NodeID]model.Instant
	// blockedID is a roster of which too many homes have lost their memory, and
	// blockedSince when that was found.
	blockedID    idempotency.RosterID
	blockedSince model.Instant
	differsSince model.Instant
	// fruitless counts the changes since the roster was as wanted.
	fruitless    int
	refreshed    model.Instant
	nextPlatform model.Instant
	backoff      time.Duration
}

func newRosters(k *Manager) *rosters {
	return &rosters{keeper: k, lastSeen: map[model.NodeID]model.Instant{}, backoff: platformInterval}
}

func (r *rosters) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.started = model.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		kicked := false
		select {
		case <-r.keeper.done:
			return
		case <-r.keeper.kick:
			kicked = true
		case <-ticker.C:
		}
		r.step(ctx, kicked)
	}
}

// step looks for a newer roster when there is a reason to, and replaces the
// roster when its homes are not the wanted ones.
func (r *rosters) step(ctx context.Context, kicked bool) {
	now := model.Now()
	roster := *r.keeper.roster.Load()
	if roster.ID.Epoch == 0 || kicked || now.Sub(r.refreshed) >= refreshInterval {
		r.refreshed = now
		if r.askPeer(ctx, roster) {
			return
		}
	}
	r.checkOwnHome(ctx, roster)
	members := r.keeper.members()
	for _, member := range members {
		r.lastSeen[member.Node] = now
	}
	wanted := idempotency.Choose(roster, members)
	if len(wanted) == 0 || now < r.nextPlatform {
		return
	}
	if !r.due(now, roster, members, wanted) {
		return
	}
	r.replace(ctx, members)
}

// checkOwnHome notices that this agent is a home and has lost its memory since.
// A release of no key changes nothing.
func (r *rosters) checkOwnHome(ctx context.Context, roster idempotency.Roster) {
	if !r.keeper.isHome() {
		return
	}
	response, err := r.keeper.local(ctx, idempotency.Request{Op: idempotency.OpRelease, Roster: roster.ID})
	if err == nil && response.Status == idempotency.StatusNoTable && response.Newest.ID.Epoch <= roster.ID.Epoch {
		r.keeper.unwell.Store(true)
	}
}

// due reports whether it is this agent's turn to replace the roster.
func (r *rosters) due(now model.Instant, roster idempotency.Roster, members, wanted []idempotency.Member) bool {
	if slices.Equal(roster.Members, wanted) && !r.keeper.unwell.Load() {
		r.differsSince = 0
		r.fruitless = 0
		return false
	}
	if r.differsSince == 0 {
		r.differsSince = now
	}
	wait := settleTime<<min(r.fruitless, maxFruitless) + time.Duration(r.turn(roster, members))*stagger
	switch {
	case r.keeper.leaving.Load():
		wait = 0
	case roster.ID.Epoch == 0:
		wait = time.Duration(r.turn(roster, members)) * firstStagger
	}
	return now.Sub(r.differsSince) >= wait
}

// turn is this agent's place in an order that all agents agree on.
func (r *rosters) turn(roster idempotency.Roster, members []idempotency.Member) int {
	self := r.order(roster, r.keeper.config.Self.Node)
	turn := 0
	for _, member := range members {
		if r.order(roster, member.Node) < self {
			turn++
		}
	}
	return turn
}

func (r *rosters) order(roster idempotency.Roster, node model.NodeID) uint64 {
	return xxhash.Sum64String(hex.EncodeToString(roster.ID.Random[:]) + string(node))
}

// askPeer asks another agent for a newer roster.
func (r *rosters) askPeer(ctx context.Context, roster idempotency.Roster) bool {
	var others []idempotency.Member
	for _, member := range append(r.keeper.members(), roster.Members...) {
		if member.Node != r.keeper.config.Self.Node {
			others = append(others, member)
		}
	}
	if len(others) == 0 {
		return false
	}
	other := others[rand.IntN(len(others))]
	response, err := r.keeper.call(ctx, idempotency.Call{To: other, Request: idempotency.Request{Op: idempotency.OpNotify, Known: roster}})
	return err == nil && r.keeper.adopt(response.Newest)
}

// storedRoster is the form of a roster in the platform.
type storedRoster struct {
	Epoch   uint64               `json:"epoch"`
	Random  string               `json:"random"`
	Members []idempotency.Member `json:"members"`
}

func (r *rosters) key() string { return "booking/" + string(r.keeper.config.Service) }

// read returns the roster in force with its version in the platform.
func (r *rosters) read(ctx context.Context) (idempotency.Roster, platform.Version, error) {
	entry, err := r.keeper.config.Store.Get(ctx, r.key())
	if errors.Is(err, platform.ErrNotFound) {
		return idempotency.Roster{}, 0, nil
	}
	if err != nil {
		return idempotency.Roster{}, 0, Error.Wrap(err)
	}
	var stored storedRoster
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return idempotency.Roster{}, 0, Error.New("key %s: %v", r.key(), err)
	}
	raw, err := hex.DecodeString(stored.Random)
	if err != nil || len(raw) != len(idempotency.RosterID{}.Random) || stored.Epoch == 0 || len(stored.Members) == 0 {
		return idempotency.Roster{}, 0, Error.New("key %s: random, epoch or members are malformed", r.key())
	}
	roster := idempotency.Roster{ID: idempotency.RosterID{Epoch: stored.Epoch}, Members: stored.Members}
	copy(roster.ID.Random[:], raw)
	return roster, entry.Version, nil
}

// replace reads the roster in force and, if it is the known one and isn't what
// is wanted, replaces it.
func (r *rosters) replace(ctx context.Context, members []idempotency.Member) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout+changeTimeout)
	defer cancel()
	old, version, err := r.read(ctx)
	if err != nil {
		r.platformFailed(err)
		return
	}
	r.platformWorked()
	if r.keeper.adopt(old) {
		return
	}
	wanted := idempotency.Choose(old, r.withAnswering(ctx, old, members))
	if slices.Equal(wanted, old.Members) && !r.keeper.unwell.Load() {
		r.differsSince = 0
		return
	}
	next, changed := r.change(ctx, old, wanted)
	if !changed {
		return
	}
	if err := r.write(ctx, next, version); err != nil {
		// The next step reads what is in force.
		r.platformFailed(err)
		return
	}
	r.keeper.unwell.Store(false)
	r.differsSince = 0
	r.fruitless++
	r.keeper.adopt(next)
	r.notify(ctx, old, next)
}

// withAnswering adds the homes that still answer, so that an agent which knows
// too few others does not replace them.
func (r *rosters) withAnswering(ctx context.Context, old idempotency.Roster, members []idempotency.Member) []idempotency.Member {
	members = slices.Clone(members)
	for _, home := range old.Members {
		if slices.Contains(members, home) || home.Node == r.keeper.config.Self.Node {
			continue
		}
		response, err := r.keeper.call(ctx, idempotency.Call{To: home, Request: idempotency.Request{Op: idempotency.OpNotify, Known: old}})
		if err == nil && !response.Leaving {
			members = append(members, home)
		}
	}
	return members
}

func (r *rosters) write(ctx context.Context, next idempotency.Roster, version platform.Version) error {
	value, err := json.Marshal(storedRoster{
		Epoch: next.ID.Epoch, Random: hex.EncodeToString(next.ID.Random[:]), Members: next.Members,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = r.keeper.config.Store.Put(ctx, platform.Write{Key: r.key(), Value: value, Expect: version})
	return Error.Wrap(err)
}

func (r *rosters) platformFailed(err error) {
	r.nextPlatform = model.Now().Add(r.backoff)
	r.backoff = min(2*r.backoff, platformBackoff)
	r.keeper.config.Log.WithError(err).Warn("event=booking_roster_failed")
}

func (r *rosters) platformWorked() {
	r.backoff = platformInterval
	r.nextPlatform = model.Now().Add(platformInterval)
}

// change carries out the calls of a idempotency.Change.
func (r *rosters) change(ctx context.Context, old idempotency.Roster, wanted []idempotency.Member) (idempotency.Roster, bool) {
	change := idempotency.NewChange(old, random(), wanted, r.options(old))
	type result struct {
		call     idempotency.Call
		response idempotency.Response
		err      error
	}
	results := make(chan result)
	open := 0
	begin := func(calls []idempotency.Call) {
		for _, call := range calls {
			open++
			go func() {
				response, err := r.keeper.call(ctx, call)
				results <- result{call, response, err}
			}()
		}
	}
	begin(change.Start())
	for open > 0 {
		got := <-results
		open--
		if got.err != nil {
			begin(change.Fail(got.call))
		} else {
			begin(change.Answer(got.call, got.response))
		}
	}
	r.noteBlocked(old, change)
	r.keeper.adopt(change.Newest())
	next, ready := change.Ready()
	r.keeper.config.Log.WithFields(logrus.Fields{
		"epoch": old.ID.Epoch + 1, "wanted": len(wanted), "homes": len(next.Members), "ready": ready, "blocked": change.Blocked(),
	}).Info("event=booking_roster_change")
	return next, ready
}

func (r *rosters) noteBlocked(old idempotency.Roster, change *idempotency.Change) {
	if old.ID.Epoch > 0 && change.Blocked() && r.blockedID != old.ID {
		r.blockedID = old.ID
		r.blockedSince = model.Now()
	}
}

func (r *rosters) options(old idempotency.Roster) idempotency.Options {
	now := model.Now()
	options := idempotency.Options{
		Forced: old.ID.Epoch > 0 && r.blockedID == old.ID && now.Sub(r.blockedSince) >= idempotency.RecordLifetime,
	}
	for _, member := range old.Members {
		seen := max(r.lastSeen[member.Node], r.started)
		if now.Sub(seen) >= goneAfter {
			options.Gone = append(options.Gone, member.Node)
		}
	}
	return options
}

// notify tells the homes of both rosters which one is in force.
func (r *rosters) notify(ctx context.Context, old, next idempotency.Roster) {
	told := map[model.NodeID]bool{}
	for _, member := range append(slices.Clone(next.Members), old.Members...) {
		if told[member.Node] {
			continue
		}
		told[member.Node] = true
		r.keeper.running.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			// One that isn't reached learns of it at the next message.
			_, _ = r.keeper.call(ctx, idempotency.Call{To: member, Request: idempotency.Request{Op: idempotency.OpNotify, Known: next}})
		})
	}
}
