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

	"github.com/balsamlink/balsamlink/internal/booking"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/request"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/standin/mtls"
)

// store is a platform of one key. The methods that aren't here aren't used.
type store struct {
	platform.Store
	mu    sync.Mutex
	entry platform.Entry
	down  bool
	reads int
	// lose makes the next write take effect with a lost answer.
	lose bool
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

func (s *store) count() int {
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
	if s.lose {
		s.lose = false
		return 0, platform.Error.Wrap(platform.ErrUnknownOutcome)
	}
	return s.entry.Version, nil
}

// service is a set of agents that know each other.
type service struct {
	t       *testing.T
	store   *store
	config  *tls.Config
	mu      sync.Mutex
	members []booking.Member
	keepers map[model.NodeID]*Keeper
	servers map[model.NodeID]*rpc.Server
}

func (s *service) Members() []booking.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

func newService(t *testing.T, agents int) *service {
	s := &service{t: t, store: &store{}, keepers: map[model.NodeID]*Keeper{}, servers: map[model.NodeID]*rpc.Server{}}
	var err error
	s.config, err = mtls.NewConfig()
	require.NoError(t, err)
	for i := range agents {
		s.start(booking.Member{Node: model.NodeID(fmt.Sprint("agent-", i)), Zone: model.Zone(fmt.Sprint("zone-", i%3))}, "127.0.0.1:0")
	}
	s.until(func() bool {
		for _, k := range s.keepers {
			if len(k.roster.Load().Members) < min(agents, 3) {
				return false
			}
		}
		return true
	})
	return s
}

// start starts an agent at an address.
func (s *service) start(self booking.Member, address string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", address)
	require.NoError(s.t, err)
	self.Control = listener.Addr().(*net.TCPAddr).AddrPort()
	client := rpc.NewClient(s.config)
	s.t.Cleanup(client.Close)
	k := New(Config{Self: self, Service: "memberdesk", Store: s.store, Directory: s, Client: client, Log: logrus.NewEntry(log)})
	server := rpc.NewServer(s.config, logrus.NewEntry(log))
	k.Register(server)
	server.Serve(listener)
	s.mu.Lock()
	s.members = append(s.members, self)
	s.mu.Unlock()
	s.keepers[self.Node], s.servers[self.Node] = k, server
	s.t.Cleanup(func() { server.Close() })
	k.Start()
	s.t.Cleanup(k.Close)
}

// until waits for a condition that must come true.
func (s *service) until(condition func() bool) {
	require.Eventually(s.t, condition, 20*time.Second, 20*time.Millisecond)
}

func (s *service) remove(node model.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m booking.Member) bool { return m.Node == node })
}

// kill ends an agent at once.
func (s *service) kill(node model.NodeID) {
	s.servers[node].Close()
	s.keepers[node].Close()
	s.remove(node)
}

// home returns an agent that is a home, or one that is none.
func (s *service) home(is bool) *Keeper {
	for _, member := range s.Members() {
		if k := s.keepers[member.Node]; k.isHome() == is {
			return k
		}
	}
	s.t.Fatal("no such agent")
	return nil
}

func key(name string) request.Key {
	return request.Key{Service: "memberdesk", Customer: "c", Key: name}
}

// outcome claims a key and returns what is known of it, nil when the claim was
// won. A claim that is refused while homes are being replaced is made again: such
// a refusal is allowed, a claim that is won wrongly is not.
func (s *service) outcome(k *Keeper, name string) *request.KnownError {
	var claim request.Claim
	var err error
	s.until(func() bool {
		claim, err = k.Claim(context.Background(), key(name))
		return !errors.Is(err, ErrReplacing)
	})
	if err == nil {
		claim.Release()
		return nil
	}
	var known *request.KnownError
	require.ErrorAs(s.t, err, &known)
	return known
}

func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	s := newService(t, 4)
	for i := range 4 {
		name := fmt.Sprint("key-", i)
		first, other := s.keepers["agent-0"], s.keepers[model.NodeID(fmt.Sprint("agent-", i))]
		claim, err := first.Claim(context.Background(), key(name))
		require.NoError(t, err)
		require.Equal(t, request.OutcomeInProgress, s.outcome(other, name).Outcome)
		stored := request.Stored{Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("whole")}
		claim.Answered(stored)
		s.until(func() bool { return s.outcome(other, name).Outcome == request.OutcomeAlreadyRun })
		require.Equal(t, stored, s.outcome(first, name).Answer)
	}
	claim, err := s.keepers["agent-1"].Claim(context.Background(), key("released"))
	require.NoError(t, err)
	claim.Release()
	s.until(func() bool { return s.outcome(s.keepers["agent-2"], "released") == nil })
}

