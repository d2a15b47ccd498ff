package shardowner

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/allowance"
	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

const (
	testCustomer = model.Customer("lakeside-printers")
	testService  = model.Service("memberdesk")
	// testAgents makes the share of an agent without a keeper small.
	testAgents = 500
	patience   = 15 * time.Second
	pollEvery  = 20 * time.Millisecond
)

var testShard = ledger.ShardOf(testCustomer)

// fleet is a few balancers before one platform in memory.
type fleet struct {
	t     *testing.T
	store *memoryStore
	tls   *tls.Config

	mu        sync.Mutex
	allowed   plan.Allowance
	records   []membership.Record
	balancers map[model.NodeID]*testBalancer
}

type testBalancer struct {
	keeper *Owner
	server *rpc.Server
}

func newFleet(t *testing.T, balancers ...model.NodeID) *fleet {
	f := &fleet{
		t: t, store: newMemoryStore(), tls: testTLS(t), balancers: map[model.NodeID]*testBalancer{},
		allowed: plan.Allowance{RequestsPerSecond: 1000, Burst: 1000, InFlight: 100, UnitsPerMonth: 100000},
	}
	for _, node := range balancers {
		f.addBalancer(node)
	}
	return f
}

func testTLS(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAndVerifyClientCert, ClientCAs: pool, RootCAs: pool, ServerName: "test",
	}
}

// Balancers implements the lists that keepers and agents take.
func (f *fleet) Balancers() []membership.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]membership.Record(nil), f.records...)
}

// Allowance implements ledger.Allowances.
func (f *fleet) Allowance(customer model.Customer, service model.Service) (plan.Allowance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allowed, customer == testCustomer && service == testService
}

func (f *fleet) allow(change func(*plan.Allowance)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.allowed)
}

func (f *fleet) log(node model.NodeID) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(f.t.Output())
	return log.WithField("node", node)
}

func (f *fleet) addBalancer(node model.NodeID) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	addr := listener.Addr().(*net.TCPAddr).AddrPort()
	server := rpc.NewServer(f.tls, f.log(node))
	keeper := New(Config{
		Store: f.store, RPC: server, Balancers: f, Node: node, Control: addr, Log: f.log(node),
		Allowances: func() ledger.Allowances { return f },
		Agents:     func(model.Service) int { return testAgents },
	})
	f.balancers[node] = &testBalancer{keeper: keeper, server: server}
	f.mu.Lock()
	f.records = append(f.records, membership.Record{
		Node: node, Role: model.RoleBalancer, State: membership.StateActive, Control: addr,
	})
	f.mu.Unlock()
	server.Serve(listener)
	keeper.Start(context.Background())
	f.t.Cleanup(func() { f.kill(node) })
}

// kill ends a balancer at once, without any hand-over.
func (f *fleet) kill(node model.NodeID) {
	f.balancers[node].keeper.stop()
	<-f.balancers[node].keeper.done
	f.balancers[node].server.Close()
}

func (f *fleet) agent(node model.NodeID) *allowance.Client {
	client := rpc.NewClient(f.tls)
	agent := allowance.New(allowance.Config{RPC: client, Balancers: f, Node: node, Log: f.log(node)})
	agent.Start(context.Background())
	f.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		agent.Close(ctx)
		client.Close()
	})
	return agent
}

// serve lets one request run and reports whether it was admitted.
func serve(agent *allowance.Client) error {
	permit, err := agent.Acquire(context.Background(), testCustomer, testService)
	if err == nil {
		permit.Served()
	}
	return err
}

// serveOne serves a request as soon as one is admitted.
func (f *fleet) serveOne(agent *allowance.Client) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return serve(agent) == nil }, patience, pollEvery)
}

func (f *fleet) ceiling() uint64 {
	doc, err := ledger.DecodeCeilings(f.store.value(ledger.CeilingsKey(testShard)))
	require.NoError(f.t, err)
	var units uint64
	for _, ceiling := range doc.Ceilings {
		units += ceiling.Units
	}
	return units
}

