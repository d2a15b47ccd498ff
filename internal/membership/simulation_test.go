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
	stepTime       = 250 * time.Millisecond
	heartbeatSteps = int(HeartbeatInterval / stepTime)
	// baseMillis is the wall clock of the first processes, in Unix milliseconds.
	baseMillis = 1_000_000
)

// process is one run of a node: the state of package membership as package
// cluster drives it.
type process struct {
	table      *Table
	detector   *FailureDetector
	assignment *Assignment
	view       *View
	// number counts the starts of processes; it spreads periodic work over steps.
	number    int
	paused    bool
	lastTick  Instant
	lastReply Instant
}

func (p *process) self() Record   { return p.table.Self() }
func (p *process) balancer() bool { return p.self().Role == model.RoleBalancer }

// pendingPush is a push in flight.
type pendingPush struct {
	to      netip.AddrPort
	records []Record
}

// simulation holds the processes that actually run, with which the views are
// compared, and the messages between them.
type simulation struct {
	now         Instant
	steps       int
	started     int
	processes   []*process
	partitioned map[[2]model.NodeID]bool
	inFlight    []pendingPush
	// seeds are the balancer addresses that every process knows from its start.
	seeds []netip.AddrPort
}

func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(port))
}

// start adds a running process with an incarnation derived from its wall clock.
func (s *simulation) start(t *rapid.T, name model.NodeID, service model.Service, port int, incarnation uint64) {
	self := Record{
		Node: name, Role: RoleOf(service), State: StateActive, Incarnation: incarnation, Version: 1,
		Service: service, Control: address(port),
	}
	table, err := NewTable(self, Scope{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	s.started++
	p := &process{table: table, detector: NewFailureDetector(name), number: s.started, lastTick: s.now, lastReply: s.now}
	s.processes = append(s.processes, p)
	p.rebuild(s.now)
}

func (s *simulation) kill(p *process) {
	s.processes = slices.DeleteFunc(s.processes, func(q *process) bool { return q == p })
}

// at returns the process that answers a caller at an address, or nil.
func (s *simulation) at(from *process, addr netip.AddrPort) *process {
	for _, q := range s.processes {
		if q.self().Control == addr && q != from && !q.paused && !s.partitioned[pair(from, q)] {
			return q
		}
	}
	return nil
}

func pair(a, b *process) [2]model.NodeID {
	x, y := a.self().Node, b.self().Node
	return [2]model.NodeID{min(x, y), max(x, y)}
}

func (s *simulation) merge(t *rapid.T, p *process, records []Record) {
	for _, record := range records {
		before, _ := p.table.Get(record.Node)
		outcome, err := p.table.Merge(record, s.now)
		if err != nil {
			t.Fatal(err)
		}
		after, _ := p.table.Get(record.Node)
		if before.Newer(after) {
			t.Fatalf("%s replaced the record of %s by an older one: from %v to %v", p.self().Node, record.Node, before, after)
		}
		switch outcome {
		case OutcomeChanged:
			s.pushChange(p, after)
		case OutcomeRaised:
			s.pushChange(p, p.self())
		}
	}
}

// pushChange pushes a change to two balancers.
func (s *simulation) pushChange(p *process, record Record) {
	p.rebuild(s.now)
	if !p.balancer() {
		return
	}
	balancers := p.view.Balancers()
	for i := range min(2, len(balancers)) {
		peer := balancers[(s.steps+p.number+i)%len(balancers)]
		s.inFlight = append(s.inFlight, pendingPush{peer.Control, []Record{record}})
	}
}

func (p *process) rebuild(now Instant) {
	p.view = p.table.View()
	p.assignment = NewAssignment(p.view)
	if p.balancer() {
		p.detector.Assign(p.view, p.assignment, now)
	}
}

func (s *simulation) deliver(t *rapid.T, i int) {
	sent := s.inFlight[i]
	for _, q := range s.processes {
		if q.self().Control == sent.to && !q.paused && q.balancer() {
			s.merge(t, q, sent.records)
		}
	}
}

// step advances the time and lets every running process do what is due.
func (s *simulation) step(t *rapid.T) {
	s.now = s.now.Add(stepTime)
	s.steps++
	for _, p := range slices.Clone(s.processes) {
		if !p.paused {
			s.tick(t, p)
		}
	}
}

func (s *simulation) tick(t *rapid.T, p *process) {
	if s.now.Sub(p.lastTick) >= StaleAfter {
		p.table.DropPeers()
		p.rebuild(s.now)
	}
	p.lastTick = s.now
	p.table.Expire(s.now)
	if p.table.ClaimAddress(s.now) == OutcomeRaised {
		s.pushChange(p, p.self())
	}
	for i, watcher := range p.assignment.Watchers(p.self().Node) {
		if (s.steps+i)%heartbeatSteps == 0 {
			s.heartbeat(t, p, watcher.Control)
		}
	}
	s.contactBalancer(t, p)
	if !p.balancer() {
		return
	}
	for _, suspect := range p.detector.Tick(s.now) {
		s.resolveSuspect(t, p, suspect)
	}
}

// contactBalancer contacts one of the balancers marked down, the seeds and the
// balancers in the view: every 20 steps, and in each step while the process gets
// no replies.
func (s *simulation) contactBalancer(t *rapid.T, p *process) {
	noReply := s.now.Sub(p.lastReply) > 2*HeartbeatInterval
	if !noReply && (s.steps+p.number)%20 != 0 {
		return
	}
	tried := append(p.table.DownBalancers(), s.seeds...)
	tried = append(tried, s.leasedSeed())
	for _, balancer := range p.view.Balancers() {
		tried = append(tried, balancer.Control)
	}
	s.heartbeat(t, p, tried[(s.steps+p.number)%len(tried)])
}

// leasedSeed returns the seed that the platform holds under a lease: a running
// balancer or, if there is none, an address at which nothing listens.
func (s *simulation) leasedSeed() netip.AddrPort {
	for _, p := range s.processes {
		if p.balancer() {
			return p.self().Control
		}
	}
	return address(1)
}

// heartbeat sends a heartbeat, followed by a sync if the digests differ.
func (s *simulation) heartbeat(t *rapid.T, p *process, addr netip.AddrPort) {
	q := s.at(p, addr)
	if q == nil || !q.balancer() {
		return
	}
	p.lastReply = s.now
	p.detector.RecordHeartbeat(q.self().Node, q.self().Incarnation, s.now)
	own := p.self()
	s.merge(t, q, []Record{own})
	if known, found := q.table.Get(own.Node); found {
		s.merge(t, p, []Record{known})
		if own.Incarnation >= known.Incarnation {
			q.detector.RecordHeartbeat(own.Node, own.Incarnation, s.now)
		}
	}
	scope := Scope{Service: own.Service}
	if p.table.Digest(scope) != q.table.Digest(scope) {
		s.sync(t, p, q, scope)
	}
}

func (s *simulation) sync(t *rapid.T, p, q *process, scope Scope) {
	differ, err := q.table.Differing(scope, p.table.Buckets(scope))
	if err != nil {
		t.Fatal(err)
	}
	push, want := p.table.Compare(scope, differ, q.table.RecordVersions(scope, differ))
	s.merge(t, q, push)
	s.merge(t, p, q.table.Select(want))
}

func (s *simulation) resolveSuspect(t *rapid.T, p *process, suspect Suspect) {
	reportedAlive := false
	asked := p.assignment.Watchers(suspect.Node)
	if record, known := p.table.Get(suspect.Node); known {
		asked = append(asked, record)
	}
	for _, peer := range asked {
		q := s.at(p, peer.Control)
		reportedAlive = reportedAlive || q != nil && (q.self().Node == suspect.Node || q.detector.HeardRecently(suspect.Node, s.now))
	}
	if !p.detector.ConfirmDown(suspect, reportedAlive, s.now) {
		return
	}
	if record, marked := p.table.MarkDown(suspect.Node, suspect.Incarnation, s.now); marked {
		s.pushChange(p, record)
	}
}

// expected returns the nodes that the view of a scope should contain.
func (s *simulation) expected(scope Scope) []string {
	var nodes []string
	for _, p := range s.processes {
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