// TestKeysSurviveADeadHome ends a home at once, with a lost answer of the
// platform while it is replaced.
func TestKeysSurviveADeadHome(t *testing.T) {
	s := newService(t, 5)
	s.until(func() bool { return len(s.keepers["agent-0"].roster.Load().Members) == 5 })
	_, err := s.keepers["agent-0"].Claim(context.Background(), key("kept"))
	require.NoError(t, err)
	before := s.keepers["agent-0"].roster.Load().ID.Epoch
	s.store.mu.Lock()
	s.store.lose = true
	s.store.mu.Unlock()
	for _, dead := range []model.NodeID{"agent-3", "agent-4"} {
		s.kill(dead)
	}
	require.NotNil(t, s.outcome(s.keepers["agent-1"], "kept"), "three of five homes are left")
	s.until(func() bool {
		roster := s.keepers["agent-2"].roster.Load()
		return roster.ID.Epoch > before && len(roster.Members) == 3
	})
	for _, node := range []model.NodeID{"agent-0", "agent-1", "agent-2"} {
		require.Equal(t, request.OutcomeInProgress, s.outcome(s.keepers[node], "kept").Outcome)
	}
}

// TestHomeThatLostItsMemoryIsFilledAgain restarts a home on its address while
// nobody claims anything. A claim then needs it.
func TestHomeThatLostItsMemoryIsFilledAgain(t *testing.T) {
	s := newService(t, 3)
	s.until(func() bool { return len(s.keepers["agent-0"].roster.Load().Members) == 3 })
	before := s.keepers["agent-0"].roster.Load().ID.Epoch
	self := s.keepers["agent-1"].config.Self
	s.kill("agent-1")
	s.start(self, self.Control.String())
	s.until(func() bool { return s.keepers["agent-2"].roster.Load().ID.Epoch > before })
	s.kill("agent-0")
	require.Nil(t, s.outcome(s.keepers["agent-2"], "needs both"))
}

func TestLeavingHomeHandsItsKeysOver(t *testing.T) {
	s := newService(t, 4)
	s.until(func() bool { return len(s.keepers["agent-0"].roster.Load().Members) == 3 })
	leaver, guest := s.home(true), s.home(false)
	_, err := leaver.Claim(context.Background(), key("moved"))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, leaver.Leave(ctx), "the others still take it for an active agent")
	s.kill(leaver.config.Self.Node)
	s.until(func() bool { return guest.isHome() })
	require.Equal(t, request.OutcomeInProgress, s.outcome(guest, "moved").Outcome)
}

// TestAgentThatKnowsNobodyReplacesNoHomes hides all agents from each other.
func TestAgentThatKnowsNobodyReplacesNoHomes(t *testing.T) {
	s := newService(t, 3)
	s.until(func() bool { return len(s.keepers["agent-0"].roster.Load().Members) == 3 })
	before := s.keepers["agent-0"].roster.Load()
	s.mu.Lock()
	s.members = nil
	s.mu.Unlock()
	reads := s.store.count()
	s.until(func() bool { return s.store.count() >= reads+6 })
	require.Equal(t, before.ID, s.keepers["agent-0"].roster.Load().ID)
}

// TestAgentOfAnotherServiceIsNoHome sends an agent what an agent of another
// service means for the node that had its address before.
func TestAgentOfAnotherServiceIsNoHome(t *testing.T) {
	s := newService(t, 1)
	k := s.keepers["agent-0"]
	before := *k.roster.Load()
	foreign := booking.Roster{ID: booking.RosterID{Epoch: 99}, Members: before.Members}
	for _, sender := range []model.Service{"proofroom", ""} {
		_, err := rpc.Call[booking.Request, booking.Response](context.Background(), k.config.Client, k.config.Self.Control,
			rpc.MethodClaimKey, booking.Request{Op: booking.OpNotify, Known: foreign, Service: sender})
		require.ErrorContains(t, err, "serves memberdesk")
	}
	require.Equal(t, before, *k.roster.Load())
}

// TestNoMajorityNoClaim checks that a service that lost most homes at once, with
// the platform down, refuses rather than runs a key twice.
func TestNoMajorityNoClaim(t *testing.T) {
	s := newService(t, 3)
	s.until(func() bool { return len(s.keepers["agent-0"].roster.Load().Members) == 3 })
	s.store.mu.Lock()
	s.store.down = true
	s.store.mu.Unlock()
	s.kill("agent-1")
	s.kill("agent-2")
	_, err := s.keepers["agent-0"].Claim(context.Background(), key("refused"))
	require.ErrorContains(t, err, "too few homes")
}
