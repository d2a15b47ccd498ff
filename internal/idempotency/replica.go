package idempotency

import (
	"bytes"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Limits bound the memory of a replica.
type Limits struct {
	// Records is the maximum number of keys of one replica set.
	Records int
	// AnswerBytes is the maximum total size of the answers stored for one replica
	// set. For an answer beyond it, only the state is stored.
	AnswerBytes int
}

const (
	// pageRecords and pageBytes limit one page of records in a message. pageBytes
	// counts only the answers, and the last one may exceed it.
	pageRecords = 2000
	pageBytes   = 512 << 10
	// maxProposedTables is the maximum number of proposed replica sets whose
	// records a replica holds at once.
	maxProposedTables = 16
)

// storedRecord is the state of one key in a table.
type storedRecord struct {
	claim   ClaimID
	state   State
	answer  []byte
	expires model.Instant
}

// table holds the keys of one replica set.
type table struct {
	id      ReplicaSetID
	records map[KeyID]*storedRecord
	// answerBytes is the total size of the stored answers.
	answerBytes int
	// pages counts the installed pages; complete is set once the last one is
	// installed.
	pages    uint32
	complete bool
	sealed   bool
}

// Replica holds one agent's copy of the keys. It is not safe for concurrent use.
type Replica struct {
	limits      Limits
	incarnation IncarnationID
	newestSet   ReplicaSet
	// tables are in order of creation.
	tables    []*table
	nextSweep model.Instant
}

// NewReplica returns an empty replica.
func NewReplica(limits Limits, incarnation IncarnationID) *Replica {
	return &Replica{limits: limits, incarnation: incarnation}
}

// NewestSet returns the newest replica set in force that the replica knows.
func (rep *Replica) NewestSet() ReplicaSet { return rep.newestSet }

// Size returns the number of keys held, over all tables.
func (rep *Replica) Size() int {
	size := 0
	for _, t := range rep.tables {
		size += len(t.records)
	}
	return size
}

// Handle processes a message and returns its answer.
func (rep *Replica) Handle(now model.Instant, request Request) Response {
	rep.adopt(request.KnownSet)
	rep.sweep(now)
	response := rep.dispatch(now, request)
	response.NewestSet = rep.newestSet
	response.Incarnation = rep.incarnation
	return response
}

func (rep *Replica) dispatch(now model.Instant, request Request) Response {
	switch request.Op {
	case OpInstall:
		return rep.install(now, request)
	case OpNotify: // Handle has adopted the replica set of the message
		return Response{Status: StatusOK}
	}
	t := rep.table(request.ReplicaSet)
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
		return t.claim(now, request, rep.limits)
	case OpRelease:
		return t.release(request)
	case OpOutcome:
		return t.recordOutcome(now, request, rep.limits)
	default:
		return Response{Status: StatusNoTable}
	}
}

func (rep *Replica) table(id ReplicaSetID) *table {
	for _, t := range rep.tables {
		if t.id == id {
			return t
		}
	}
	return nil
}

// adopt records a replica set in force. Tables of its epoch or an older one that
// belong to another replica set are obsolete and dropped.
func (rep *Replica) adopt(set ReplicaSet) {
	if set.ID.Epoch <= rep.newestSet.ID.Epoch {
		return
	}
	rep.newestSet = set
	rep.tables = slices.DeleteFunc(rep.tables, func(t *table) bool {
		return t.id.Epoch <= set.ID.Epoch && t.id != set.ID
	})
}

// install adds a page of records to the table of a proposed replica set. Page 0
// creates the table; a page that was installed before is ignored. StatusFull also
// refuses a page that does not follow the last installed one.
func (rep *Replica) install(now model.Instant, request Request) Response {
	if request.Incarnation != rep.incarnation {
		return Response{Status: StatusNoTable}
	}
	if request.ReplicaSet.Epoch <= rep.newestSet.ID.Epoch && request.ReplicaSet != rep.newestSet.ID {
		return Response{Status: StatusNoTable}
	}
	t := rep.table(request.ReplicaSet)
	if t == nil {
		if request.Page != 0 {
			return Response{Status: StatusNoTable}
		}
		t = rep.addTable(request.ReplicaSet)
	}
	if request.Page < t.pages {
		return Response{Status: StatusOK}
	}
	if request.Page > t.pages || len(t.records)+len(request.Records) > rep.limits.Records {
		return Response{Status: StatusFull}
	}
	for _, r := range request.Records {
		t.put(r.Key, &storedRecord{claim: r.Claim, state: r.State, answer: r.Answer, expires: now.Add(r.TTL)})
	}
	t.pages++
	t.complete = request.Last
	return Response{Status: StatusOK}
}

