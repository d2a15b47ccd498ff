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
	// testAgents is the number of agents reported to the owners. It is large, so
	// that the fallback rate of an agent without an owner is small.
	testAgents   = 500
	waitTimeout  = 15 * time.Second
	waitInterval = 20 * time.Millisecond
)

var testShard = ledger.ShardOf(testCustomer)

// testCluster runs several balancers against one in-memory platform.
type testCluster struct {
	t     *testing.T
	store *memoryStore
	tls   *tls.Config

	mu        sync.Mutex
	allowance plan.Allowance
	records   []membership.Record
	balancers map[model.NodeID]*testBalancer
}

// testBalancer is one balancer of a testCluster.
type testBalancer struct {
	owner  *Owner
	server *rpc.Server
}

func newTestCluster(t *testing.T, balancers ...model.NodeID) *testCluster {
	c := &testCluster{
		t: t, store: newMemoryStore(), tls: testTLS(t), balancers: map[model.NodeID]*testBalancer{},
		allowance: plan.Allowance{RequestsPerSecond: 1000, Burst: 1000, InFlight: 100, UnitsPerMonth: 100000},
	}
	for _, node := range balancers {
		c.addBalancer(node)
	}
	return c
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

// Balancers implements the Balancers interfaces of the owners and the agents.
func (c *testCluster) Balancers() []membership.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]membership.Record(nil), c.records...)
}

// Allowance implements ledger.Allowances.
func (c *testCluster) Allowance(customer model.Customer, service model.Service) (plan.Allowance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allowance, customer == testCustomer && service == testService
}

func (c *testCluster) changeAllowance(change func(*plan.Allowance)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.allowance)
}

func (c *testCluster) log(node model.NodeID) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(c.t.Output())
	return log.WithField("node", node)
}

func (c *testCluster) addBalancer(node model.NodeID) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	addr := listener.Addr().(*net.TCPAddr).AddrPort()
	server := rpc.NewServer(c.tls, c.log(node))
	owner := New(Config{
		Store: c.store, RPC: server, Balancers: c, Node: node, Control: addr, Log: c.log(node),
		Allowances: func() ledger.Allowances { return c },
		Agents:     func(model.Service) int { return testAgents },
	})
	c.balancers[node] = &testBalancer{owner: owner, server: server}
	c.mu.Lock()
	c.records = append(c.records, membership.Record{
		Node: node, Role: model.RoleBalancer, State: membership.StateActive, Control: addr,
	})
	c.mu.Unlock()
	server.Serve(listener)
	owner.Start(context.Background())
	c.t.Cleanup(func() { c.kill(node) })
}

// kill stops a balancer at once, without a hand-over.
func (c *testCluster) kill(node model.NodeID) {
	c.balancers[node].owner.stop()
	<-c.balancers[node].owner.done
	c.balancers[node].server.Close()
}

func (c *testCluster) agent(node model.NodeID) *allowance.Client {
	client := rpc.NewClient(c.tls)
	agent := allowance.New(allowance.Config{RPC: client, Balancers: c, Node: node, Log: c.log(node)})
	agent.Start(context.Background())
	c.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		agent.Close(ctx)
		client.Close()
	})
	return agent
}

// serve runs one request and returns the error if it is not admitted.
func serve(agent *allowance.Client) error {
	permit, err := agent.Acquire(context.Background(), testCustomer, testService)
	if err == nil {
		permit.Served()
	}
	return err
}

// serveOne retries until one request is admitted.
func (c *testCluster) serveOne(agent *allowance.Client) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return serve(agent) == nil }, waitTimeout, waitInterval)
}

// ceiling returns the sum of the stored ceilings of the test's shard.
func (c *testCluster) ceiling() uint64 {
	doc, err := ledger.DecodeCeilings(c.store.value(ledger.CeilingsKey(testShard)))
	require.NoError(c.t, err)
	var units uint64
	for _, ceiling := range doc.Ceilings {
		units += ceiling.Units
	}
	return units
}

// total returns the served units in the stored totals of the test's shard.
func (c *testCluster) total() uint64 {
	doc, err := ledger.DecodeMetering(c.store.value(ledger.MeteringKey(testShard)))
	require.NoError(c.t, err)
	var units uint64
	for _, total := range doc.Used {
		units += total.Units
	}
	return units
}

// owner returns the balancer that holds the lease of the test's shard.
func (c *testCluster) owner() model.NodeID {
	var found ownerRecord
	if body := c.store.value(ledger.OwnerKey(testShard)); len(body) > 0 {
		require.NoError(c.t, json.Unmarshal(body, &found))
	}
	return found.Node
}

