package idempotency

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
)

// message is a call in transit to a replica, or its answer in transit back.
type message struct {
	from     int
	call     Call
	response *Response
	// answer and fail call back the sender; both are nil for duplicates.
	answer func(Response)
	fail   func()
}

// claimAttempt is one attempt of an agent to claim a key.
type claimAttempt struct {
	key     KeyID
	claim   ClaimID
	started model.Instant
	node    int
	decided bool
}

// simulation is a service whose agents restart and lose their records, whose
// messages are lost, duplicated, delayed and reordered, and whose network is
// partitioned in two.
type simulation struct {
	t        *rapid.T
	rand     *rand.Rand
	now      model.Instant
	replicas []*Replica
	// partitioned holds for each agent the side of the partition that it is on.
	partitioned []bool
	// known holds for each agent the replica set that it knows; current is the one
	// in force, as stored in the platform.
	known            []ReplicaSet
	current          ReplicaSet
	inFlight         []*message
	lastID           uint64
	reconfigurations map[*Reconfiguration]bool
	// blocked holds the replica sets that were found to be blocked, and when.
	blocked map[ReplicaSetID]model.Instant
	// runs holds the starts of the claims that led to a run of their key.
	runs       map[KeyID][]model.Instant
	wonClaims  int
	lostClaims int
}

// newID returns an ID that was not used before.
func (s *simulation) newID() [16]byte {
	s.lastID++
	var out [16]byte
	binary.BigEndian.PutUint64(out[:], s.lastID)
	return out
}

func (s *simulation) member(i int) Member {
	return Member{Node: model.NodeID(fmt.Sprint(i)), Zone: model.Zone(fmt.Sprint(i % 3))}
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: model.Instant(time.Hour), reconfigurations: map[*Reconfiguration]bool{},
		blocked: map[ReplicaSetID]model.Instant{}, runs: map[KeyID][]model.Instant{},
	}
	n := rapid.IntRange(1, 7).Draw(t, "agents")
	for range n {
		s.replicas = append(s.replicas, s.newReplica())
	}
	s.partitioned = make([]bool, n)
	s.known = make([]ReplicaSet, n)
	s.reconfigure(0)
	for len(s.inFlight) > 0 {
		s.deliver(0)
	}
	s.commit()
	return s
}

func (s *simulation) newReplica() *Replica {
	return NewReplica(Limits{Records: 1000, AnswerBytes: 1000}, IncarnationID(s.newID()))
}

func (s *simulation) send(from int, calls []Call, answer func(Call, Response), fail func(Call)) {
	for _, call := range calls {
		s.inFlight = append(s.inFlight, &message{
			from: from, call: call,
			answer: func(r Response) { answer(call, r) },
			fail:   func() { fail(call) },
		})
	}
}

// deliver passes message i to its replica, which puts the answer in transit, or
// passes the answer back to the sender.
func (s *simulation) deliver(i int) {
	m := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	var to int
	fmt.Sscan(string(m.call.To.Node), &to)
	if s.partitioned[m.from] != s.partitioned[to] {
		s.drop(m)
		return
	}
	if m.response == nil {
		response := s.replicas[to].Handle(s.now, m.call.Request)
		m.response = &response
		s.inFlight = append(s.inFlight, m)
		return
	}
	if m.answer != nil {
		m.answer(*m.response)
	}
}

func (s *simulation) drop(m *message) {
	if m.fail != nil {
		m.fail()
	}
}

// sync makes an agent learn the replica set in force.
func (s *simulation) sync(node int) { s.known[node] = s.current }

// reconfigure makes an agent start to replace the replica set. It chooses among a
// random part of the agents, as if it knew only these.
func (s *simulation) reconfigure(node int) {
	s.sync(node)
	var desired []Member
	for i := range s.replicas {
		if i == node || s.rand.IntN(4) > 0 {
			desired = append(desired, s.member(i))
		}
	}
	since, blocked := s.blocked[s.current.ID]
	options := ReconfigurationOptions{Forced: blocked && s.now.Sub(since) >= RecordLifetime}
	old := s.current
	reconfiguration := NewReconfiguration(old, s.newID(), ChooseReplicas(old, desired), options)
	s.reconfigurations[reconfiguration] = true
	var after func(calls []Call)
	after = func(calls []Call) {
		if _, known := s.blocked[old.ID]; !known && reconfiguration.Blocked() {
			s.blocked[old.ID] = s.now
		}
		s.send(node, calls,
			func(call Call, r Response) { after(reconfiguration.Answer(call, r)) },
			func(call Call) { after(reconfiguration.Fail(call)) })
	}
	after(reconfiguration.Start())
}

