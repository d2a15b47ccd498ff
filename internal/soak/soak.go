package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/standin/site"
	"github.com/balsamlink/balsamlink/platform/wire"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("soak")

const (
	feed  = "memberdesk"
	files = "proofroom"
	// calmTime is how long nothing fails before all must be well: configurations are
	// in force after 3 s, and zones return within 5 s.
	calmTime = 5 * time.Second
	// restTime is the pause between two faults on one node.
	restTime = time.Second
	// inFlight is how long a packet may be on its way on loopback that was let
	// through before an acknowledgement.
	inFlight = 50 * time.Millisecond
	// requestPause is the pause between two requests on a flow.
	requestPause = 80 * time.Millisecond
	// answerSize is the size of an answer, in bytes.
	answerSize = 3000
	// lossShare is the share of datagrams that a lossy network loses.
	lossShare = 0.3
	storePort = 18177
)

// Config is one run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Targets is the number of targets of the larger service.
	Targets int
	// Balancers is the number of balancers in each zone.
	Balancers int
	// Clients is the number of clients; each holds a flow.
	Clients  int
	Programs string
	Folder   string
	// Octet is the second octet of the loopback addresses in use.
	Octet byte
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64   `json:"seed"`
	Faults   int      `json:"faults"`
	Requests int      `json:"requests"`
	Resets   int      `json:"resets"`
	Broken   []string `json:"broken"`
}

// run is the state of a run.
type run struct {
	config Config
	site   *site.Site
	links  map[netip.Addr]*link
	// busy has a lock for each node, so that its faults follow each other.
	busy    map[*site.Node]*sync.Mutex
	nodes   []*site.Node
	running sync.WaitGroup

	mu     sync.Mutex
	report Report
}

// Run plays one seed.
func Run(ctx context.Context, config Config) (Report, error) {
	r := &run{
		config: config, links: map[netip.Addr]*link{}, busy: map[*site.Node]*sync.Mutex{},
		report: Report{Seed: config.Seed, Broken: []string{}},
	}
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return r.report, Error.Wrap(err)
	}
	hash := site.HashSteady
	if config.Seed%2 == 1 {
		hash = site.HashMod
	}
	running, err := site.Start(site.Shape{
		Zones: []string{"a", "b"}, Balancers: config.Balancers, Hash: hash, Octet: config.Octet, Gateway: r.gateway,
		Services: []site.ServiceShape{{Name: feed, Targets: config.Targets}, {Name: files, Targets: 2}},
	}, config.Programs, config.Folder)
	defer r.closeLinks()
	if err != nil {
		return r.report, Error.Wrap(err)
	}
	r.site = running
	defer running.Close()
	for _, service := range []string{"", feed, files} {
		r.nodes = append(r.nodes, running.Nodes(service)...)
	}
	for _, node := range r.nodes {
		r.busy[node] = &sync.Mutex{}
	}
	return r.report, r.play(ctx)
}

// gateway puts a link between a VM and the store.
func (r *run) gateway(vm netip.Addr, store netip.AddrPort) netip.AddrPort {
	address := netip.AddrPortFrom(vm, storePort)
	opened, err := newLink(address, store)
	if err != nil {
		r.breach("link of %s: %v", vm, err)
		return store
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[vm] = opened
	return address
}

func (r *run) linkOf(node *site.Node) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[node.VM()]
}

func (r *run) closeLinks() {
	for _, link := range r.links {
		link.close()
	}
}

// breach notes a broken promise.
func (r *run) breach(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Broken = append(r.report.Broken, fmt.Sprintf(format, values...))
}

func (r *run) play(ctx context.Context) error {
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for n := range r.config.Clients {
		client, err := r.site.NewClient([]string{"a", "b"}[n%2], n/2)
		if err != nil {
			return Error.Wrap(err)
		}
		clients.Go(func() { r.serve(serving, client, n) })
	}
	begun := time.Now()
	plan := Plan(r.config.Seed, r.config.Duration)
	r.report.Faults = len(plan)
	for _, fault := range plan {
		if err := pause(ctx, time.Until(begun.Add(fault.At))); err != nil {
			break
		}
		r.running.Go(func() { r.cause(fault) })
	}
	r.running.Wait()
	r.heal()
	err := pause(ctx, calmTime)
	stop()
	clients.Wait()
	if err != nil {
		return err
	}
	return r.check()
}

// pause waits unless the run is called off.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return Error.Wrap(context.Cause(ctx))
	case <-time.After(d):
		return nil
	}
}