// addTable creates the table of a proposed replica set and drops the oldest
// proposed one when there are too many. The table of the replica set in force is
// never dropped.
func (rep *Replica) addTable(id ReplicaSetID) *table {
	proposed := 0
	for _, t := range rep.tables {
		if t.id != rep.newestSet.ID {
			proposed++
		}
	}
	if proposed >= maxProposedTables {
		oldest := slices.IndexFunc(rep.tables, func(t *table) bool { return t.id != rep.newestSet.ID })
		rep.tables = slices.Delete(rep.tables, oldest, oldest+1)
	}
	t := &table{id: id, records: map[KeyID]*storedRecord{}}
	rep.tables = append(rep.tables, t)
	return t
}

const sweepInterval = time.Second

// sweep drops the expired records.
func (rep *Replica) sweep(now model.Instant) {
	if now < rep.nextSweep {
		return
	}
	rep.nextSweep = now.Add(sweepInterval)
	for _, t := range rep.tables {
		for key, r := range t.records {
			if now >= r.expires {
				t.remove(key)
			}
		}
	}
}

func (t *table) put(key KeyID, r *storedRecord) {
	t.remove(key)
	t.records[key] = r
	t.answerBytes += len(r.answer)
}

func (t *table) remove(key KeyID) {
	if r := t.records[key]; r != nil {
		t.answerBytes -= len(r.answer)
		delete(t.records, key)
	}
}

// claim grants a key that is free, or that the same claim already holds.
func (t *table) claim(now model.Instant, request Request, limits Limits) Response {
	r := t.records[request.Key]
	switch {
	case r != nil && now >= r.expires:
		t.remove(request.Key)
	case r != nil && r.claim == request.Claim:
		return Response{Status: StatusOK}
	case r != nil:
		return Response{Status: StatusClaimed, State: r.state, Answer: r.answer}
	}
	if len(t.records) >= limits.Records {
		return Response{Status: StatusFull}
	}
	t.put(request.Key, &storedRecord{claim: request.Claim, state: StateClaimed, expires: now.Add(RecordLifetime)})
	return Response{Status: StatusOK}
}

func (t *table) release(request Request) Response {
	r := t.records[request.Key]
	if r != nil && r.claim == request.Claim && r.state == StateClaimed {
		t.remove(request.Key)
	}
	return Response{Status: StatusOK}
}

// recordOutcome replaces the state and the answer of a claimed key.
func (t *table) recordOutcome(now model.Instant, request Request, limits Limits) Response {
	r := t.records[request.Key]
	if r == nil || r.claim != request.Claim || request.State < r.state {
		return Response{Status: StatusOK}
	}
	answer := request.Answer
	if t.answerBytes+len(answer) > limits.AnswerBytes {
		answer = nil
	}
	t.put(request.Key, &storedRecord{claim: r.claim, state: request.State, answer: answer, expires: now.Add(RecordLifetime)})
	return Response{Status: StatusOK}
}

// page returns the records after a key, in key order, up to the limits of a page.
func (t *table) page(now model.Instant, after KeyID) Response {
	var keys []KeyID
	for key := range t.records {
		if bytes.Compare(key[:], after[:]) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b KeyID) int { return bytes.Compare(a[:], b[:]) })
	response := Response{Status: StatusOK}
	size := 0
	for _, key := range keys {
		r := t.records[key]
		if len(response.Records) >= pageRecords || size > pageBytes {
			response.More = true
			break
		}
		size += len(r.answer)
		response.Records = append(response.Records, Record{
			Key: key, Claim: r.claim, State: r.state, Answer: r.answer, TTL: r.expires.Sub(now),
		})
	}
	return response
}
