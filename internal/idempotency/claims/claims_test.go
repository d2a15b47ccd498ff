package claims

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/idempotency"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/request"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/standin/mtls"
)

// store is a platform with a single key. The methods that aren't defined here
// aren't used.
type store struct {
	platform.Store
	mu    sync.Mutex
	entry platform.Entry
	down  bool
	reads int
	// loseNextAnswer makes the next write take effect while its answer is lost.
	loseNextAnswer bool
}

func (s *store) Get(context.Context, string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return platform.Entry{}, platform.Error.Wrap(platform.ErrUnavailable)
	}
	if s.entry.Version == 0 {
		return platform.Entry{}, platform.Error.Wrap(platform.ErrNotFound)
	}
	return s.entry, nil
}

func (s *store) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *store) Put(_ context.Context, w platform.Write) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, platform.Error.Wrap(platform.ErrUnavailable)
	}
	if w.Expect != s.entry.Version {
		return 0, platform.Error.Wrap(platform.ErrConflict)
	}
	s.entry = platform.Entry{Key: w.Key, Value: w.Value, Version: s.entry.Version + 1}
	if s.loseNextAnswer {
		s.loseNextAnswer = false
		return 0, platform.Error.Wrap(platform.ErrUnknownOutcome)
	}
	return s.entry.Version, nil
}

// service is a set of agents that know each other. It is the directory of each.
type service struct {
	t         *testing.T
	store     *store
	tlsConfig *tls.Config
	mu        sync.Mutex
	members   []idempotency.Member
	managers  map[model.NodeID]*Manager
	servers   map[model.NodeID]*rpc.Server
}

// Members implements Directory.
func (s *service) Members() []idempotency.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

// newService starts agents and waits until they have a replica set.
func newService(t *testing.T, agents int) *service {
	s := &service{t: t, store: &store{}, managers: map[model.NodeID]*Manager{}, servers: map[model.NodeID]*rpc.Server{}}
	var err error
	s.tlsConfig, err = mtls.NewConfig()
	require.NoError(t, err)
	for i := range agents {
		s.start(idempotency.Member{Node: model.NodeID(fmt.Sprint("agent-", i)), Zone: model.Zone(fmt.Sprint("zone-", i%3))}, "127.0.0.1:0")
	}
	s.until(func() bool {
		for _, m := range s.managers {
			if len(m.replicaSet.Load().Members) < min(agents, 3) {
				return false
			}
		}
		return true
	})
	return s
}

// start starts an agent at an address.
func (s *service) start(self idempotency.Member, address string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", address)
	require.NoError(s.t, err)
	self.Control = listener.Addr().(*net.TCPAddr).AddrPort()
	client := rpc.NewClient(s.tlsConfig)
	s.t.Cleanup(client.Close)
	m := New(Config{Self: self, Service: "memberdesk", Store: s.store, Directory: s, Client: client, Log: logrus.NewEntry(log)})
	server := rpc.NewServer(s.tlsConfig, logrus.NewEntry(log))
	m.Register(server)
	server.Serve(listener)
	s.mu.Lock()
	s.members = append(s.members, self)
	s.mu.Unlock()
	s.managers[self.Node], s.servers[self.Node] = m, server
	s.t.Cleanup(func() { server.Close() })
	m.Start()
	s.t.Cleanup(m.Close)
}

// until waits for a condition and fails the test after 20 s.
func (s *service) until(condition func() bool) {
	require.Eventually(s.t, condition, 20*time.Second, 20*time.Millisecond)
}

// remove takes an agent out of the directory.
func (s *service) remove(node model.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m idempotency.Member) bool { return m.Node == node })
}

// kill stops an agent without a drain.
func (s *service) kill(node model.NodeID) {
	s.servers[node].Close()
	s.managers[node].Close()
	s.remove(node)
}

// agentByRole returns an agent that is a replica, or one that is not.
func (s *service) agentByRole(replica bool) *Manager {
	for _, member := range s.Members() {
		if m := s.managers[member.Node]; m.isReplica() == replica {
			return m
		}
	}
	s.t.Fatal("no such agent")
	return nil
}

func key(name string) request.Key {
	return request.Key{Service: "memberdesk", Customer: "c", Key: name}
}

// outcome claims a key and returns what is known of its earlier request, or nil
// when the claim was won. A won claim is released at once. A claim that fails while
// replicas are being replaced is retried: such a failure is allowed, a claim that
// is wrongly won is not.
func (s *service) outcome(m *Manager, name string) *request.DuplicateKeyError {
	var claim request.Claim
	var err error
	s.until(func() bool {
		claim, err = m.Claim(context.Background(), key(name))
		return !errors.Is(err, ErrReconfiguring)
	})
	if err == nil {
		claim.Release()
		return nil
	}
	var duplicate *request.DuplicateKeyError
	require.ErrorAs(s.t, err, &duplicate)
	return duplicate
}

// TestRepeatGetsTheRecordedAnswer checks what a second claim of a key learns at the
// same or another agent while the first request runs, after its answer was recorded,
// and after its claim was released.
func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	s := newService(t, 4)
	for i := range 4 {
		name := fmt.Sprint("key-", i)
		first, other := s.managers["agent-0"], s.managers[model.NodeID(fmt.Sprint("agent-", i))]
		claim, err := first.Claim(context.Background(), key(name))
		require.NoError(t, err)
		require.Equal(t, request.OutcomeInProgress, s.outcome(other, name).Outcome)
		stored := request.StoredResponse{Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("whole")}
		claim.RecordResponse(stored)
		s.until(func() bool { return s.outcome(other, name).Outcome == request.OutcomeAlreadyRun })
		require.Equal(t, stored, s.outcome(first, name).Response)
	}
	claim, err := s.managers["agent-1"].Claim(context.Background(), key("released"))
	require.NoError(t, err)
	claim.Release()
	s.until(func() bool { return s.outcome(s.managers["agent-2"], "released") == nil })
}

