// Package pathtest tests the complete request path in one process: callers, fabric,
// balancers and agents, connected by real sockets on loopback.
package pathtest

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/agent"
	"github.com/balsamlink/balsamlink/internal/balancer"
	"github.com/balsamlink/balsamlink/internal/fabric/proxyv2"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/load"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/standin/fabric"
	"github.com/balsamlink/balsamlink/internal/standin/mtls"
	"github.com/balsamlink/balsamlink/internal/standin/targetapi"
	"github.com/balsamlink/balsamlink/internal/steering"
)

// service has the server name of the test certificate, which callers verify.
const service = model.Service(mtls.ServerName)

var (
	anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")
	sharedKeys      = keys.Shared{Datagram: [32]byte{1}, ConnectionID: [32]byte{2}, Reset: [32]byte{3}}
)

// alwaysFresh is a freshness check for balancers without control plane: their state
// counts as fresh at any time.
type alwaysFresh struct{}

func (alwaysFresh) Fresh(model.Instant) bool { return true }

// stubHandler handles requests in the agent itself, in place of a target. It sends
// the response bodies that package load expects.
type stubHandler struct{}

func (stubHandler) Occupancy() steering.Occupancy {
	return steering.Occupancy{Limit: 8, AcceptsNewFlows: true}
}

func (stubHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nonce := r.Header.Get(targetapi.HeaderNonce)
	size := int64(targetapi.BookingSize)
	switch r.URL.Path {
	case targetapi.PathFile:
		size, _ = strconv.ParseInt(r.URL.Query().Get(targetapi.QuerySize), 10, 64)
	case targetapi.PathFeed:
		blocks, _ := strconv.ParseInt(r.URL.Query().Get(targetapi.QueryBlocks), 10, 64)
		size = blocks * targetapi.BlockSize
	}
	w.Header().Set(targetapi.HeaderNonce, nonce)
	io.Copy(w, targetapi.Body(nonce, size))
}

// path is a running request path. The balancers and agents have no control plane: all
// balancers use the one table of all agents.
type path struct {
	fabric      *fabric.Fabric
	balancers   []*balancer.Forwarder
	agents      []*agent.QUICServer
	authorities *x509.CertPool
	table       *steering.Table
}

// startPath starts a path that stops at the end of the test. The handler serves the
// requests at each agent.
func startPath(t *testing.T, balancers, agents int, handler agent.RequestHandler) *path {
	config, err := mtls.NewConfig()
	require.NoError(t, err)
	p := &path{authorities: config.RootCAs}
	p.fabric, err = fabric.Start(fabric.Config{Listen: anyLoopbackPort, Services: []netip.AddrPort{anyLoopbackPort}, Seed: 1})
	require.NoError(t, err)
	t.Cleanup(p.fabric.Stop)
	for range agents {
		p.agents = append(p.agents, startAgent(t, config.Certificates, handler))
	}
	p.table = newTable(t, p.agents)
	var addresses []netip.AddrPort
	for range balancers {
		forwarder, address := startBalancer(t, p)
		p.balancers = append(p.balancers, forwarder)
		addresses = append(addresses, address)
	}
	p.fabric.SetBalancers(addresses)
	return p
}

func startAgent(t *testing.T, certificates []tls.Certificate, handler agent.RequestHandler) *agent.QUICServer {
	server, err := agent.NewQUICServer(agent.QUICServerConfig{
		DataAddress: anyLoopbackPort, Zone: "a", Service: service, Shared: sharedKeys, Handler: handler,
		TLS: &tls.Config{Certificates: certificates},
	})
	require.NoError(t, err)
	go server.Serve()
	t.Cleanup(func() { server.Close() })
	return server
}

// startBalancer starts a balancer and returns it with the address at which it receives
// the fabric's datagrams.
func startBalancer(t *testing.T, p *path) (*balancer.Forwarder, netip.AddrPort) {
	plugin := &proxyv2.ProxyV2{}
	settings, err := json.Marshal(proxyv2.Settings{Listen: anyLoopbackPort, Fabric: []netip.AddrPort{p.fabric.Addr()}})
	require.NoError(t, err)
	require.NoError(t, plugin.Provision(kernel.Env{}, settings))
	require.NoError(t, plugin.Start(context.Background()))
	forwarder, err := balancer.NewForwarder(balancer.ForwarderConfig{
		Fabric: plugin, DataAddress: anyLoopbackPort, Freshness: alwaysFresh{}, Keys: sharedKeys.DatagramKeys(), Zone: "a",
		Services: map[model.Service]netip.AddrPort{service: p.fabric.Services()[0]},
	})
	require.NoError(t, err)
	forwarder.SetTable(p.table)
	forwarder.Start(2)
	t.Cleanup(func() {
		plugin.Stop()
		forwarder.Stop()
	})
	return forwarder, plugin.Addr()
}

// newTable returns a table in which all agents are running and have equal weights.
func newTable(t *testing.T, agents []*agent.QUICServer) *steering.Table {
	sealer, err := steering.NewSealer(sharedKeys.ConnectionIDKeys())
	require.NoError(t, err)
	input := steering.Input{Services: []model.Service{service}, Sealer: sealer}
	for i, server := range agents {
		input.Targets = append(input.Targets, steering.Target{
			Node: model.NodeID(fmt.Sprintf("agent-%d", i)), Service: service, Zone: "a",
			Agent: server.Addr(), Weight: 8, Running: true,
		})
	}
	return steering.NewTable(input)
}

// loadConfig returns the configuration of a load of 12 callers, four of each kind.
func (p *path) loadConfig() load.Config {
	return load.Config{
		Services:    []load.Service{{Name: service, Address: p.fabric.Services()[0]}},
		Authorities: p.authorities, Feeds: 4, Files: 4, Bookings: 4,
		Duration: 30 * time.Second, MaxRequests: 10, RequestTimeout: 20 * time.Second,
		FileSize: 200_000, FeedBlocks: 50, Seed: 1,
	}
}

// The fabric sprays the datagrams of each flow over all balancers, which share no state
// of the flows. Every request must receive its complete response, and every balancer
// must get datagrams.
func TestRequestsAreServedAcrossSprayingFabric(t *testing.T) {
	p := startPath(t, 4, 3, stubHandler{})
	recorder, err := load.Run(context.Background(), p.loadConfig(), nil)
	require.NoError(t, err)
	requests := recorder.Requests()
	require.Len(t, requests, 12*10)
	for _, request := range requests {
		require.Equal(t, load.ResultAnswered, request.Result, "%+v", request)
	}
	for i, forwarder := range p.balancers {
		require.Positive(t, forwarder.Counters.In.Load(), "balancer %d got no datagrams", i)
	}
}
