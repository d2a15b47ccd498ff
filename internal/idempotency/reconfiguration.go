package idempotency

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Call is a message to a member.
type Call struct {
	To      Member
	Request Request
}

// reconfigurationPhase is the stage that a Reconfiguration has reached.
type reconfigurationPhase uint8

const (
	phaseSeal reconfigurationPhase = iota
	phaseInstall
	phaseReady
	phaseFailed
)

// Reconfiguration replaces one replica set by another: it seals the old replicas,
// reads their records and installs them in the new replicas. Each call must be
// completed once, with Answer or Fail.
type Reconfiguration struct {
	old   ReplicaSet
	next  ReplicaSetID
	phase reconfigurationPhase
	// desired are the intended members of the new replica set; installed are those
	// that hold all records.
	desired   []Member
	installed []Member
	// sealed are the old replicas whose records were read in full, withoutTable
	// those that no longer have the table of the old replica set, and sealDone
	// those whose sealing is complete or has failed. installDone are the desired
	// members whose installation is complete or has failed.
	sealed       map[model.NodeID]bool
	withoutTable map[model.NodeID]bool
	sealDone     map[model.NodeID]bool
	installDone  map[model.NodeID]bool
	records      map[KeyID]Record
	pages        [][]Record
	// incarnations are the current incarnations of the desired members.
	incarnations map[model.NodeID]IncarnationID
	// forced lets the reconfiguration proceed although no seal quorum is left.
	forced    bool
	newestSet ReplicaSet
}

// Options are what the caller knows about the old replica set.
type Options struct {
	// Forced means that no claim could succeed under the old replica set for at
	// least RecordLifetime.
	Forced bool
	// Stopped are old replicas that have stopped for good.
	Stopped []model.NodeID
}

// NewReconfiguration plans the replacement of old, the replica set in force; with
// epoch 0 there is none.
func NewReconfiguration(old ReplicaSet, random [16]byte, desired []Member, options Options) *Reconfiguration {
	c := &Reconfiguration{
		old:     old,
		next:    ReplicaSetID{Epoch: old.ID.Epoch + 1, Random: random},
		desired: desired,
		sealed:  map[model.NodeID]bool{}, withoutTable: map[model.NodeID]bool{},
		sealDone: map[model.NodeID]bool{}, installDone: map[model.NodeID]bool{},
		incarnations: map[model.NodeID]IncarnationID{}, records: map[KeyID]Record{}, forced: options.Forced,
	}
	for _, node := range options.Stopped {
		c.withoutTable[node] = true
	}
	return c
}

// Start returns the first calls.
func (c *Reconfiguration) Start() []Call {
	if len(c.old.Members) == 0 {
		return c.beginInstall()
	}
	var calls []Call
	for _, member := range c.old.Members {
		calls = append(calls, c.seal(member, KeyID{}))
	}
	return calls
}

// Ready returns the new replica set, in node order, and whether it may be written
// to the platform, on the condition that the old one is still in force there.
func (c *Reconfiguration) Ready() (ReplicaSet, bool) {
	return ReplicaSet{ID: c.next, Members: c.installed}, c.phase == phaseReady
}

// Failed reports whether the reconfiguration can't be completed; a later one may
// succeed.
func (c *Reconfiguration) Failed() bool { return c.phase == phaseFailed }

// Blocked reports whether no claim can succeed under the old replica set any more
// and yet too few of its replicas hold their records for a seal quorum.
func (c *Reconfiguration) Blocked() bool {
	left := 0
	for _, member := range c.old.Members {
		if !c.sealed[member.Node] && !c.withoutTable[member.Node] {
			left++
		}
	}
	return left < c.old.claimQuorum() && len(c.sealed) < c.old.sealQuorum()
}

// NewestSet returns the newest replica set that an answer reported, if it is newer
// than the old one.
func (c *Reconfiguration) NewestSet() ReplicaSet { return c.newestSet }

// Fail records that a call got no answer and returns the next calls.
func (c *Reconfiguration) Fail(call Call) []Call {
	switch {
	case c.phase == phaseSeal && call.Request.Op == OpSeal:
		c.sealDone[call.To.Node] = true
		return c.afterSeal()
	case c.phase == phaseInstall && call.Request.Op != OpSeal:
		return c.finishInstall(call.To, false)
	}
	return nil
}

