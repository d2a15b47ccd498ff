package idempotency

import (
	"bytes"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Limits bound the memory of a home.
type Limits struct {
	// Records is the number of keys that are kept for one roster.
	Records int
	// AnswerBytes is the size of all answers kept for one roster.
	AnswerBytes int
}

const (
	// pageRecords and pageBytes bound one page of records in a message.
	pageRecords = 2000
	pageBytes   = 512 << 10
	// maxCandidates is the number of proposed rosters that a home is filled for.
	maxCandidates = 16
)

type held struct {
	claim   ClaimID
	state   State
	answer  []byte
	expires model.Instant
}

// table holds the keys of one roster.
type table struct {
	id      RosterID
	records map[KeyID]*held
	bytes   int
	// pages counts the pages installed; complete tells that all were.
	pages    uint32
	complete bool
	sealed   bool
}

// Home is one agent's part in keeping keys. It is not safe for concurrent use.
type Home struct {
	limits Limits
	boot   Boot
	newest Roster
	// tables are in the order in which they were begun.
	tables  []*table
	sweepAt model.Instant
}

// NewHome makes a home that holds nothing.
func NewHome(limits Limits, boot Boot) *Home { return &Home{limits: limits, boot: boot} }

// Newest returns the newest roster in force that the home knows.
func (h *Home) Newest() Roster { return h.newest }

// Size returns the number of keys held.
func (h *Home) Size() int {
	size := 0
	for _, t := range h.tables {
		size += len(t.records)
	}
	return size
}

// Handle carries out a message.
func (h *Home) Handle(now model.Instant, request Request) Response {
	h.adopt(request.Known)
	h.sweep(now)
	response := h.dispatch(now, request)
	response.Newest = h.newest
	response.Boot = h.boot
	return response
}

func (h *Home) dispatch(now model.Instant, request Request) Response {
	switch request.Op {
	case OpInstall:
		return h.install(now, request)
	case OpNotify:
		return Response{Status: StatusDone}
	}
	t := h.table(request.Roster)
	if t == nil || !t.complete {
		return Response{Status: StatusNoTable}
	}
	if request.Op == OpSeal {
		t.sealed = true
		return t.page(now, request.After)
	}
	if t.sealed {
		return Response{Status: StatusSealed}
	}
	switch request.Op {
	case OpClaim:
		return t.claim(now, request, h.limits)
	case OpRelease:
		return t.release(request)
	case OpOutcome:
		return t.outcome(now, request, h.limits)
	default:
		return Response{Status: StatusNoTable}
	}
}

func (h *Home) table(id RosterID) *table {
	for _, t := range h.tables {
		if t.id == id {
			return t
		}
	}
	return nil
}

// adopt takes note of a roster in force. What belongs to its epoch or an older
// one is of no use any more.
func (h *Home) adopt(roster Roster) {
	if roster.ID.Epoch <= h.newest.ID.Epoch {
		return
	}
	h.newest = roster
	h.tables = slices.DeleteFunc(h.tables, func(t *table) bool {
		return t.id.Epoch <= roster.ID.Epoch && t.id != roster.ID
	})
}

func (h *Home) install(now model.Instant, request Request) Response {
	if request.Boot != h.boot {
		return Response{Status: StatusNoTable}
	}
	if request.Roster.Epoch <= h.newest.ID.Epoch && request.Roster != h.newest.ID {
		return Response{Status: StatusNoTable}
	}
	t := h.table(request.Roster)
	if t == nil {
		if request.Page != 0 {
			return Response{Status: StatusNoTable}
		}
		t = h.begin(request.Roster)
	}
	if request.Page < t.pages {
		return Response{Status: StatusDone}
	}
	if request.Page > t.pages || len(t.records)+len(request.Records) > h.limits.Records {
		return Response{Status: StatusFull}
	}
	for _, r := range request.Records {
		t.put(r.Key, &held{claim: r.Claim, state: r.State, answer: r.Answer, expires: now.Add(r.Left)})
	}
	t.pages++
	t.complete = request.Last
	return Response{Status: StatusDone}
}

// begin makes a table for a proposed roster and drops the oldest proposal when
// there are too many. The table of the roster in force is never dropped.
func (h *Home) begin(id RosterID) *table {
	candidates := 0
	for _, t := range h.tables {
		if t.id != h.newest.ID {
			candidates++
		}
	}
	if candidates >= maxCandidates {
		oldest := slices.IndexFunc(h.tables, func(t *table) bool { return t.id != h.newest.ID })
		h.tables = slices.Delete(h.tables, oldest, oldest+1)
	}
	t := &table{id: id, records: map[KeyID]*held{}}
	h.tables = append(h.tables, t)
	return t
}

const sweepInterval = time.Second

// sweep forgets the records whose lifetime is over.
func (h *Home) sweep(now model.Instant) {
	if now < h.sweepAt {
		return
	}
	h.sweepAt = now.Add(sweepInterval)
	for _, t := range h.tables {
		for key, r := range t.records {
			if now >= r.expires {
				t.remove(key)
			}
		}
	}
}

func (t *table) put(key KeyID, r *held) {
	t.remove(key)
	t.records[key] = r
	t.bytes += len(r.answer)
}

func (t *table) remove(key KeyID) {
	if r := t.records[key]; r != nil {
		t.bytes -= len(r.answer)
		delete(t.records, key)
	}
}

func (t *table) claim(now model.Instant, request Request, limits Limits) Response {
	r := t.records[request.Key]
	switch {
	case r != nil && now >= r.expires:
		t.remove(request.Key)
	case r != nil && r.claim == request.Claim:
		return Response{Status: StatusDone}
	case r != nil:
		return Response{Status: StatusKnown, State: r.state, Answer: r.answer}
	}
	if len(t.records) >= limits.Records {
		return Response{Status: StatusFull}
	}
	t.put(request.Key, &held{claim: request.Claim, state: StateClaimed, expires: now.Add(RecordLifetime)})
	return Response{Status: StatusDone}
}

func (t *table) release(request Request) Response {
	r := t.records[request.Key]
	if r != nil && r.claim == request.Claim && r.state == StateClaimed {
		t.remove(request.Key)
	}
	return Response{Status: StatusDone}
}

func (t *table) outcome(now model.Instant, request Request, limits Limits) Response {
	r := t.records[request.Key]
	if r == nil || r.claim != request.Claim || request.State < r.state {
		return Response{Status: StatusDone}
	}
	answer := request.Answer
	if t.bytes+len(answer) > limits.AnswerBytes {
		answer = nil
	}
	t.put(request.Key, &held{claim: r.claim, state: request.State, answer: answer, expires: now.Add(RecordLifetime)})
	return Response{Status: StatusDone}
}

// page returns the records after a key, in key order.
func (t *table) page(now model.Instant, after KeyID) Response {
	var keys []KeyID
	for key := range t.records {
		if bytes.Compare(key[:], after[:]) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b KeyID) int { return bytes.Compare(a[:], b[:]) })
	response := Response{Status: StatusDone}
	size := 0
	for _, key := range keys {
		r := t.records[key]
		if len(response.Records) >= pageRecords || size > pageBytes {
			response.More = true
			break
		}
		size += len(r.answer)
		response.Records = append(response.Records, Record{
			Key: key, Claim: r.claim, State: r.state, Answer: r.answer, Left: r.expires.Sub(now),
		})
	}
	return response
}
