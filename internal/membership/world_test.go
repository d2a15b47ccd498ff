package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	stepTime   = 250 * time.Millisecond
	beatSteps  = int(HeartbeatInterval / stepTime)
	firstBirth = 1_000_000
)

// process is one run of a node with the pure parts that a shell would drive.
type process struct {
	table      *Table
	watch      *FailureDetector
	assignment *Assignment
	view       *View
	number     int
	paused     bool
	ticked     Instant
	answered   Instant
}

func (p *process) self() Record   { return p.table.Self() }
func (p *process) balancer() bool { return p.self().Role == model.RoleBalancer }

// parcel is a push in flight.
type parcel struct {
	to      netip.AddrPort
	records []Record
}

// world is the truth that the views are held against.
type world struct {
	now       Instant
	steps     int
	started   int
	processes []*process
	cut       map[[2]model.NodeID]bool
	flight    []parcel
	seeds     []netip.AddrPort
}

func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(port))
}

// start runs a node; birth is what its wall clock says.
func (w *world) start(t *rapid.T, name model.NodeID, service model.Service, port int, birth uint64) {
	self := Record{
		Node: name, Role: RoleOf(service), State: StateActive, Incarnation: birth, Version: 1,
		Service: service, Control: address(port),
	}
	table, err := NewTable(self, Scope{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	w.started++
	p := &process{table: table, watch: NewFailureDetector(name), number: w.started, ticked: w.now, answered: w.now}
	w.processes = append(w.processes, p)
	p.rebuild(w.now)
}

func (w *world) kill(p *process) {
	w.processes = slices.DeleteFunc(w.processes, func(q *process) bool { return q == p })
}

// at finds the process that answers at an address to a caller, if any.
func (w *world) at(from *process, addr netip.AddrPort) *process {
	for _, q := range w.processes {
		if q.self().Control == addr && q != from && !q.paused && !w.cut[pair(from, q)] {
			return q
		}
	}
	return nil
}

func pair(a, b *process) [2]model.NodeID {
	x, y := a.self().Node, b.self().Node
	return [2]model.NodeID{min(x, y), max(x, y)}
}

func (w *world) merge(t *rapid.T, p *process, records []Record) {
	for _, record := range records {
		before, _ := p.table.Get(record.Node)
		outcome, err := p.table.Merge(record, w.now)
		if err != nil {
			t.Fatal(err)
		}
		after, _ := p.table.Get(record.Node)
		if before.Newer(after) {
			t.Fatalf("%s went back on %s from %v to %v", p.self().Node, record.Node, before, after)
		}
		switch outcome {
		case OutcomeChanged:
			w.spread(p, after)
		case OutcomeRaised:
			w.spread(p, p.self())
		}
	}
}

// spread pushes a change to two balancers.
func (w *world) spread(p *process, record Record) {
	p.rebuild(w.now)
	if !p.balancer() {
		return
	}
	balancers := p.view.Balancers()
	for i := range min(2, len(balancers)) {
		peer := balancers[(w.steps+p.number+i)%len(balancers)]
		w.flight = append(w.flight, parcel{peer.Control, []Record{record}})
	}
}

func (p *process) rebuild(now Instant) {
	p.view = p.table.View()
	p.assignment = NewAssignment(p.view)
	if p.balancer() {
		p.watch.Assign(p.view, p.assignment, now)
	}
}

func (w *world) deliver(t *rapid.T, i int) {
	sent := w.flight[i]
	for _, q := range w.processes {
		if q.self().Control == sent.to && !q.paused && q.balancer() {
			w.merge(t, q, sent.records)
		}
	}
}

// step lets the time go on and every running process do what is due.
func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(stepTime)
	w.steps++
	for _, p := range slices.Clone(w.processes) {
		if !p.paused {
			w.tick(t, p)
		}
	}
}

func (w *world) tick(t *rapid.T, p *process) {
	if w.now.Sub(p.ticked) >= StaleAfter {
		p.table.DropPeers()
		p.rebuild(w.now)
	}
	p.ticked = w.now
	p.table.Expire(w.now)
	if p.table.ClaimAddress(w.now) == OutcomeRaised {
		w.spread(p, p.self())
	}
	for i, watcher := range p.assignment.Watchers(p.self().Node) {
		if (w.steps+i)%beatSteps == 0 {
			w.beat(t, p, watcher.Control)
		}
	}
	w.search(t, p)
	if !p.balancer() {
		return
	}
	for _, suspect := range p.watch.Tick(w.now) {
		w.judge(t, p, suspect)
	}
}

// search looks for balancers that are lost or not yet known.
func (w *world) search(t *rapid.T, p *process) {
	orphan := w.now.Sub(p.answered) > 2*HeartbeatInterval
	if !orphan && (w.steps+p.number)%20 != 0 {
		return
	}
	tried := append(p.table.DownBalancers(), w.seeds...)
	tried = append(tried, w.keptSeed())
	for _, balancer := range p.view.Balancers() {
		tried = append(tried, balancer.Control)
	}
	w.beat(t, p, tried[(w.steps+p.number)%len(tried)])
}

// keptSeed is what the platform keeps under a lease: a balancer that runs.
func (w *world) keptSeed() netip.AddrPort {
	for _, p := range w.processes {
		if p.balancer() {
			return p.self().Control
		}
	}
	return address(1)
}

// beat is a heartbeat followed by a comparison when the digests differ.
func (w *world) beat(t *rapid.T, p *process, addr netip.AddrPort) {
	q := w.at(p, addr)
	if q == nil || !q.balancer() {
		return
	}
	p.answered = w.now
	p.watch.RecordHeartbeat(q.self().Node, q.self().Incarnation, w.now)
	own := p.self()
	w.merge(t, q, []Record{own})
	if known, found := q.table.Get(own.Node); found {
		w.merge(t, p, []Record{known})
		if own.Incarnation >= known.Incarnation {
			q.watch.RecordHeartbeat(own.Node, own.Incarnation, w.now)
		}
	}
	scope := Scope{Service: own.Service}
	if p.table.Digest(scope) != q.table.Digest(scope) {
		w.sync(t, p, q, scope)
	}
}

func (w *world) sync(t *rapid.T, p, q *process, scope Scope) {
	differ, err := q.table.Differing(scope, p.table.Buckets(scope))
	if err != nil {
		t.Fatal(err)
	}
	push, want := p.table.Compare(scope, differ, q.table.RecordVersions(scope, differ))
	w.merge(t, q, push)
	w.merge(t, p, q.table.Select(want))
}

func (w *world) judge(t *rapid.T, p *process, suspect Suspect) {
	vouched := false
	asked := p.assignment.Watchers(suspect.Node)
	if record, known := p.table.Get(suspect.Node); known {
		asked = append(asked, record)
	}
	for _, peer := range asked {
		q := w.at(p, peer.Control)
		vouched = vouched || q != nil && (q.self().Node == suspect.Node || q.watch.HeardRecently(suspect.Node, w.now))
	}
	if !p.watch.ConfirmDown(suspect, vouched, w.now) {
		return
	}
	if record, marked := p.table.MarkDown(suspect.Node, suspect.Incarnation, w.now); marked {
		w.spread(p, record)
	}
}

// truth returns the nodes that a scope should show.
func (w *world) truth(scope Scope) []string {
	var nodes []string
	for _, p := range w.processes {
		if scope.includes(p.self()) {
			nodes = append(nodes, describe(p.self()))
		}
	}
	slices.Sort(nodes)
	return nodes
}

func (p *process) shown() []string {
	var nodes []string
	for _, record := range p.view.Records {
		nodes = append(nodes, describe(record))
	}
	slices.Sort(nodes)
	return nodes
}

func describe(r Record) string {
	return fmt.Sprintf("%s/%d/%d/%s@%d", r.Node, r.Incarnation, r.Version, r.State, r.Control.Port())
}