// serve holds a flow and sends requests on it until the run ends. A request waits
// for as long as its flow lives.
func (r *run) serve(ctx context.Context, client *site.Client, n int) {
	var held *site.Flow
	for i := 0; ctx.Err() == nil; i++ {
		if held == nil {
			held = client.Open(r.site.Address(n % 2))
			continue
		}
		outcome := held.Request(fmt.Sprintf("c%d-%d", n, i), answerSize, []string{feed, files}, r.config.Duration+2*calmTime)
		r.note(held, outcome)
		if outcome != site.OutcomeServed {
			held.Close()
			held = nil
		}
		time.Sleep(requestPause)
	}
}

// note counts a request. A flow may end only with its target.
func (r *run) note(f *site.Flow, outcome site.Outcome) {
	holder := r.site.Holder(f.Key)
	r.mu.Lock()
	r.report.Requests++
	if outcome == site.OutcomeReset {
		r.report.Resets++
	}
	r.mu.Unlock()
	switch {
	case outcome == site.OutcomeWrong:
		r.breach("flow %s got another answer than its own", f.Key)
	case outcome == site.OutcomeReset && holder != nil:
		r.breach("flow %s was reset while its target holds it", f.Key)
	case outcome == site.OutcomeLate && holder != nil:
		r.breach("flow %s got no answer while its target holds it", f.Key)
	case outcome == site.OutcomeLate:
		r.breach("flow %s, whose target has ended, was never reset", f.Key)
	}
}

// check looks whether all is well once nothing fails any more.
func (r *run) check() error {
	for service, name := range []string{feed, files} {
		client, err := r.site.NewClient("a", 200+service)
		if err != nil {
			return Error.Wrap(err)
		}
		for n := range 5 {
			f := client.Open(r.site.Address(service))
			if f == nil {
				r.breach("no flow to %s opens after all faults", name)
				break
			}
			if outcome := f.Request(fmt.Sprintf("new%d", n), answerSize, []string{name}, calmTime); outcome != site.OutcomeServed {
				r.breach("a request to %s ends with outcome %d after all faults", name, outcome)
			}
			f.Close()
		}
	}
	if forged := r.site.Forged(); forged > 0 {
		r.breach("%d packets were not as their sender wrote them", forged)
	}
	for _, node := range r.nodes {
		if r.site.Ended(node) {
			r.breach("%s has ended by itself", node.Name)
		}
	}
	return nil
}

// heal ends what lasts.
func (r *run) heal() {
	r.site.Store.SetFault(nil)
	r.site.Store.SetDeaf(false)
	r.site.Router.SetLoss(nil)
	for _, link := range r.links {
		link.set(linkOpen)
	}
	for _, zone := range []string{"a", "b"} {
		r.site.Evacuate(zone, false)
	}
	r.site.Configure(r.site.Routes()...)
}

// cause lets a fault happen, and ends it.
func (r *run) cause(fault Fault) {
	node := r.nodes[fault.On%len(r.nodes)]
	agents := append(r.site.Nodes(feed), r.site.Nodes(files)...)
	agent := agents[fault.On%len(agents)]
	zone := []string{"a", "b"}[fault.On%2]
	switch fault.Kind {
	case KindKill:
		r.with(node, func() { r.restart(node, syscall.SIGKILL, fault.For) })
	case KindKillAll:
		r.killAll(fault.For)
	case KindTerm:
		r.with(node, func() { r.restart(node, syscall.SIGTERM, fault.For) })
	case KindFreeze:
		r.with(node, func() { r.freeze(node, fault.For) })
	case KindCrash:
		r.with(agent, func() { r.replace(agent, 0, fault.For, r.site.Target(agent).Crash) })
	case KindClock:
		ahead := time.Duration(fault.How%3-1) * time.Hour
		r.with(agent, func() { r.replace(agent, ahead, fault.For, r.site.Target(agent).Crash) })
	case KindDrain:
		r.with(agent, func() { r.drain(agent, fault.For) })
	case KindEvacuate:
		r.site.Evacuate(zone, true)
		time.Sleep(fault.For)
		r.site.Evacuate(zone, false)
	case KindConfigure:
		r.configure(wire.Backend{Service: files, Weight: 1}, wire.Backend{Service: feed, Weight: float64(fault.How % 2)})
		time.Sleep(fault.For)
		r.configure(wire.Backend{Service: feed, Weight: 1})
	case KindStore:
		r.failStore(fault)
	case KindLapse:
		r.site.Store.Lapse()
	case KindDeaf:
		r.site.Store.SetDeaf(true)
		r.site.Store.Compact()
		time.Sleep(fault.For)
		r.site.Store.SetDeaf(false)
	case KindLink:
		link := r.linkOf(node)
		link.set(linkMode(1 + fault.How%int(linkModes-1)))
		time.Sleep(2 * fault.For)
		link.set(linkOpen)
	case KindLoss:
		r.site.Router.SetLoss(func(at string) bool { return at == zone && rand.Float64() < lossShare })
		time.Sleep(fault.For)
		r.site.Router.SetLoss(nil)
	case KindAdd:
		if _, err := r.site.AddBalancer(zone); err != nil {
			r.breach("a new balancer does not start: %v", err)
		}
	}
}

