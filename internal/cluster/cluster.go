// Package cluster keeps a node in touch with the others: it announces the node,
// holds the view of all nodes that run, spreads the operators' documents and
// knows whether the node is fresh. It is the shell around package membership:
// one goroutine owns the state, calls run in goroutines of their own and report
// back to it.
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

// Error is the class of all errors of this layer.
var Error = errs.Class("cluster")

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds calls that are answered at once.
	callTimeout = 900 * time.Millisecond
	// askTimeout bounds the questions about a suspect and for proof.
	askTimeout = 500 * time.Millisecond
	// taskQueue is the most tasks that wait for the control goroutine.
	taskQueue = 1024
)

// Config is what a Node needs.
type Config struct {
	// Self is the own record. An Incarnation of 0 is replaced by the wall clock
	// and raised as soon as others know a higher one; a Version of 0 by 1.
	Self   membership.Record
	Client *rpc.Client
	Server *rpc.Server
	// Seeds are control addresses to try first, besides those in the platform.
	Seeds []netip.AddrPort
	// Platform may be nil. The node then neither reads nor keeps anything in
	// the platform and relies on Seeds and its peers.
	Platform platform.Store
	// Check refuses documents that are not acceptable. It may be nil, and must
	// be safe for concurrent use.
	Check func(Document) error
	Log   *logrus.Entry
}

// Node is one process's part in the cluster.
type Node struct {
	config Config
	log    *logrus.Entry
	self   model.NodeID
	scope  membership.Scope
	tasks  chan func()

	view       atomic.Pointer[membership.View]
	freshUntil atomic.Int64
	position   atomic.Int32
	joined     atomic.Bool
	documents  documents

	// The fields below belong to the control goroutine.
	table      *membership.Table
	watch      *membership.FailureDetector
	proof      membership.Freshness
	assignment *membership.Assignment
	onView     []func(*membership.View)
	onDocument []func(Document)
	beats      map[model.NodeID]*beat
	outbox     map[model.NodeID]membership.Record
	candidates []netip.AddrPort
	due        schedule
	busy       inFlight
	slots      *uint16
	viewDirty  bool
	// ticked is when the last tick ran, answered when a watcher last answered.
	ticked, answered model.Instant
	deafUntil        model.Instant
	// documentAt is when a document was last taken.
	documentAt model.Instant

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// schedule holds when periodic work is due.
type schedule struct {
	housekeeping, proof, collect, join, reconnect, slots model.Instant
}

// inFlight counts the calls that bound each kind of work.
type inFlight struct {
	pushes              int
	collect, join, sync bool
	pull                [model.DocumentCount]bool
}

// New makes a node and registers its handlers on the server.
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
		config: config,
		log:    config.Log,
		self:   config.Self.Node,
		scope:  scope,
		tasks:  make(chan func(), taskQueue),
		table:  table,
		watch:  membership.NewFailureDetector(config.Self.Node),
		beats:  map[model.NodeID]*beat{},
		outbox: map[model.NodeID]membership.Record{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.freshUntil.Store(neverFresh)
	for _, seed := range config.Seeds {
		n.addAddress(seed)
	}
	n.rebuild(model.Now())
	n.register(config.Server)
	return n, nil
}

// OnView registers a function that gets each new view, on the control
// goroutine. It is called before Start.
func (n *Node) OnView(f func(*membership.View)) { n.onView = append(n.onView, f) }

// OnDocument registers a function that gets each document that was taken, on
// the control goroutine. It is called before Start.
func (n *Node) OnDocument(f func(Document)) { n.onDocument = append(n.onDocument, f) }

// Start begins the node's work. It ends with the context or with Stop.
func (n *Node) Start(ctx context.Context) {
	context.AfterFunc(ctx, n.cancel)
	n.running.Go(n.control)
	if n.config.Platform != nil {
		n.startPlatform()
	}
}

// Stop ends all work without telling anyone. Leave does so before.
func (n *Node) Stop() {
	n.cancel()
	n.running.Wait()
}

// View returns the nodes that run, as far as this node knows. It is safe for
// concurrent use and takes no lock.
func (n *Node) View() *membership.View { return n.view.Load() }

// Fresh reports whether the node knew the newest accepted documents a short
// time ago. It is safe for concurrent use and takes no lock.
func (n *Node) Fresh(now model.Instant) bool { return int64(now) <= n.freshUntil.Load() }

const neverFresh = -1 << 62

// SetState announces a new state of the node at once.
func (n *Node) SetState(state membership.State) {
	n.post(func() { n.updateSelf(func(r *membership.Record) { r.State = state }) })
}

// SetSlots announces a new number of slots. Changes that follow each other
// within a second are announced together.
func (n *Node) SetSlots(slots uint16) {
	n.post(func() { n.slots = &slots })
}

// Leave tells the watchers that the node has ended, and returns when each has
// answered or the context has ended.
func (n *Node) Leave(ctx context.Context) error {
	var peers []membership.Record
	var own membership.Record
	err := n.ask(ctx, func() {
		n.updateSelf(func(r *membership.Record) { r.State = membership.StateLeft })
		own = n.table.Self()
		peers = n.assignment.Watchers(n.self)
		n.flush(model.Now())
	})
	if err != nil {
		return err
	}
	return n.tellLeft(ctx, own, peers)
}

func (n *Node) tellLeft(ctx context.Context, own membership.Record, peers []membership.Record) error {
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

// control owns the node's state.
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

// post hands a task to the control goroutine.
func (n *Node) post(task func()) {
	select {
	case n.tasks <- task:
	case <-n.ctx.Done():
	}
}

// ask hands a task to the control goroutine and waits for its end.
func (n *Node) ask(ctx context.Context, task func()) error {
	ended := make(chan struct{})
	select {
	case n.tasks <- func() { task(); close(ended) }:
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-n.ctx.Done():
		return Error.New("node %s has stopped", n.self)
	}
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-n.ctx.Done():
		return Error.New("node %s has stopped", n.self)
	}
}

// launch runs calls outside the control goroutine with a time limit.
func (n *Node) launch(limit time.Duration, work func(ctx context.Context)) {
	n.running.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, limit)
		defer cancel()
		work(ctx)
	})
}

