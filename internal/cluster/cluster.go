// Package cluster connects a node with the other nodes of a deployment: it
// announces the node, maintains the view of all running nodes, distributes the
// operators' documents, and determines whether the node is fresh. The documents
// are stored in the platform, which is the external key-value store. Package
// membership defines freshness, and the watchers of a node, which are the balancers
// that it sends heartbeats to. This package does the I/O for package membership:
// one goroutine, the control goroutine, owns the state; RPCs run in goroutines of
// their own and post their results to it.
package cluster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

// Error is the class of all errors of this package.
var Error = errs.Class("cluster")

const (
	// tickInterval is the interval between two checks for due work.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds RPCs that the peer answers without delay.
	callTimeout = 900 * time.Millisecond
	// probeTimeout bounds probes of suspects and freshness queries.
	probeTimeout = 500 * time.Millisecond
	// taskQueue is the maximum number of tasks queued for the control
	// goroutine.
	taskQueue = 1024
)

// Config holds the parameters of a Node.
type Config struct {
	// Self is the node's own record. An Incarnation of 0 is replaced by one
	// from the wall clock and raised as soon as others know a higher one; a
	// Version of 0 is replaced by 1.
	Self   membership.Record
	Client *rpc.Client
	Server *rpc.Server
	// Seeds are control addresses to contact first, in addition to those stored
	// in the platform.
	Seeds []netip.AddrPort
	// Platform may be nil. The node then neither reads from nor writes to the
	// platform and relies on Seeds and its peers.
	Platform platform.Store
	// Check returns an error for a document that must not be accepted. It may
	// be nil, and must be safe for concurrent use.
	Check func(Document) error
	Log   *logrus.Entry
}