// with lets a fault happen on a node on its own, and lets the node rest.
func (r *run) with(node *site.Node, cause func()) {
	r.busy[node].Lock()
	defer r.busy[node].Unlock()
	cause()
	time.Sleep(restTime)
}

// restart ends a process and starts it again.
func (r *run) restart(node *site.Node, signal syscall.Signal, pause time.Duration) {
	told := time.Now()
	err := r.site.End(node, signal)
	if signal == syscall.SIGTERM && !graceful(err, time.Since(told)) {
		r.breach("%s does not end gracefully: %v after %s", node.Name, err, time.Since(told))
	}
	if node.Service() != "" {
		pause = pause / 2
	}
	time.Sleep(pause)
	r.start(node)
}

// graceful reports whether a process that was told to end did so in time. A
// balancer may cut its drain short: while few balancers of a zone are ready, the
// fabric sends to those that drain as well.
func graceful(err error, took time.Duration) bool {
	var exit *exec.ExitError
	cut := errors.As(err, &exit) && exit.ExitCode() == kernel.ExitDrainCutShort
	return (err == nil || cut) && took <= site.Grace
}

func (r *run) start(node *site.Node) {
	if err := r.site.StartNode(node); err != nil {
		r.breach("%s does not start: %v", node.Name, err)
	}
}

// killAll ends all processes at once.
func (r *run) killAll(pause time.Duration) {
	for _, node := range r.nodes {
		r.busy[node].Lock()
		defer r.busy[node].Unlock()
	}
	for _, node := range r.nodes {
		if err := r.site.Signal(node, syscall.SIGKILL); err != nil {
			r.breach("%s had ended: %v", node.Name, err)
		}
	}
	time.Sleep(pause)
	for _, node := range r.nodes {
		// A killed process always returns an error.
		_ = r.site.Wait(node)
		r.start(node)
	}
	time.Sleep(restTime)
}

func (r *run) freeze(node *site.Node, pause time.Duration) {
	if err := r.site.Signal(node, syscall.SIGSTOP); err != nil {
		r.breach("%s had ended: %v", node.Name, err)
	}
	time.Sleep(pause)
	if err := r.site.Signal(node, syscall.SIGCONT); err != nil {
		r.breach("%s had ended: %v", node.Name, err)
	}
}

// replace ends an agent's target and starts a new one.
func (r *run) replace(agent *site.Node, ahead, pause time.Duration, end func()) {
	end()
	time.Sleep(pause)
	if err := r.site.StartTargetAhead(agent, ahead); err != nil {
		r.breach("target of %s does not start: %v", agent.Name, err)
	}
}

// drain has a target say that it leaves. Once that is acknowledged, no new flow
// reaches it.
func (r *run) drain(agent *site.Node, pause time.Duration) {
	target := r.site.Target(agent)
	target.Drain()
	time.Sleep(inFlight)
	offered := target.Seen().Offered
	time.Sleep(pause)
	if more := target.Seen().Offered; more > offered {
		r.breach("%d flows were offered to the target of %s after it was drained", more-offered, agent.Name)
	}
	r.replace(agent, 0, 0, target.Leave)
}

func (r *run) configure(backends ...wire.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.site.Configure(r.site.Route(0, backends...), r.site.Route(1, wire.Backend{Service: files, Weight: 1}))
}

// failStore has the store fail in one way, for all callers.
func (r *run) failStore(fault Fault) {
	ways := []site.Fault{site.FaultBusy, site.FaultMany, site.FaultReset, site.FaultSilent, site.FaultLost}
	way := ways[fault.How%len(ways)]
	r.site.Store.SetFault(func(net.IP, bool) site.Fault { return way })
	time.Sleep(2 * fault.For)
	r.site.Store.SetFault(nil)
}

// folderOf returns the folder of a seed's settings and logs.
func folderOf(folder string, seed uint64) string {
	return filepath.Join(folder, fmt.Sprint("seed-", seed))
}
