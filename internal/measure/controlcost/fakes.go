package controlcost

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/cluster"
	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

const (
	watchersPerNode = membership.WatcherCount
	zoneCount       = 6
	// slots is the number of slots in the records of all nodes.
	slots = 8
	// fakeAgeMillis is the age of the verification time that the fakes report.
	fakeAgeMillis = 100
	// agentPort is the control port in the records of the fake agents. Nothing listens
	// on it.
	agentPort    = 9
	startTimeout = 10 * time.Second
)

// fleet is the measured balancer and the fake nodes that it communicates with.
type fleet struct {
	size    Size
	random  *rand.Rand
	meter   *meter
	keyring *keys.Keyring
	log     *logrus.Entry
	// self is the record of the measured node; records are those of the fakes, balancers
	// first.
	self    membership.Record
	records []membership.Record
	// node is the measured node.
	node *cluster.Node
	// digest is the digest that the measured node last returned to a fake balancer.
	// The fakes return it, so that they appear to hold the same records.
	digest atomic.Uint64
	// revision is the document revision that the fakes report.
	revision atomic.Uint64

	// ctx is cancelled when the fleet is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// callers are the goroutines that repeat starts.
	callers sync.WaitGroup
	closers []func()
}

func newFleet(ctx context.Context, size Size, seed uint64) (*fleet, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{
		size: size, random: rand.New(rand.NewPCG(seed, uint64(size.Nodes()))), meter: &meter{},
		log: logrus.NewEntry(log),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	if err := f.setUp(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// setUp creates the fakes, starts the fake balancers' servers and then the measured
// node.
func (f *fleet) setUp() error {
	if err := f.makeKeys(); err != nil {
		return err
	}
	// The remaining balancer is the measured node.
	for i := range f.size.Balancers - 1 {
		if err := f.addBalancer(i); err != nil {
			return err
		}
	}
	for i := range f.size.Agents {
		f.addAgent(i)
	}
	return f.startNode()
}

// makeKeys creates the one certificate that all nodes of the fleet use.
func (f *fleet) makeKeys() error {
	folder, err := os.MkdirTemp("", "controlcost-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer os.RemoveAll(folder)
	if err := devcerts.Generate(devcerts.Request{Directory: folder, Nodes: []string{"node"}}); err != nil {
		return Error.Wrap(err)
	}
	f.keyring, err = keys.Load(devcerts.NodeFiles(folder, "node"))
	return Error.Wrap(err)
}

// record returns the record of an active node. An empty service means a balancer.
func (f *fleet) record(name string, service model.Service, control netip.AddrPort) membership.Record {
	return membership.Record{
		Node: model.NodeID(name), Role: membership.RoleOf(service), State: membership.StateActive,
		Incarnation: membership.NewIncarnation(time.Now().UnixMilli(), f.random.Uint64()), Version: 2,
		Zone:    model.Zone(fmt.Sprintf("gauteng-%d", f.random.IntN(zoneCount))),
		Service: service, Control: control, Data: control, Slots: slots,
	}
}

// loopback returns the i-th host address in 127.network.0.0/16.
func loopback(network byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, network, byte(i / 250), byte(1 + i%250)})
}

func (f *fleet) addBalancer(i int) error {
	control, err := f.serve(loopback(1, i), f.fakeServer(), true)
	if err != nil {
		return err
	}
	f.records = append(f.records, f.record(fmt.Sprintf("lb-%04d", i), "", control))
	return nil
}

func (f *fleet) addAgent(i int) {
	service := model.Service(fmt.Sprintf("service-%04d", int(float64(i)/agentsPerService)))
	control := netip.AddrPortFrom(loopback(2, i), agentPort)
	f.records = append(f.records, f.record(fmt.Sprintf("agent-%04d", i), service, control))
}

// serve starts a server on a free port of an address and returns its address. Its
// traffic is counted.
func (f *fleet) serve(addr netip.Addr, server *rpc.Server, fake bool) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(addr, 0).String())
	if err != nil {
		return netip.AddrPort{}, Error.Wrap(err)
	}
	server.Serve(f.meter.listener(listener, fake))
	f.closers = append(f.closers, func() { server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// fakeServer returns a server that answers as a balancer with the same records as
// the measured node.
func (f *fleet) fakeServer() *rpc.Server {
	server := rpc.NewServer(f.keyring.ServerTLS(), f.log)
	server.Handle(rpc.MethodHeartbeat, rpc.TypedHandler(
		func(context.Context, rpc.Peer, cluster.HeartbeatRequest) (cluster.HeartbeatReply, error) {
			return cluster.HeartbeatReply{Ping: f.pingReply(), Digest: f.digest.Load()}, nil
		}))
	server.Handle(rpc.MethodPing, rpc.TypedHandler(
		func(context.Context, rpc.Peer, cluster.PingRequest) (cluster.PingReply, error) {
			return f.pingReply(), nil
		}))
	server.Handle(rpc.MethodSync, rpc.TypedHandler(
		func(context.Context, rpc.Peer, cluster.SyncRequest) (cluster.SyncReply, error) {
			return cluster.SyncReply{}, nil
		}))
	return server
}

// revisions returns the document revisions that the fakes report.
func (f *fleet) revisions() model.Revisions {
	revision := model.Revision(f.revision.Load())
	return model.Revisions{revision, revision, revision}
}

func (f *fleet) pingReply() cluster.PingReply {
	return cluster.PingReply{AgeMillis: fakeAgeMillis, Confirmed: true, Revisions: f.revisions()}
}

// startNode starts the measured node and pushes all records to it.
func (f *fleet) startNode() error {
	server := rpc.NewServer(f.keyring.ServerTLS(), f.log)
	client := rpc.NewClient(f.keyring.ClientTLS())
	listener, err := net.Listen("tcp", netip.AddrPortFrom(loopback(0, 0), 0).String())
	if err != nil {
		return Error.Wrap(err)
	}
	f.self = f.record(f.nameWithChildren(), "", listener.Addr().(*net.TCPAddr).AddrPort())
	f.node, err = cluster.New(cluster.Config{Self: f.self, Client: client, Server: server, Log: f.log})
	if err != nil {
		listener.Close()
		return Error.Wrap(err)
	}
	server.Serve(f.meter.listener(listener, false))
	f.node.Start(f.ctx)
	f.closers = append(f.closers, f.node.Stop, client.Close, func() { server.Close() })
	return f.pushAll()
}

// nameWithChildren returns a node name whose position in the verification tree is
// below the roots and has the full number of children, so that the measurement
// covers requests to the parent and from children. In a fleet too small for such a
// position it returns the first name.
func (f *fleet) nameWithChildren() string {
	// With minBalancers, the first position below the roots has all its children.
	const minBalancers = membership.RootCount + membership.TreeFanout*(membership.RootCount+1)
	for i := 0; ; i++ {
		name := fmt.Sprintf("measured-%04d", i)
		if f.size.Balancers < minBalancers {
			return name
		}
		self := membership.Record{Node: model.NodeID(name), Role: model.RoleBalancer}
		view := &membership.View{Records: append([]membership.Record{self}, f.records...)}
		assignment := membership.NewAssignment(view)
		position, _ := assignment.Position(self.Node)
		if position >= membership.RootCount && len(assignment.Children(position)) == membership.TreeFanout {
			return name
		}
	}
}

// pushAll pushes the records of all fakes and waits until they are in the measured
// node's view.
func (f *fleet) pushAll() error {
	client := rpc.NewClient(f.keyring.ClientTLS())
	defer client.Close()
	for remaining := f.records; len(remaining) > 0; {
		batch := remaining[:min(len(remaining), membership.MaxBatch)]
		remaining = remaining[len(batch):]
		if err := f.push(client, batch); err != nil {
			return err
		}
	}
	return f.await(func() bool { return len(f.node.View().Records) == f.size.Nodes() })
}

// push sends records to the measured node.
func (f *fleet) push(client *rpc.Client, records []membership.Record) error {
	ctx, cancel := context.WithTimeout(f.ctx, startTimeout)
	defer cancel()
	request := cluster.SyncRequest{Push: records}
	_, err := rpc.Call[cluster.SyncRequest, cluster.SyncReply](ctx, client, f.self.Control, rpc.MethodSync, request)
	return Error.Wrap(err)
}

// await polls until a condition holds or startTimeout has passed.
func (f *fleet) await(reached func() bool) error {
	ctx, cancel := context.WithTimeout(f.ctx, startTimeout)
	defer cancel()
	for !reached() {
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

const pollInterval = 20 * time.Millisecond

// pause waits for a duration. It returns an error if the context is done first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// startPeers starts the heartbeats of the nodes that the measured one watches and
// the freshness requests of its children in the verification tree. It returns the
// number of watched nodes.
func (f *fleet) startPeers() int {
	assignment := membership.NewAssignment(f.node.View())
	watched := 0
	for _, record := range f.records {
		if assignment.Watches(f.self.Node, record.Node) {
			watched++
			f.repeat(membership.HeartbeatInterval, f.heartbeat(record))
		}
	}
	position, _ := assignment.Position(f.self.Node)
	for range assignment.Children(position) {
		f.repeat(membership.VerifyInterval, f.requestFreshness)
	}
	return watched
}

// repeat calls a function periodically with a random phase until the fleet is
// closed.
func (f *fleet) repeat(interval time.Duration, call func(*rpc.Client)) {
	client := rpc.NewClient(f.keyring.ClientTLS())
	phase := time.Duration(f.random.Int64N(int64(interval)))
	f.callers.Go(func() {
		defer client.Close()
		if pause(f.ctx, phase) != nil {
			return
		}
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for f.ctx.Err() == nil {
			call(client)
			select {
			case <-ticker.C:
			case <-f.ctx.Done():
			}
		}
	})
}

// heartbeat returns a function that sends a heartbeat of a fake to the measured node.
func (f *fleet) heartbeat(record membership.Record) func(*rpc.Client) {
	request := cluster.HeartbeatRequest{Node: record.Node, Incarnation: record.Incarnation, Version: record.Version}
	return func(client *rpc.Client) {
		ctx, cancel := context.WithTimeout(f.ctx, membership.HeartbeatInterval)
		defer cancel()
		request.Revisions = f.revisions()
		reply, err := rpc.Call[cluster.HeartbeatRequest, cluster.HeartbeatReply](
			ctx, client, f.self.Control, rpc.MethodHeartbeat, request)
		if err == nil && record.Role == model.RoleBalancer {
			f.digest.Store(reply.Digest)
		}
	}
}

// requestFreshness asks the measured node for its freshness, as a child in the
// verification tree does.
func (f *fleet) requestFreshness(client *rpc.Client) {
	ctx, cancel := context.WithTimeout(f.ctx, membership.VerifyInterval)
	defer cancel()
	request := cluster.PingRequest{Revisions: f.revisions()}
	_, err := rpc.Call[cluster.PingRequest, cluster.PingReply](ctx, client, f.self.Control, rpc.MethodPing, request)
	if err != nil {
		f.log.WithError(err).Debug("event=ask_failed")
	}
}

func (f *fleet) close() {
	f.cancel()
	f.callers.Wait()
	for _, closer := range f.closers {
		closer()
	}
}