// Node is this process's membership in the cluster.
type Node struct {
	config Config
	log    *logrus.Entry
	self   model.NodeID
	scope  membership.Scope
	tasks  chan func()

	view atomic.Pointer[membership.View]
	// freshUntil is the last model.Instant at which the node is fresh, or
	// neverFresh.
	freshUntil atomic.Int64
	// position is the rank of this balancer in the assignment, or noPosition for
	// an agent and for a balancer that the assignment does not contain.
	position atomic.Int32
	// joined is set once records have been compared with another node, and reset
	// when checkPause drops the other nodes.
	joined    atomic.Bool
	documents documents

	// The fields below are accessed by the control goroutine only.
	table     *membership.Table
	detector  *membership.FailureDetector
	freshness membership.Freshness
	// assignment determines the watchers of each node and, by the ranks of the
	// balancers, which ones this balancer queries for freshness.
	assignment *membership.Assignment
	onView     []func(*membership.View)
	onDocument []func(Document)
	// heartbeats holds the state towards each watcher of this node.
	heartbeats map[model.NodeID]*heartbeatState
	// outbox holds changed records that have not been pushed yet.
	outbox map[model.NodeID]membership.Record
	// candidates are control addresses at which a balancer may answer: the seeds
	// and, after checkPause dropped the other nodes, the balancers among them.
	candidates []netip.AddrPort
	due        schedule
	active     activeCalls
	// slots is a number of slots that has not been announced yet, or nil.
	slots *uint16
	// viewDirty means that the view must be rebuilt.
	viewDirty bool
	// lastTick is when the last tick ran, lastReply when a watcher last replied
	// to a heartbeat. Until rejectUntil the node rejects records from others.
	lastTick, lastReply model.Instant
	rejectUntil         model.Instant
	// lastDocumentAt is when a document was last accepted.
	lastDocumentAt model.Instant

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// schedule holds when periodic work is due next.
type schedule struct {
	housekeeping, verify, majorityPoll, join, reconnect, slots model.Instant
}

// activeCalls counts the RPCs in flight of each kind, to limit them.
type activeCalls struct {
	pushes                      int
	majorityPoll, contact, sync bool
	pull                        [model.DocumentCount]bool
}

// New returns a node and registers its handlers on the server. It returns an
// error if config.Self is invalid.
func New(config Config) (*Node, error) {
	if config.Self.Incarnation == 0 {
		config.Self.Incarnation = membership.NewIncarnation(time.Now().UnixMilli(), rand.Uint64())
	}
	config.Self.Version = max(config.Self.Version, 1)
	scope := membership.Scope{Service: config.Self.Service}
	table, err := membership.NewTable(config.Self, scope)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n := &Node{
		config:     config,
		log:        config.Log,
		self:       config.Self.Node,
		scope:      scope,
		tasks:      make(chan func(), taskQueue),
		table:      table,
		detector:   membership.NewFailureDetector(config.Self.Node),
		heartbeats: map[model.NodeID]*heartbeatState{},
		outbox:     map[model.NodeID]membership.Record{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.freshUntil.Store(neverFresh)
	for _, seed := range config.Seeds {
		n.addCandidateAddress(seed)
	}
	n.rebuild(model.Now())
	n.register(config.Server)
	return n, nil
}

// OnView registers a function that receives each new view, on the control
// goroutine. It must be called before Start.
func (n *Node) OnView(f func(*membership.View)) { n.onView = append(n.onView, f) }

// OnDocument registers a function that receives each accepted document, on the
// control goroutine. It must be called before Start.
func (n *Node) OnDocument(f func(Document)) { n.onDocument = append(n.onDocument, f) }

// Start begins the node's work, which ends when the context is done or Stop is
// called.
func (n *Node) Start(ctx context.Context) {
	context.AfterFunc(ctx, n.cancel)
	n.running.Go(n.control)
	if n.config.Platform != nil {
		n.startPlatform()
	}
}

// Stop ends all work without notifying other nodes; call Leave first for a
// graceful departure.
func (n *Node) Stop() {
	n.cancel()
	n.running.Wait()
}

// View returns the running nodes according to this node's local state. It is
// safe for concurrent use and takes no lock.
func (n *Node) View() *membership.View { return n.view.Load() }

// Fresh reports whether the node is known to have held the newest accepted
// out-of-service document within the freshness limit. It is safe for concurrent
// use and takes no lock.
func (n *Node) Fresh(now model.Instant) bool { return int64(now) <= n.freshUntil.Load() }

const neverFresh = -1 << 62

// SetState sets the state of the node and announces it immediately.
func (n *Node) SetState(state membership.State) {
	n.post(func() { n.updateSelf(func(r *membership.Record) { r.State = state }) })
}

// SetSlots sets the number of slots to announce. Changes within one second are
// announced together.
func (n *Node) SetSlots(slots uint16) {
	n.post(func() { n.slots = &slots })
}

// Leave marks the node as left and notifies its watchers. It returns when each
// has replied or failed, with an error if none could be notified or the context
// ended first.
func (n *Node) Leave(ctx context.Context) error {
	var peers []membership.Record
	var own membership.Record
	err := n.postAndWait(ctx, func() {
		n.updateSelf(func(r *membership.Record) { r.State = membership.StateLeft })
		own = n.table.Self()
		peers = n.assignment.Watchers(n.self)
		n.flush(model.Now())
	})
	if err != nil {
		return err
	}
	return n.pushDeparture(ctx, own, peers)
}

func (n *Node) pushDeparture(ctx context.Context, own membership.Record, peers []membership.Record) error {
	results := make(chan error, len(peers))
	for _, peer := range peers {
		n.running.Go(func() {
			_, err := rpc.Call[SyncRequest, SyncReply](ctx, n.config.Client, peer.Control, rpc.MethodSync,
				SyncRequest{Push: []membership.Record{own}})
			results <- err
		})
	}
	var failed errs.Group
	for range peers {
		failed.Add(<-results)
	}
	if len(failed) == len(peers) {
		return Error.Wrap(failed.Err())
	}
	return nil
}

// control runs the loop of the control goroutine.
func (n *Node) control() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case task := <-n.tasks:
			task()
		case <-ticker.C:
			n.tick(model.Now())
		}
	}
}

// post queues a task for the control goroutine.
func (n *Node) post(task func()) {
	select {
	case n.tasks <- task:
	case <-n.ctx.Done():
	}
}

// postAndWait runs a task on the control goroutine and waits until it has
// finished. It returns an error if the context ends or the node stops first; the
// task may still run after the context has ended.
func (n *Node) postAndWait(ctx context.Context, task func()) error {
	finished := make(chan struct{})
	select {
	case n.tasks <- func() { task(); close(finished) }:
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-n.ctx.Done():
		return Error.New("node %s has stopped", n.self)
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-n.ctx.Done():
		return Error.New("node %s has stopped", n.self)
	}
}

// launch runs work with a time limit in a new goroutine.
func (n *Node) launch(limit time.Duration, work func(ctx context.Context)) {
	n.running.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, limit)
		defer cancel()
		work(ctx)
	})
}

// tick does all work that is due.
func (n *Node) tick(now model.Instant) {
	n.checkPause(now)
	n.applySlots(now)
	n.sendHeartbeats(now)
	n.verifyWithPredecessors(now)
	n.pollMajority(now)
	n.join(now)
	n.reconnect(now)
	n.probeSuspects(now)
	n.flush(now)
	if now >= n.due.housekeeping {
		n.due.housekeeping = now.Add(housekeepingInterval)
		n.housekeep(now)
	}
	if n.viewDirty {
		n.rebuild(now)
	}
}