// Answer processes the answer to a call and returns the next calls.
func (c *Reconfiguration) Answer(call Call, response Response) []Call {
	if response.NewestSet.ID.Epoch > max(c.old.ID.Epoch, c.newestSet.ID.Epoch) {
		c.newestSet = response.NewestSet
		c.phase = phaseFailed
	}
	switch {
	case c.phase == phaseSeal && call.Request.Op == OpSeal:
		return c.sealAnswer(call, response)
	case c.phase == phaseInstall && call.Request.Op == OpNotify:
		c.incarnations[call.To.Node] = response.Incarnation
		return []Call{c.install(call.To, 0)}
	case c.phase == phaseInstall && call.Request.Op == OpInstall:
		return c.installAnswer(call, response)
	}
	return nil
}

func (c *Reconfiguration) seal(member Member, after KeyID) Call {
	return Call{To: member, Request: Request{Op: OpSeal, ReplicaSet: c.old.ID, After: after, KnownSet: c.old}}
}

func (c *Reconfiguration) sealAnswer(call Call, response Response) []Call {
	if response.Status != StatusOK {
		c.withoutTable[call.To.Node] = c.withoutTable[call.To.Node] || response.Status == StatusNoTable
		c.sealDone[call.To.Node] = true
		return c.afterSeal()
	}
	for _, record := range response.Records {
		if known, found := c.records[record.Key]; found {
			record = known.merge(record)
		}
		c.records[record.Key] = record
	}
	if response.More && len(response.Records) > 0 {
		return []Call{c.seal(call.To, response.Records[len(response.Records)-1].Key)}
	}
	c.sealed[call.To.Node] = true
	c.sealDone[call.To.Node] = true
	return c.afterSeal()
}

// afterSeal starts the installation once a seal quorum was read, and fails the
// reconfiguration once that has become impossible. A reconfiguration that is not
// forced need not wait for the other replicas, since a seal quorum holds every
// claim that succeeded.
func (c *Reconfiguration) afterSeal() []Call {
	if len(c.sealed) >= c.old.sealQuorum() {
		return c.beginInstall()
	}
	if len(c.sealDone) < len(c.old.Members) {
		return nil
	}
	if c.forced && c.Blocked() {
		return c.beginInstall()
	}
	c.phase = phaseFailed
	return nil
}

func (c *Reconfiguration) beginInstall() []Call {
	c.phase = phaseInstall
	c.pages = paginate(c.records)
	var calls []Call
	for _, member := range c.desired {
		calls = append(calls, Call{To: member, Request: Request{Op: OpNotify, KnownSet: c.old}})
	}
	if len(calls) == 0 {
		c.phase = phaseFailed
	}
	return calls
}

func (c *Reconfiguration) install(member Member, page uint32) Call {
	return Call{To: member, Request: Request{
		Op: OpInstall, ReplicaSet: c.next, Page: page, Records: c.pages[page],
		Last: int(page) == len(c.pages)-1, Incarnation: c.incarnations[member.Node], KnownSet: c.old,
	}}
}

func (c *Reconfiguration) installAnswer(call Call, response Response) []Call {
	if response.Status != StatusOK {
		return c.finishInstall(call.To, false)
	}
	if !call.Request.Last {
		return []Call{c.install(call.To, call.Request.Page+1)}
	}
	return c.finishInstall(call.To, true)
}

// finishInstall ends the installation in one replica. When all have ended, the
// replicas that hold all records form the new replica set, provided that they are
// a majority of the desired members.
func (c *Reconfiguration) finishInstall(member Member, ok bool) []Call {
	c.installDone[member.Node] = true
	if ok {
		c.installed = append(c.installed, member)
	}
	if len(c.installDone) < len(c.desired) {
		return nil
	}
	slices.SortFunc(c.installed, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	c.phase = phaseReady
	if len(c.installed) <= len(c.desired)/2 {
		c.phase = phaseFailed
	}
	return nil
}

func paginate(records map[KeyID]Record) [][]Record {
	sorted := make([]Record, 0, len(records))
	for _, record := range records {
		sorted = append(sorted, record)
	}
	slices.SortFunc(sorted, func(a, b Record) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	var pages [][]Record
	var page []Record
	size := 0
	for _, record := range sorted {
		if len(page) >= pageRecords || size > pageBytes {
			pages = append(pages, page)
			page, size = nil, 0
		}
		page = append(page, record)
		size += len(record.Answer)
	}
	return append(pages, page)
}