// commit writes one reconfiguration that is ready, as the platform's
// compare-and-swap does.
func (s *simulation) commit() {
	for reconfiguration := range s.reconfigurations {
		next, ready := reconfiguration.Ready()
		if !ready {
			continue
		}
		delete(s.reconfigurations, reconfiguration)
		if reconfiguration.old.ID == s.current.ID {
			s.current = next
		}
		return
	}
}

func (s *simulation) claim(node int, key KeyID) {
	s.start(&claimAttempt{key: key, claim: ClaimID(s.newID()), started: s.now, node: node})
}

// start sends a claim to the replicas that its agent knows.
func (s *simulation) start(attempt *claimAttempt) {
	set := s.known[attempt.node]
	round := NewClaimRound(set)
	var calls []Call
	for _, member := range set.Members {
		calls = append(calls, Call{To: member, Request: Request{
			Op: OpClaim, ReplicaSet: set.ID, Key: attempt.key, Claim: attempt.claim,
		}})
	}
	decide := func(d Decision) {
		if d != DecisionPending && !attempt.decided {
			s.handleDecision(attempt, set, d)
		}
	}
	s.send(attempt.node, calls,
		func(call Call, r Response) { decide(round.Answer(call.To.Node, r)) },
		func(call Call) { decide(round.Fail(call.To.Node)) })
}

// handleDecision acts on a decision of a claim round: it runs the request, releases
// the claim, or sends the same claim again under the replica set in force. A claim
// that is too old leads to no run, as in package claims. The test fails if a key
// runs twice within its lifetime.
func (s *simulation) handleDecision(attempt *claimAttempt, set ReplicaSet, d Decision) {
	if s.now.Sub(attempt.started) > RecordLifetime/2 {
		attempt.decided = true
		return
	}
	if d == DecisionReconfiguring && s.rand.IntN(2) == 0 {
		if s.known[attempt.node].ID != s.current.ID {
			s.sync(attempt.node)
			s.start(attempt)
		}
		return
	}
	attempt.decided = true
	if d != DecisionWon {
		s.lostClaims++
		s.settle(attempt, set, OpRelease)
		return
	}
	s.wonClaims++
	if s.rand.IntN(5) == 0 {
		s.settle(attempt, set, OpRelease)
		return
	}
	for _, earlier := range s.runs[attempt.key] {
		if s.now.Sub(earlier) < RecordLifetime {
			s.t.Fatalf("key %x ran twice within %s", attempt.key, s.now.Sub(earlier))
		}
	}
	s.runs[attempt.key] = append(s.runs[attempt.key], attempt.started)
	s.settle(attempt, set, OpOutcome)
}

// settle sends the outcome or the release of a claim to all replicas.
func (s *simulation) settle(attempt *claimAttempt, set ReplicaSet, op Op) {
	for _, member := range set.Members {
		s.send(attempt.node, []Call{{To: member, Request: Request{
			Op: op, ReplicaSet: set.ID, Key: attempt.key, Claim: attempt.claim, State: StateAnswered,
		}}}, func(Call, Response) {}, func(Call) {})
	}
}

// randomAgent returns the index of a random agent.
func (s *simulation) randomAgent() int { return s.rand.IntN(len(s.replicas)) }

// step performs one random event, mostly the delivery of a message.
func (s *simulation) step() {
	if len(s.inFlight) > 0 && s.rand.IntN(10) < 8 {
		i := s.rand.IntN(len(s.inFlight))
		switch s.rand.IntN(40) {
		case 0:
			m := s.inFlight[i]
			s.inFlight = slices.Delete(s.inFlight, i, i+1)
			s.drop(m)
		case 1:
			m := s.inFlight[i]
			s.inFlight = append(s.inFlight, &message{from: m.from, call: m.call, response: m.response})
		default:
			s.deliver(i)
		}
		return
	}
	switch s.rand.IntN(40) {
	case 0:
		if s.rand.IntN(4) == 0 {
			s.replicas[s.randomAgent()] = s.newReplica()
		}
	case 1:
		s.partitioned[s.randomAgent()] = s.rand.IntN(4) == 0
	case 2:
		s.partitioned = make([]bool, len(s.replicas))
	case 3:
		s.now = s.now.Add(time.Duration(1+s.rand.IntN(50)) * time.Second)
	case 4, 5, 6, 7:
		s.reconfigure(s.randomAgent())
	case 8, 9, 10, 11, 12, 13:
		s.commit()
	case 14, 15, 16, 17, 18:
		s.sync(s.randomAgent())
	default:
		s.claim(s.randomAgent(), KeyID{byte(1 + s.rand.IntN(12))})
	}
}