const housekeepingInterval = time.Second

func (n *Node) housekeep(now model.Instant) {
	n.table.Expire(now)
	if n.table.ClaimAddress(now) == membership.OutcomeRaised {
		n.log.WithField("incarnation", n.table.Self().Incarnation).Warn("event=address_claimed")
		n.announceSelf()
	}
	n.pullMissing()
}

// checkPause drops the records of the other nodes if this process was stopped
// for so long that its records could reintroduce nodes that others have
// expired.
func (n *Node) checkPause(now model.Instant) {
	last := n.lastTick
	n.lastTick = now
	if last == 0 || now.Sub(last) < membership.StaleAfter {
		return
	}
	n.log.WithField("stopped", now.Sub(last)).Warn("event=view_forgotten")
	for _, record := range n.table.View().Records {
		n.addCandidate(record)
	}
	n.table.DropPeers()
	n.rejectUntil = now.Add(rejectTime)
	clear(n.outbox)
	n.joined.Store(false)
	n.rebuild(now)
}

// rejectTime is how long a node rejects records from others after a long stop,
// since requests may have waited in its socket from before the stop.
const rejectTime = 2 * syncTimeout

// rejectingRecords reports whether records from others may date from before a
// long stop. It checks for such a stop itself, since a request may be handled
// before the first tick after it.
func (n *Node) rejectingRecords(now model.Instant) bool {
	n.checkPause(now)
	return now < n.rejectUntil
}

// updateSelf changes this node's record and announces it.
func (n *Node) updateSelf(change func(*membership.Record)) {
	record := n.table.Update(change)
	n.log.WithFields(logrus.Fields{"state": record.State, "version": record.Version}).Info("event=self_changed")
	n.announceSelf()
}

// announceSelf pushes this node's record and sends it with a heartbeat to each
// watcher immediately.
func (n *Node) announceSelf() {
	n.queueChange(n.table.Self())
	for _, state := range n.heartbeats {
		state.due = 0
		state.recordSent = false
	}
	n.sendHeartbeats(model.Now())
}

// applySlots announces the slots passed to SetSlots, at most once per
// slotsInterval.
func (n *Node) applySlots(now model.Instant) {
	if n.slots == nil || now < n.due.slots {
		return
	}
	slots := *n.slots
	n.slots = nil
	if slots == n.table.Self().Slots {
		return
	}
	n.due.slots = now.Add(slotsInterval)
	n.updateSelf(func(r *membership.Record) { r.Slots = slots })
}

const slotsInterval = time.Second

// queueChange queues a changed record for other balancers and schedules a new
// view.
func (n *Node) queueChange(record membership.Record) {
	n.viewDirty = true
	if n.isBalancer() {
		n.outbox[record.Node] = record
	}
}

// merge merges records received from a peer.
func (n *Node) merge(records []membership.Record, now model.Instant) {
	for _, record := range records {
		outcome, err := n.table.Merge(record, now)
		switch {
		case err != nil:
			n.log.WithError(err).WithField("node", record.Node).Warn("event=record_refused")
		case outcome == membership.OutcomeChanged:
			n.logRecord(record)
			n.queueChange(record)
		case outcome == membership.OutcomeRaised:
			n.log.WithFields(logrus.Fields{
				"claimed": record.State, "incarnation": n.table.Self().Incarnation, "version": n.table.Self().Version,
			}).Warn("event=self_refuted")
			n.announceSelf()
		}
	}
}

func (n *Node) logRecord(record membership.Record) {
	n.log.WithFields(logrus.Fields{
		"node": record.Node, "role": record.Role, "state": record.State, "zone": record.Zone,
		"incarnation": record.Incarnation, "version": record.Version,
	}).Info("event=node_changed")
}

// rebuild computes a new view and everything derived from it.
func (n *Node) rebuild(now model.Instant) {
	n.viewDirty = false
	view := n.table.View()
	n.view.Store(view)
	n.assignment = membership.NewAssignment(view)
	n.position.Store(noPosition)
	if position, ranked := n.assignment.Position(n.self); ranked && n.isBalancer() {
		n.position.Store(int32(position))
	}
	if n.isBalancer() {
		n.detector.Assign(view, n.assignment, now)
	}
	n.chooseWatchers(now)
	for _, f := range n.onView {
		f(view)
	}
}

const noPosition = -1

func (n *Node) isBalancer() bool { return n.scope.Service == "" }