func (f *fleet) total() uint64 {
	doc, err := ledger.DecodeMetering(f.store.value(ledger.MeteringKey(testShard)))
	require.NoError(f.t, err)
	var units uint64
	for _, total := range doc.Used {
		units += total.Units
	}
	return units
}

// holder returns the balancer that has the lease of the test's shard.
func (f *fleet) holder() model.NodeID {
	var found holder
	if body := f.store.value(ledger.OwnerKey(testShard)); len(body) > 0 {
		require.NoError(f.t, json.Unmarshal(body, &found))
	}
	return found.Node
}

func TestServedUnitsAreInThePlatformWhenAnAgentLeaves(t *testing.T) {
	f := newFleet(t, "balancer-1", "balancer-2")
	agent := f.agent("agent-1")
	f.serveOne(agent)
	for range 49 {
		require.NoError(t, serve(agent))
	}
	permit, err := agent.Acquire(context.Background(), testCustomer, testService)
	require.NoError(t, err)
	permit.Unserved()
	permit.Served()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, agent.Close(ctx))
	require.Equal(t, uint64(50), f.total())
	_, err = agent.Acquire(context.Background(), testCustomer, testService)
	require.ErrorIs(t, err, allowance.ErrStopped)
}

// TestKilledKeeperIsReplacedFromThePersistentCeiling uses a month up, with the
// keeper killed on the way.
func TestKilledKeeperIsReplacedFromThePersistentCeiling(t *testing.T) {
	const units, rate = 1200, 300
	f := newFleet(t, "balancer-1", "balancer-2", "balancer-3")
	f.allow(func(a *plan.Allowance) { a.UnitsPerMonth = units; a.RequestsPerSecond = rate })
	agent := f.agent("agent-1")
	served := uint64(0)
	for served < units/3 {
		served += f.try(agent)
	}
	first := f.holder()
	f.kill(first)
	for end := model.Now().Add(patience); served < units-rate; served += f.try(agent) {
		require.Less(t, model.Now(), end, "%d units served", served)
	}
	for end := model.Now().Add(2 * time.Second); model.Now() < end; served += f.try(agent) {
		require.LessOrEqual(t, served, uint64(units))
	}
	require.NotEqual(t, first, f.holder())
	require.Eventually(t, func() bool { return f.total() == served }, patience, pollEvery)
}

// try serves one request and returns the number served.
func (f *fleet) try(agent *allowance.Client) uint64 {
	if serve(agent) != nil {
		return 0
	}
	return 1
}

func TestGracefulStopStrandsNothing(t *testing.T) {
	f := newFleet(t, "balancer-1", "balancer-2")
	agent := f.agent("agent-1")
	f.serveOne(agent)
	first := f.holder()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	before := f.ceiling()
	require.NoError(t, f.balancers[first].keeper.Stop(ctx))
	require.Less(t, f.ceiling(), before, "the ceiling is lowered to what was granted")
	require.Empty(t, f.store.value(ledger.OwnerKey(testShard)))
	f.serveOne(agent)
	require.NotEqual(t, first, f.holder())
}

func TestPlatformOutageIsBridgedByTheReservedCeiling(t *testing.T) {
	f := newFleet(t, "balancer-1", "balancer-2")
	agent := f.agent("agent-1")
	f.serveOne(agent)
	f.store.setDown(true)
	withLease := f.serveFor(agent, leaseTime)
	withoutLease := f.serveFor(agent, leaseTime)
	require.Greater(t, 2*withoutLease, withLease)
	require.Positive(t, metricOf("renewals_failed"))
	f.store.setDown(false)
	served := 1 + withLease + withoutLease
	require.Eventually(t, func() bool { return f.total() == served }, patience, pollEvery)
}

// serveFor serves requests one after the other and returns how many.
func (f *fleet) serveFor(agent *allowance.Client, d time.Duration) uint64 {
	served := uint64(0)
	for end := model.Now().Add(d); model.Now() < end; <-time.After(pollEvery) {
		served += f.try(agent)
	}
	return served
}