// TestKeyRunsAtMostOnce checks the guarantee of the package under random faults:
// of all attempts to claim a key within its lifetime, at most one runs.
func TestKeyRunsAtMostOnce(t *testing.T) {
	won, epochs, blocked := 0, uint64(0), 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(3000, 10000).Draw(t, "steps") {
			s.step()
		}
		won += s.wonClaims
		epochs += s.current.ID.Epoch
		blocked += len(s.blocked)
	})
	t.Logf("claims won %d, replica sets %d, replica sets that lost their records %d", won, epochs, blocked)
	require.Greater(t, won, 1000, "too few claims were won for a check")
	require.Greater(t, epochs, uint64(200), "too few replica sets for a check")
	require.Greater(t, blocked, 5, "too few losses of records for a check")
}

// TestLateInstallDoesNotFillARestartedReplica covers a late duplicate of an
// install message, which the randomized test reaches too rarely. If it were
// installed after a restart, the replica would lack the claims made since.
func TestLateInstallDoesNotFillARestartedReplica(t *testing.T) {
	id := ReplicaSetID{Epoch: 1}
	install := Request{Op: OpInstall, ReplicaSet: id, Last: true, Incarnation: IncarnationID{1}}
	require.Equal(t, StatusOK, NewReplica(Limits{Records: 1}, IncarnationID{1}).Handle(0, install).Status)
	restarted := NewReplica(Limits{Records: 1}, IncarnationID{2})
	require.Equal(t, StatusNoTable, restarted.Handle(0, install).Status)
	require.Equal(t, StatusNoTable, restarted.Handle(0, Request{Op: OpClaim, ReplicaSet: id}).Status)
}

// TestMergeOfDifferingClaimsHasNoHolder covers two claims of one key, each granted
// by some replicas, when the replica set is replaced. The merged record must belong to
// neither, so that neither claim can win by it later.
func TestMergeOfDifferingClaimsHasNoHolder(t *testing.T) {
	a := Record{Claim: ClaimID{1}, State: StateClaimed, TTL: time.Second}
	b := Record{Claim: ClaimID{2}, State: StateClaimed, TTL: time.Minute}
	for _, merged := range []Record{a.merge(b), b.merge(a)} {
		require.Equal(t, Record{State: StateClaimed, TTL: time.Minute}, merged)
	}
}

// TestChooseSpreadsOverZones guards against two faults: a majority of replicas in one
// zone, whose loss would make every claim fail, and replicas that are replaced without
// need when an agent joins.
func TestChooseSpreadsOverZones(t *testing.T) {
	var agents []Member
	for i := range 7 {
		agents = append(agents, Member{Node: model.NodeID(fmt.Sprint(i)), Zone: model.Zone(fmt.Sprint(i % 3))})
	}
	chosen := ChooseReplicas(ReplicaSet{}, agents)
	perZone := map[model.Zone]int{}
	for _, member := range chosen {
		perZone[member.Zone]++
	}
	require.Len(t, chosen, replicasLarge)
	for zone, replicas := range perZone {
		require.LessOrEqual(t, replicas, 2, "losing zone %s would lose the majority", zone)
	}
	again := ChooseReplicas(ReplicaSet{Members: chosen}, append(agents, Member{Node: "8", Zone: "0"}))
	require.Equal(t, chosen, again, "a new agent replaces no replica")
}

// TestReplicaKeepsTablesOfAllFirstProposals covers a new service all of whose
// agents propose its first replica set at the same time: the replica keeps the
// table of each proposal, whichever comes into force.
func TestReplicaKeepsTablesOfAllFirstProposals(t *testing.T) {
	const proposals = 7
	replica := NewReplica(Limits{Records: 10, AnswerBytes: 1000}, IncarnationID{1})
	id := func(n int) ReplicaSetID { return ReplicaSetID{Epoch: 1, Random: [16]byte{byte(n)}} }
	for n := range proposals {
		response := replica.Handle(0, Request{Op: OpInstall, ReplicaSet: id(n), Incarnation: IncarnationID{1}, Last: true})
		require.Equal(t, StatusOK, response.Status)
	}
	replica.Handle(0, Request{Op: OpNotify, KnownSet: ReplicaSet{ID: id(0), Members: []Member{{Node: "a"}}}})
	response := replica.Handle(0, Request{Op: OpClaim, ReplicaSet: id(0), Key: KeyID{1}, Claim: ClaimID{1}})
	require.NotEqual(t, StatusNoTable, response.Status)
}