// TestServedUnitsAreInThePlatformWhenAnAgentLeaves serves 50 requests and ends one
// more as unserved. The stored totals must be exactly 50 as soon as Close returns:
// the call of Served after Unserved must have no effect.
func TestServedUnitsAreInThePlatformWhenAnAgentLeaves(t *testing.T) {
	c := newTestCluster(t, "balancer-1", "balancer-2")
	agent := c.agent("agent-1")
	c.serveOne(agent)
	for range 49 {
		require.NoError(t, serve(agent))
	}
	permit, err := agent.Acquire(context.Background(), testCustomer, testService)
	require.NoError(t, err)
	permit.Unserved()
	permit.Served()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(t, agent.Close(ctx))
	require.Equal(t, uint64(50), c.total())
	_, err = agent.Acquire(context.Background(), testCustomer, testService)
	require.ErrorIs(t, err, allowance.ErrStopped)
}

// Uses up the units of a month and kills the shard owner in between: no more
// units are served than the plan allows, and all served units reach the totals.
func TestKilledOwnerIsReplacedFromThePersistentCeiling(t *testing.T) {
	const units, rate = 1200, 300
	c := newTestCluster(t, "balancer-1", "balancer-2", "balancer-3")
	c.changeAllowance(func(a *plan.Allowance) { a.UnitsPerMonth = units; a.RequestsPerSecond = rate })
	agent := c.agent("agent-1")
	served := uint64(0)
	for served < units/3 {
		served += c.serveCount(agent)
	}
	first := c.owner()
	c.kill(first)
	for end := model.Now().Add(waitTimeout); served < units-rate; served += c.serveCount(agent) {
		require.Less(t, model.Now(), end, "%d units served", served)
	}
	for end := model.Now().Add(2 * time.Second); model.Now() < end; served += c.serveCount(agent) {
		require.LessOrEqual(t, served, uint64(units))
	}
	require.NotEqual(t, first, c.owner())
	require.Eventually(t, func() bool { return c.total() == served }, waitTimeout, waitInterval)
}

// serveCount makes one request and returns the number served, 0 or 1.
func (c *testCluster) serveCount(agent *allowance.Client) uint64 {
	if serve(agent) != nil {
		return 0
	}
	return 1
}

// Stops the owner of a shard gracefully. It must lower the stored ceiling to the units
// granted, because the next owner counts all of a ceiling as granted, and revoke its
// lease, so that the other balancer need not wait until it expires.
func TestGracefulStopReleasesCeilingAndLease(t *testing.T) {
	c := newTestCluster(t, "balancer-1", "balancer-2")
	agent := c.agent("agent-1")
	c.serveOne(agent)
	first := c.owner()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	before := c.ceiling()
	require.NoError(t, c.balancers[first].owner.Stop(ctx))
	require.Less(t, c.ceiling(), before, "the ceiling is lowered to what was granted")
	require.Empty(t, c.store.value(ledger.OwnerKey(testShard)))
	c.serveOne(agent)
	require.NotEqual(t, first, c.owner())
}

// TestPlatformOutageIsBridgedByTheReservedCeiling makes the platform unavailable
// for twice the TTL of a lease. In the second half no lease is valid; more than
// half as many requests must then be served as in the first half. The units served
// during the outage must reach the totals afterwards.
func TestPlatformOutageIsBridgedByTheReservedCeiling(t *testing.T) {
	c := newTestCluster(t, "balancer-1", "balancer-2")
	agent := c.agent("agent-1")
	c.serveOne(agent)
	c.store.setDown(true)
	withLease := c.serveFor(agent, leaseTTL)
	withoutLease := c.serveFor(agent, leaseTTL)
	require.Greater(t, 2*withoutLease, withLease)
	require.Positive(t, metricOf("renewals_failed"))
	c.store.setDown(false)
	served := 1 + withLease + withoutLease
	require.Eventually(t, func() bool { return c.total() == served }, waitTimeout, waitInterval)
}

// serveFor makes requests one after another and returns the number served.
func (c *testCluster) serveFor(agent *allowance.Client, d time.Duration) uint64 {
	served := uint64(0)
	for end := model.Now().Add(d); model.Now() < end; <-time.After(waitInterval) {
		served += c.serveCount(agent)
	}
	return served
}

