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

type changePhase uint8

const (
	phaseSeal changePhase = iota
	phaseInstall
	phaseReady
	phaseFailed
)

// Change replaces one roster by another: it seals the old homes, gathers their
// records and installs them in the new homes. Each call gets one answer or one
// failure.
type Change struct {
	old   Roster
	next  RosterID
	phase changePhase
	// wanted are the members of the new roster; installed are those that hold
	// all records.
	wanted    []Member
	installed []Member
	// sealed are the old homes that were read in full, lost those that have
	// nothing of the old roster any more, and closed those that answered or
	// failed for good.
	sealed  map[model.NodeID]bool
	lost    map[model.NodeID]bool
	closed  map[model.NodeID]bool
	settled map[model.NodeID]bool
	records map[KeyID]Record
	pages   [][]Record
	// boots are the starts of the wanted members.
	boots map[model.NodeID]Boot
	// forced lets the change go on although no seal quorum is left.
	forced bool
	newest Roster
}

// Options are what a Change takes for granted.
type Options struct {
	// Forced tells that no claim could succeed under the old roster for at
	// least RecordLifetime.
	Forced bool
	// Gone are old homes that no longer run.
	Gone []model.NodeID
}

// NewChange plans a change. Old is the roster in force; with an epoch of 0
// there is none.
func NewChange(old Roster, random [16]byte, wanted []Member, options Options) *Change {
	c := &Change{
		old:    old,
		next:   RosterID{Epoch: old.ID.Epoch + 1, Random: random},
		wanted: wanted,
		sealed: map[model.NodeID]bool{}, lost: map[model.NodeID]bool{},
		closed: map[model.NodeID]bool{}, settled: map[model.NodeID]bool{},
		boots: map[model.NodeID]Boot{}, records: map[KeyID]Record{}, forced: options.Forced,
	}
	for _, node := range options.Gone {
		c.lost[node] = true
	}
	return c
}

// Start returns the first calls.
func (c *Change) Start() []Call {
	if len(c.old.Members) == 0 {
		return c.beginInstall()
	}
	var calls []Call
	for _, member := range c.old.Members {
		calls = append(calls, c.seal(member, KeyID{}))
	}
	return calls
}

// Ready returns the new roster, in node order, once it may be written to the platform, on the
// condition that the old one is still in force there.
func (c *Change) Ready() (Roster, bool) {
	return Roster{ID: c.next, Members: c.installed}, c.phase == phaseReady
}

// Failed reports whether the change can't be carried out now.
func (c *Change) Failed() bool { return c.phase == phaseFailed }

// Blocked reports whether no claim can succeed under the old roster any more
// and yet too few of its homes hold their records.
func (c *Change) Blocked() bool {
	left := 0
	for _, member := range c.old.Members {
		if !c.sealed[member.Node] && !c.lost[member.Node] {
			left++
		}
	}
	return left < c.old.claimQuorum() && len(c.sealed) < c.old.sealQuorum()
}

// Newest returns the newest roster that a home told of.
func (c *Change) Newest() Roster { return c.newest }

// Fail notes that a call got no answer.
func (c *Change) Fail(call Call) []Call {
	switch {
	case c.phase == phaseSeal && call.Request.Op == OpSeal:
		c.closed[call.To.Node] = true
		return c.afterSeal()
	case c.phase == phaseInstall && call.Request.Op != OpSeal:
		return c.settle(call.To, false)
	}
	return nil
}

// Answer notes the answer to a call and returns the next ones.
func (c *Change) Answer(call Call, response Response) []Call {
	if response.Newest.ID.Epoch > max(c.old.ID.Epoch, c.newest.ID.Epoch) {
		c.newest = response.Newest
		c.phase = phaseFailed
	}
	switch {
	case c.phase == phaseSeal && call.Request.Op == OpSeal:
		return c.sealAnswer(call, response)
	case c.phase == phaseInstall && call.Request.Op == OpNotify:
		c.boots[call.To.Node] = response.Boot
		return []Call{c.install(call.To, 0)}
	case c.phase == phaseInstall && call.Request.Op == OpInstall:
		return c.installAnswer(call, response)
	}
	return nil
}

func (c *Change) seal(member Member, after KeyID) Call {
	return Call{To: member, Request: Request{Op: OpSeal, Roster: c.old.ID, After: after, Known: c.old}}
}

func (c *Change) sealAnswer(call Call, response Response) []Call {
	if response.Status != StatusDone {
		c.lost[call.To.Node] = c.lost[call.To.Node] || response.Status == StatusNoTable
		c.closed[call.To.Node] = true
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
	c.closed[call.To.Node] = true
	return c.afterSeal()
}

// afterSeal goes on when enough homes were read, and gives up when that can't
// happen any more. A change that is not forced may go on before all homes have
// answered, since a seal quorum holds every claim that succeeded.
func (c *Change) afterSeal() []Call {
	if len(c.sealed) >= c.old.sealQuorum() {
		return c.beginInstall()
	}
	if len(c.closed) < len(c.old.Members) {
		return nil
	}
	if c.forced && c.Blocked() {
		return c.beginInstall()
	}
	c.phase = phaseFailed
	return nil
}

func (c *Change) beginInstall() []Call {
	c.phase = phaseInstall
	c.pages = pagesOf(c.records)
	var calls []Call
	for _, member := range c.wanted {
		calls = append(calls, Call{To: member, Request: Request{Op: OpNotify, Known: c.old}})
	}
	if len(calls) == 0 {
		c.phase = phaseFailed
	}
	return calls
}

func (c *Change) install(member Member, page uint32) Call {
	return Call{To: member, Request: Request{
		Op: OpInstall, Roster: c.next, Page: page, Records: c.pages[page],
		Last: int(page) == len(c.pages)-1, Boot: c.boots[member.Node], Known: c.old,
	}}
}

func (c *Change) installAnswer(call Call, response Response) []Call {
	if response.Status != StatusDone {
		return c.settle(call.To, false)
	}
	if !call.Request.Last {
		return []Call{c.install(call.To, call.Request.Page+1)}
	}
	return c.settle(call.To, true)
}

// settle ends the installation in one home. When all have ended, those that
// hold everything make the new roster, if they are a majority of the wanted.
func (c *Change) settle(member Member, ok bool) []Call {
	c.settled[member.Node] = true
	if ok {
		c.installed = append(c.installed, member)
	}
	if len(c.settled) < len(c.wanted) {
		return nil
	}
	slices.SortFunc(c.installed, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	c.phase = phaseReady
	if len(c.installed) <= len(c.wanted)/2 {
		c.phase = phaseFailed
	}
	return nil
}

func pagesOf(records map[KeyID]Record) [][]Record {
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
