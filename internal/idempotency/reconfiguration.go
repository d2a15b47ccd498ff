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
	// those that have stopped for good or no longer have the table of the old
	// replica set, and sealDone those whose sealing is complete or has failed.
	// installDone are the desired members whose installation is complete or has
	// failed.
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

// ReconfigurationOptions are what the caller knows about the old replica set.
type ReconfigurationOptions struct {
	// Forced means that no claim could succeed under the old replica set for at
	// least RecordLifetime.
	Forced bool
	// Stopped are old replicas that have stopped for good.
	Stopped []model.NodeID
}

// NewReconfiguration plans the replacement of old, the replica set in force; with
// epoch 0 there is none.
func NewReconfiguration(old ReplicaSet, random [16]byte, desired []Member, options ReconfigurationOptions) *Reconfiguration {
	r := &Reconfiguration{
		old:     old,
		next:    ReplicaSetID{Epoch: old.ID.Epoch + 1, Random: random},
		desired: desired,
		sealed:  map[model.NodeID]bool{}, withoutTable: map[model.NodeID]bool{},
		sealDone: map[model.NodeID]bool{}, installDone: map[model.NodeID]bool{},
		incarnations: map[model.NodeID]IncarnationID{}, records: map[KeyID]Record{}, forced: options.Forced,
	}
	for _, node := range options.Stopped {
		r.withoutTable[node] = true
	}
	return r
}

// Start returns the first calls.
func (r *Reconfiguration) Start() []Call {
	if len(r.old.Members) == 0 {
		return r.beginInstall()
	}
	var calls []Call
	for _, member := range r.old.Members {
		calls = append(calls, r.sealCall(member, KeyID{}))
	}
	return calls
}

// Ready returns the new replica set, in node order, and whether it may be written
// to the platform, on the condition that the old one is still in force there.
func (r *Reconfiguration) Ready() (ReplicaSet, bool) {
	return ReplicaSet{ID: r.next, Members: r.installed}, r.phase == phaseReady
}

// Failed reports whether the reconfiguration can't be completed; a later one may
// succeed.
func (r *Reconfiguration) Failed() bool { return r.phase == phaseFailed }

// Blocked reports whether no claim can succeed under the old replica set any more
// although fewer of its replicas than a seal quorum were sealed and read: the
// others that would be needed have stopped or lost their records.
func (r *Reconfiguration) Blocked() bool {
	mayGrant := 0
	for _, member := range r.old.Members {
		if !r.sealed[member.Node] && !r.withoutTable[member.Node] {
			mayGrant++
		}
	}
	return mayGrant < r.old.claimQuorum() && len(r.sealed) < r.old.sealQuorum()
}

// NewestSet returns the newest replica set that an answer reported, if it is newer
// than the old one.
func (r *Reconfiguration) NewestSet() ReplicaSet { return r.newestSet }

// Fail records that a call got no answer and returns the next calls.
func (r *Reconfiguration) Fail(call Call) []Call {
	switch {
	case r.phase == phaseSeal && call.Request.Op == OpSeal:
		r.sealDone[call.To.Node] = true
		return r.afterSeal()
	case r.phase == phaseInstall && call.Request.Op != OpSeal:
		return r.finishInstall(call.To, false)
	}
	return nil
}

// Answer processes the answer to a call and returns the next calls. An answer that
// reports a replica set newer than the old one fails the reconfiguration.
func (r *Reconfiguration) Answer(call Call, response Response) []Call {
	if response.NewestSet.ID.Epoch > max(r.old.ID.Epoch, r.newestSet.ID.Epoch) {
		r.newestSet = response.NewestSet
		r.phase = phaseFailed
	}
	switch {
	case r.phase == phaseSeal && call.Request.Op == OpSeal:
		return r.handleSealAnswer(call, response)
	case r.phase == phaseInstall && call.Request.Op == OpNotify:
		r.incarnations[call.To.Node] = response.Incarnation
		return []Call{r.installCall(call.To, 0)}
	case r.phase == phaseInstall && call.Request.Op == OpInstall:
		return r.handleInstallAnswer(call, response)
	}
	return nil
}

func (r *Reconfiguration) sealCall(member Member, after KeyID) Call {
	return Call{To: member, Request: Request{Op: OpSeal, ReplicaSet: r.old.ID, After: after, KnownSet: r.old}}
}

func (r *Reconfiguration) handleSealAnswer(call Call, response Response) []Call {
	if response.Status != StatusOK {
		r.withoutTable[call.To.Node] = r.withoutTable[call.To.Node] || response.Status == StatusNoTable
		r.sealDone[call.To.Node] = true
		return r.afterSeal()
	}
	for _, record := range response.Records {
		if known, found := r.records[record.Key]; found {
			record = known.merge(record)
		}
		r.records[record.Key] = record
	}
	if response.More && len(response.Records) > 0 {
		return []Call{r.sealCall(call.To, response.Records[len(response.Records)-1].Key)}
	}
	r.sealed[call.To.Node] = true
	r.sealDone[call.To.Node] = true
	return r.afterSeal()
}

// afterSeal starts the installation once a seal quorum was read, without waiting
// for the other replicas, since a seal quorum holds every claim that succeeded.
// When all replicas were tried without a seal quorum, the installation starts only
// if the reconfiguration is forced and the old replica set is blocked; otherwise
// the reconfiguration fails.
func (r *Reconfiguration) afterSeal() []Call {
	if len(r.sealed) >= r.old.sealQuorum() {
		return r.beginInstall()
	}
	if len(r.sealDone) < len(r.old.Members) {
		return nil
	}
	if r.forced && r.Blocked() {
		return r.beginInstall()
	}
	r.phase = phaseFailed
	return nil
}

// beginInstall asks the desired members for their incarnations, which the
// installation needs.
func (r *Reconfiguration) beginInstall() []Call {
	r.phase = phaseInstall
	r.pages = paginate(r.records)
	var calls []Call
	for _, member := range r.desired {
		calls = append(calls, Call{To: member, Request: Request{Op: OpNotify, KnownSet: r.old}})
	}
	if len(calls) == 0 {
		r.phase = phaseFailed
	}
	return calls
}

func (r *Reconfiguration) installCall(member Member, page uint32) Call {
	return Call{To: member, Request: Request{
		Op: OpInstall, ReplicaSet: r.next, Page: page, Records: r.pages[page],
		Last: int(page) == len(r.pages)-1, Incarnation: r.incarnations[member.Node], KnownSet: r.old,
	}}
}

func (r *Reconfiguration) handleInstallAnswer(call Call, response Response) []Call {
	if response.Status != StatusOK {
		return r.finishInstall(call.To, false)
	}
	if !call.Request.Last {
		return []Call{r.installCall(call.To, call.Request.Page+1)}
	}
	return r.finishInstall(call.To, true)
}

// finishInstall ends the installation in one replica. When all have ended, the
// replicas that hold all records form the new replica set, provided that they are
// a majority of the desired members.
func (r *Reconfiguration) finishInstall(member Member, ok bool) []Call {
	r.installDone[member.Node] = true
	if ok {
		r.installed = append(r.installed, member)
	}
	if len(r.installDone) < len(r.desired) {
		return nil
	}
	slices.SortFunc(r.installed, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	r.phase = phaseReady
	if len(r.installed) <= len(r.desired)/2 {
		r.phase = phaseFailed
	}
	return nil
}

// paginate returns the records in key order, in at least one page: an empty page
// still creates the table of the new replica set.
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