// TestOwnerPausedPastItsLeaseGrantsNothing blocks the control goroutine of an owner
// until another balancer has taken the shard over. Requests that arrived meanwhile
// must get no grants, since the new owner may have granted the same units.
func TestOwnerPausedPastItsLeaseGrantsNothing(t *testing.T) {
	c := newTestCluster(t, "balancer-1", "balancer-2")
	agent := c.agent("agent-1")
	c.serveOne(agent)
	first := c.owner()
	paused := c.balancers[first].owner
	resume := make(chan struct{})
	paused.events <- func() { <-resume }
	require.Eventually(t, func() bool { return c.owner() != "" && c.owner() != first }, waitTimeout, waitInterval)
	c.serveOne(agent)
	var calls []*call
	for n := range 20 {
		calls = append(calls, newCall(model.NodeID(fmt.Sprintf("late-%d", n)), 100))
		paused.calls <- calls[n]
	}
	close(resume)
	for _, call := range calls {
		answer := <-call.answer
		require.False(t, answer.reply.IsOwner)
		require.Empty(t, answer.reply.Grants)
	}
	c.serveOne(agent)
	require.NotEqual(t, first, c.owner())
}

// newCall returns the first request of an agent that has not found an owner
// yet.
func newCall(node model.NodeID, units uint32) *call {
	want := ledger.SliceRequest{
		Month: ledger.MonthOf(time.Now()), Tokens: units, Units: units, Slots: 1,
		Account: ledger.Account{Customer: testCustomer, Service: testService},
	}
	request := ledger.Request{Shard: testShard, Node: node, Incarnation: 1, Seq: 1, SliceRequests: []ledger.SliceRequest{want}}
	return &call{request: request, deadline: model.Now().Add(parkTimeout), answer: make(chan answer, 1)}
}

// TestLostAnswersOfThePlatformAreSettled loses the answers to writes that took
// effect and fails the read after each of them. The owner must then find out that
// the writes are its own, keep its shards, and count each unit once.
func TestLostAnswersOfThePlatformAreSettled(t *testing.T) {
	c := newTestCluster(t, "balancer-1", "balancer-2")
	c.store.loseAnswers = 5
	agent := c.agent("agent-1")
	c.serveOne(agent)
	lost := metricOf("shards_lost")
	served := uint64(1)
	for range 5 {
		c.store.loseNextAnswers(2)
		for range 20 {
			served += c.serveCount(agent)
		}
		require.Eventually(t, func() bool { return c.total() == served }, waitTimeout, waitInterval)
	}
	require.Equal(t, lost, metricOf("shards_lost"), "no owner loses its shard because of a lost answer")
}

// Lowers the units per month of a plan below those already served. The agent may hold
// units granted under the old plan; it must refuse requests within three seconds and
// serve again after the plan is raised.
func TestLoweredPlanIsInForceWithinThreeSeconds(t *testing.T) {
	c := newTestCluster(t, "balancer-1")
	agent := c.agent("agent-1")
	c.serveOne(agent)
	for range 30 {
		require.NoError(t, serve(agent))
	}
	c.changeAllowance(func(a *plan.Allowance) { a.UnitsPerMonth = 20 })
	lowered := model.Now()
	var refused *allowance.RefusedError
	require.Eventually(t, func() bool { return errors.As(serve(agent), &refused) }, waitTimeout, waitInterval)
	require.Less(t, model.Now().Sub(lowered), 3*time.Second)
	for range 50 {
		require.Error(t, serve(agent))
	}
	require.Equal(t, ledger.ReasonUnits, refused.Reason)
	c.changeAllowance(func(a *plan.Allowance) { a.UnitsPerMonth = 100000 })
	c.serveOne(agent)
}

// Counts platform calls while three balancers own all shards and one customer is
// busy. 112 writes per second are what 16 shards need at most at the intervals of
// this package: 5 of ceilings, one of totals and one lease renewal each.
func TestPlatformCallsStayWithinTheBudget(t *testing.T) {
	c := newTestCluster(t, "balancer-1", "balancer-2", "balancer-3")
	agent := c.agent("agent-1")
	c.serveOne(agent)
	writes, reads := c.store.counts()
	const seconds = 5
	c.serveFor(agent, seconds*time.Second)
	laterWrites, laterReads := c.store.counts()
	writes, reads = laterWrites-writes, laterReads-reads
	t.Logf("%d writes and %d reads in %d s", writes, reads, seconds)
	require.LessOrEqual(t, writes, 112*seconds)
	require.LessOrEqual(t, reads, 200*seconds)
	require.Positive(t, writes)
}

// metricOf returns the value of a counter in metrics, or 0 if it is absent.
func metricOf(name string) int64 {
	if value, ok := metrics.Get(name).(interface{ Value() int64 }); ok {
		return value.Value()
	}
	return 0
}