func TestKeeperPausedPastItsLeaseGrantsNothing(t *testing.T) {
	f := newFleet(t, "balancer-1", "balancer-2")
	agent := f.agent("agent-1")
	f.serveOne(agent)
	first := f.holder()
	paused := f.balancers[first].keeper
	resume := make(chan struct{})
	paused.events <- func() { <-resume }
	require.Eventually(t, func() bool { return f.holder() != "" && f.holder() != first }, patience, pollEvery)
	f.serveOne(agent)
	var calls []*call
	for n := range 20 {
		calls = append(calls, askFor(model.NodeID(fmt.Sprintf("late-%d", n)), 100))
		paused.calls <- calls[n]
	}
	close(resume)
	for _, call := range calls {
		answer := <-call.answer
		require.False(t, answer.reply.IsOwner)
		require.Empty(t, answer.reply.Grants)
	}
	f.serveOne(agent)
	require.NotEqual(t, first, f.holder())
}

// askFor is a request of an agent that knows no keeper yet.
func askFor(node model.NodeID, units uint32) *call {
	want := ledger.SliceRequest{
		Month: ledger.MonthOf(time.Now()), Tokens: units, Units: units, Slots: 1,
		Account: ledger.Account{Customer: testCustomer, Service: testService},
	}
	request := ledger.Request{Shard: testShard, Node: node, Incarnation: 1, Seq: 1, SliceRequests: []ledger.SliceRequest{want}}
	return &call{request: request, until: model.Now().Add(parkTime), answer: make(chan answer, 1)}
}

func TestLostAnswersOfThePlatformAreSettled(t *testing.T) {
	f := newFleet(t, "balancer-1", "balancer-2")
	f.store.loseAnswers = 5
	agent := f.agent("agent-1")
	f.serveOne(agent)
	lost := metricOf("shards_lost")
	served := uint64(1)
	for range 5 {
		f.store.lose(2)
		for range 20 {
			served += f.try(agent)
		}
		require.Eventually(t, func() bool { return f.total() == served }, patience, pollEvery)
	}
	require.Equal(t, lost, metricOf("shards_lost"), "a lost answer costs no keeper its shard")
}

func TestLoweredPlanIsInForceWithinThreeSeconds(t *testing.T) {
	f := newFleet(t, "balancer-1")
	agent := f.agent("agent-1")
	f.serveOne(agent)
	for range 30 {
		require.NoError(t, serve(agent))
	}
	f.allow(func(a *plan.Allowance) { a.UnitsPerMonth = 20 })
	lowered := model.Now()
	var refused *allowance.Refused
	require.Eventually(t, func() bool { return errors.As(serve(agent), &refused) }, patience, pollEvery)
	require.Less(t, model.Now().Sub(lowered), 3*time.Second)
	for range 50 {
		require.Error(t, serve(agent))
	}
	require.Equal(t, ledger.ReasonUnits, refused.Reason)
	f.allow(func(a *plan.Allowance) { a.UnitsPerMonth = 100000 })
	f.serveOne(agent)
}

// TestPlatformCallsStayWithinTheBudget lets three balancers keep all shards, with
// one busy customer.
func TestPlatformCallsStayWithinTheBudget(t *testing.T) {
	f := newFleet(t, "balancer-1", "balancer-2", "balancer-3")
	agent := f.agent("agent-1")
	f.serveOne(agent)
	writes, reads := f.store.counts()
	const seconds = 5
	f.serveFor(agent, seconds*time.Second)
	laterWrites, laterReads := f.store.counts()
	writes, reads = laterWrites-writes, laterReads-reads
	t.Logf("%d writes and %d reads in %d s", writes, reads, seconds)
	require.LessOrEqual(t, writes, 112*seconds)
	require.LessOrEqual(t, reads, 200*seconds)
	require.Positive(t, writes)
}

func metricOf(name string) int64 {
	if value, ok := metrics.Get(name).(interface{ Value() int64 }); ok {
		return value.Value()
	}
	return 0
}