// tick does what is due.
func (n *Node) tick(now model.Instant) {
	n.checkPause(now)
	n.applySlots(now)
	n.sendBeats(now)
	n.askForProof(now)
	n.collect(now)
	n.join(now)
	n.reconnect(now)
	n.askAboutSuspects(now)
	n.flush(now)
	if now >= n.due.housekeeping {
		n.due.housekeeping = now.Add(housekeepingInterval)
		n.keepHouse(now)
	}
	if n.viewDirty {
		n.rebuild(now)
	}
}

const housekeepingInterval = time.Second

func (n *Node) keepHouse(now model.Instant) {
	n.table.Expire(now)
	if n.table.ClaimAddress(now) == membership.OutcomeRaised {
		n.log.WithField("incarnation", n.table.Self().Incarnation).Warn("event=address_claimed")
		n.spreadSelf()
	}
	n.pullMissing()
}

// checkPause forgets the others when this process was out of contact for so
// long that its knowledge could bring back nodes that are gone.
func (n *Node) checkPause(now model.Instant) {
	last := n.ticked
	n.ticked = now
	if last == 0 || now.Sub(last) < membership.StaleAfter {
		return
	}
	n.log.WithField("stopped", now.Sub(last)).Warn("event=view_forgotten")
	for _, record := range n.table.View().Records {
		n.addCandidate(record)
	}
	n.table.DropPeers()
	n.deafUntil = now.Add(deafTime)
	clear(n.outbox)
	n.joined.Store(false)
	n.rebuild(now)
}

// deafTime is how long after a long stop a node takes no records that others
// bring, since they may have waited in the socket since before.
const deafTime = 2 * syncTimeout

// deaf reports whether records that others bring may be from before a long stop.
func (n *Node) deaf(now model.Instant) bool {
	n.checkPause(now)
	return now < n.deafUntil
}

// updateSelf changes the own record and spreads it.
func (n *Node) updateSelf(change func(*membership.Record)) {
	record := n.table.Update(change)
	n.log.WithFields(logrus.Fields{"state": record.State, "version": record.Version}).Info("event=self_changed")
	n.spreadSelf()
}

func (n *Node) spreadSelf() {
	n.changed(n.table.Self())
	for _, beat := range n.beats {
		beat.due = 0
		beat.told = false
	}
	n.sendBeats(model.Now())
}

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

// changed queues a record for other balancers and has the view made anew.
func (n *Node) changed(record membership.Record) {
	n.viewDirty = true
	if n.balancer() {
		n.outbox[record.Node] = record
	}
}

// merge takes over records from a peer.
func (n *Node) merge(records []membership.Record, now model.Instant) {
	for _, record := range records {
		outcome, err := n.table.Merge(record, now)
		switch {
		case err != nil:
			n.log.WithError(err).WithField("node", record.Node).Warn("event=record_refused")
		case outcome == membership.OutcomeChanged:
			n.logRecord(record)
			n.changed(record)
		case outcome == membership.OutcomeRaised:
			n.log.WithFields(logrus.Fields{
				"claimed": record.State, "incarnation": n.table.Self().Incarnation, "version": n.table.Self().Version,
			}).Warn("event=self_refuted")
			n.spreadSelf()
		}
	}
}

func (n *Node) logRecord(record membership.Record) {
	n.log.WithFields(logrus.Fields{
		"node": record.Node, "role": record.Role, "state": record.State, "zone": record.Zone,
		"incarnation": record.Incarnation, "version": record.Version,
	}).Info("event=node_changed")
}

// rebuild makes a new view and what follows from it.
func (n *Node) rebuild(now model.Instant) {
	n.viewDirty = false
	view := n.table.View()
	n.view.Store(view)
	n.assignment = membership.NewAssignment(view)
	n.position.Store(noPosition)
	if position, ranked := n.assignment.Position(n.self); ranked && n.balancer() {
		n.position.Store(int32(position))
	}
	if n.balancer() {
		n.watch.Assign(view, n.assignment, now)
	}
	n.chooseWatchers(now)
	for _, f := range n.onView {
		f(view)
	}
}

const noPosition = -1

func (n *Node) balancer() bool { return n.scope.Service == "" }