// TestKeysSurviveReplicaFailures kills two of five replicas while the platform
// loses the answer to the write of the next replica set. The key that was claimed
// before must stay claimed under that replica set.
func TestKeysSurviveReplicaFailures(t *testing.T) {
	s := newService(t, 5)
	s.until(func() bool { return len(s.managers["agent-0"].replicaSet.Load().Members) == 5 })
	_, err := s.managers["agent-0"].Claim(context.Background(), key("kept"))
	require.NoError(t, err)
	before := s.managers["agent-0"].replicaSet.Load().ID.Epoch
	s.store.mu.Lock()
	s.store.loseNextAnswer = true
	s.store.mu.Unlock()
	for _, node := range []model.NodeID{"agent-3", "agent-4"} {
		s.kill(node)
	}
	require.NotNil(t, s.outcome(s.managers["agent-1"], "kept"), "three of five replicas are left")
	s.until(func() bool {
		set := s.managers["agent-2"].replicaSet.Load()
		return set.ID.Epoch > before && len(set.Members) == 3
	})
	for _, node := range []model.NodeID{"agent-0", "agent-1", "agent-2"} {
		require.Equal(t, request.OutcomeInProgress, s.outcome(s.managers[node], "kept").Outcome)
	}
}

// TestRestartedReplicaIsReinstalled restarts a replica at its address while
// nothing claims a key. It has lost its records and gets them again, which the
// claim at the end needs: one of the other two replicas is down.
func TestRestartedReplicaIsReinstalled(t *testing.T) {
	s := newService(t, 3)
	s.until(func() bool { return len(s.managers["agent-0"].replicaSet.Load().Members) == 3 })
	before := s.managers["agent-0"].replicaSet.Load().ID.Epoch
	self := s.managers["agent-1"].config.Self
	s.kill("agent-1")
	s.start(self, self.Control.String())
	s.until(func() bool { return s.managers["agent-2"].replicaSet.Load().ID.Epoch > before })
	s.kill("agent-0")
	require.Nil(t, s.outcome(s.managers["agent-2"], "needs both"))
}

// TestLeavingReplicaTransfersItsKeys calls Leave on a replica that the directory
// still lists: its successor must know the claimed key.
func TestLeavingReplicaTransfersItsKeys(t *testing.T) {
	s := newService(t, 4)
	s.until(func() bool { return len(s.managers["agent-0"].replicaSet.Load().Members) == 3 })
	leaving, successor := s.agentByRole(true), s.agentByRole(false)
	_, err := leaving.Claim(context.Background(), key("moved"))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, leaving.Leave(ctx), "the directory still lists the agent")
	s.kill(leaving.config.Self.Node)
	s.until(func() bool { return successor.isReplica() })
	require.Equal(t, request.OutcomeInProgress, s.outcome(successor, "moved").Outcome)
}

// TestIsolatedAgentKeepsReplicaSet empties the directory of every agent: agents
// that know no others must not replace replicas that still answer. Each read of the
// platform that it waits for begins an attempt to replace the replica set.
func TestIsolatedAgentKeepsReplicaSet(t *testing.T) {
	s := newService(t, 3)
	s.until(func() bool { return len(s.managers["agent-0"].replicaSet.Load().Members) == 3 })
	before := s.managers["agent-0"].replicaSet.Load()
	s.mu.Lock()
	s.members = nil
	s.mu.Unlock()
	reads := s.store.readCount()
	s.until(func() bool { return s.store.readCount() >= reads+6 })
	require.Equal(t, before.ID, s.managers["agent-0"].replicaSet.Load().ID)
}

// TestMessagesOfOtherServicesAreRejected sends an agent a message that is meant
// for the agent of another service that had its address before.
func TestMessagesOfOtherServicesAreRejected(t *testing.T) {
	s := newService(t, 1)
	m := s.managers["agent-0"]
	before := *m.replicaSet.Load()
	foreign := idempotency.ReplicaSet{ID: idempotency.ReplicaSetID{Epoch: 99}, Members: before.Members}
	for _, sender := range []model.Service{"proofroom", ""} {
		_, err := rpc.Call[idempotency.Request, idempotency.Response](context.Background(), m.config.Client, m.config.Self.Control,
			rpc.MethodClaimKey, idempotency.Request{Op: idempotency.OpNotify, KnownSet: foreign, Service: sender})
		require.ErrorContains(t, err, "serves memberdesk")
	}
	require.Equal(t, before, *m.replicaSet.Load())
}

// TestClaimWithoutMajorityFails checks that a service that lost most replicas at
// once, with the platform down, rejects claims rather than run a key twice.
func TestClaimWithoutMajorityFails(t *testing.T) {
	s := newService(t, 3)
	s.until(func() bool { return len(s.managers["agent-0"].replicaSet.Load().Members) == 3 })
	s.store.mu.Lock()
	s.store.down = true
	s.store.mu.Unlock()
	s.kill("agent-1")
	s.kill("agent-2")
	_, err := s.managers["agent-0"].Claim(context.Background(), key("refused"))
	require.ErrorContains(t, err, "too few homes")
}
