package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/standin/site"
)

// Error is the class of all errors of this package.
var Error = errs.Class("soak")

const (
	// feedService and fileService are the services of the site. feedService, the larger
	// one, has Config.Targets targets and fileService two.
	feedService = "memberdesk"
	fileService = "proofroom"
	// recoveryTime is the time without faults before the site must have recovered:
	// configurations are in force after 3 s, and zones return within 5 s.
	recoveryTime = 5 * time.Second
	// faultSpacing is the minimum time between two faults on one node.
	faultSpacing = time.Second
	// deliveryTime bounds the delivery on loopback of packets that were forwarded before
	// a drain was acknowledged.
	deliveryTime = 50 * time.Millisecond
	// requestPause is the pause between two requests on a flow.
	requestPause = 80 * time.Millisecond
	// responseSize is the size of a response, in bytes.
	responseSize = 3000
	// lossProbability is the probability that a packet of an affected zone is dropped.
	lossProbability = 0.3
	// coldTime is how long targets are cold after their start with Config.Absences, and
	// coldLimit the maximum number of new flows that a cold one may get within a second.
	coldTime  = 2 * time.Second
	coldLimit = 5
	// Each poolSpacing-th client keeps a pool of flows as well, and pauses for up to
	// maxClientPause, which is shorter than the idle timeout of flows.
	poolSpacing    = 2
	maxClientPause = 6 * time.Second
	// linkPort is the port of the links to the store on the VMs' addresses.
	linkPort = 18177
)

// zones are the zones of the site.
var zones = []string{"a", "b"}

// Config describes one run.
type Config struct {
	Seed uint64
	// Duration is the length of the fault phase, in which faults begin.
	Duration time.Duration
	// Targets is the number of targets of the larger service.
	Targets int
	// Balancers is the number of balancers in each zone.
	Balancers int
	// Clients is the number of clients; each holds a flow.
	Clients int
	// Programs is the folder of the executables. Folder receives settings and logs.
	Programs string
	Folder   string
	// Octet is the second octet of the loopback addresses in use.
	Octet byte
	// Absences adds the faults of absenceKinds, targets that are cold after their start, and
	// clients that pause for seconds.
	Absences bool
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64 `json:"seed"`
	Faults   int    `json:"faults"`
	Requests int    `json:"requests"`
	// Resets is the number of requests whose flow was reset.
	Resets int `json:"resets"`
	// Violations describes each violated guarantee.
	Violations []string `json:"broken"`
}

// run is the state of a run.
type run struct {
	config Config
	site   *site.Site
	// links holds the links between VMs and the store, by the address of the VM.
	links map[netip.Addr]*link
	// nodeLocks has a lock for each node, so that its faults don't overlap.
	nodeLocks map[*site.Node]*sync.Mutex
	// nodes holds the nodes that faults are injected into: all but the balancers that
	// KindAddBalancer adds.
	nodes []*site.Node
	// bursts is the number of bursts of new flows so far.
	bursts atomic.Int32
	// activeFaults are the goroutines that inject faults.
	activeFaults sync.WaitGroup

	// mu guards links and report, and serializes configurations.
	mu     sync.Mutex
	report Report
}

// Run runs one seed. Violations are in the report; an error means that the run could
// not be completed. The routers use rendezvous hashing for even seeds and modulo hashing
// for odd ones.
func Run(ctx context.Context, config Config) (Report, error) {
	r := &run{
		config: config, links: map[netip.Addr]*link{}, nodeLocks: map[*site.Node]*sync.Mutex{},
		report: Report{Seed: config.Seed, Violations: []string{}},
	}
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return r.report, Error.Wrap(err)
	}
	hash := site.HashRendezvous
	if config.Seed%2 == 1 {
		hash = site.HashModulo
	}
	warmUp := time.Duration(0)
	if config.Absences {
		warmUp = coldTime
	}
	s, err := site.Start(site.Shape{
		Zones: zones, WarmUp: warmUp, Balancers: config.Balancers, Hash: hash, Octet: config.Octet, Gateway: r.gateway,
		Services: []site.ServiceShape{{Name: feedService, Targets: config.Targets}, {Name: fileService, Targets: 2}},
	}, config.Programs, config.Folder)
	defer r.closeLinks()
	if err != nil {
		return r.report, Error.Wrap(err)
	}
	r.site = s
	defer s.Close()
	for _, service := range []string{"", feedService, fileService} {
		r.nodes = append(r.nodes, s.Nodes(service)...)
	}
	for _, node := range r.nodes {
		r.nodeLocks[node] = &sync.Mutex{}
	}
	return r.report, r.execute(ctx)
}

// gateway starts a link between a VM and the store and returns its address. If that
// fails, the VM uses the store's own address.
func (r *run) gateway(vm netip.Addr, store netip.AddrPort) netip.AddrPort {
	address := netip.AddrPortFrom(vm, linkPort)
	opened, err := newLink(address, store)
	if err != nil {
		r.reportViolation("link of %s: %v", vm, err)
		return store
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[vm] = opened
	return address
}

// linkOf returns the link between a node's VM and the store.
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

// reportViolation adds a violated guarantee to the report.
func (r *run) reportViolation(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, values...))
}

// execute starts the clients, injects the faults, and checks that the site recovers.
func (r *run) execute(ctx context.Context) error {
	clientCtx, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for n := range r.config.Clients {
		client, err := r.site.NewClient(zones[n%len(zones)], n/len(zones))
		if err != nil {
			return Error.Wrap(err)
		}
		clients.Go(func() { r.runClient(clientCtx, client, n) })
		if r.config.Absences && n%poolSpacing == 0 {
			clients.Go(func() { r.runPool(clientCtx, client, n) })
		}
	}
	started := time.Now()
	faults := DrawFaults(r.config.Seed, r.config.Duration)
	if r.config.Absences {
		faults = append(faults, drawAbsences(r.config.Seed, r.config.Duration)...)
		slices.SortFunc(faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	}
	r.report.Faults = len(faults)
	for _, fault := range faults {
		if err := sleep(ctx, time.Until(started.Add(fault.Start))); err != nil {
			break
		}
		r.activeFaults.Go(func() { r.inject(fault) })
	}
	r.activeFaults.Wait()
	r.clearFaults()
	err := sleep(ctx, recoveryTime)
	stop()
	clients.Wait()
	if err != nil {
		return err
	}
	return r.checkRecovered()
}

// sleep waits for a duration; it returns an error if the context is done first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return Error.Wrap(context.Cause(ctx))
	case <-time.After(d):
		return nil
	}
}

// runClient keeps a flow open and sends requests on it until the context is done; n is
// the number of the client. The deadline of a request is longer than the run, so that
// the request waits until it is served or its flow ends.
func (r *run) runClient(ctx context.Context, client *site.Client, n int) {
	var flow *site.Flow
	for i := 0; ctx.Err() == nil; i++ {
		if flow == nil {
			flow = client.Open(r.site.Address(n % 2))
			continue
		}
		outcome := flow.Request(fmt.Sprintf("c%d-%d", n, i), responseSize, []string{feedService, fileService}, r.requestDeadline())
		r.recordOutcome(flow, outcome)
		if outcome != site.OutcomeServed {
			flow.Close()
			flow = nil
		}
		time.Sleep(requestPause)
	}
}

// requestDeadline returns the deadline of requests, which is longer than the run.
func (r *run) requestDeadline() time.Duration {
	deadline := r.config.Duration + 2*recoveryTime
	if r.config.Absences {
		deadline += 2 * maxAbsence
	}
	return deadline
}

// runPool opens flows ahead, pauses before the first request on each and between the next
// ones, and opens new ones in place of those that have ended.
func (r *run) runPool(ctx context.Context, client *site.Client, n int) {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(n)))
	for i := 0; ctx.Err() == nil; i++ {
		flow := client.Open(r.site.Address(n % 2))
		for flow != nil && sleep(ctx, time.Duration(random.Int64N(int64(maxClientPause)))) == nil {
			outcome := flow.Request(fmt.Sprintf("p%d-%d", n, i), responseSize, []string{feedService, fileService}, r.requestDeadline())
			r.recordOutcome(flow, outcome)
			if outcome != site.OutcomeServed {
				break
			}
		}
		if flow != nil {
			flow.Close()
		}
	}
}

// recordOutcome counts a request and checks its outcome: a flow may fail only if its
// target has ended, and must then be reset.
func (r *run) recordOutcome(flow *site.Flow, outcome site.Outcome) {
	target := r.site.FlowTarget(flow.Key)
	r.mu.Lock()
	r.report.Requests++
	if outcome == site.OutcomeReset {
		r.report.Resets++
	}
	r.mu.Unlock()
	switch {
	case outcome == site.OutcomeWrong:
		r.reportViolation("flow %s received a response that does not match its request", flow.Key)
	case outcome == site.OutcomeReset && target != nil:
		r.reportViolation("flow %s was reset while its target holds it", flow.Key)
	case outcome == site.OutcomeTimedOut && target != nil:
		r.reportViolation("flow %s received no response while its target holds it", flow.Key)
	case outcome == site.OutcomeTimedOut && r.config.Absences && r.site.GivenUp(flow.Key):
		// The flow's agent was away for longer than a target retransmits its response. The
		// target drops the flow in silence, and nobody else knows of it.
	case outcome == site.OutcomeTimedOut:
		r.reportViolation("flow %s, whose target has ended, was never reset", flow.Key)
	}
}

// checkRecovered checks, after the recovery time, that new flows to both services are
// served, that no invalid packet was received and that no process has exited.
func (r *run) checkRecovered() error {
	for route, service := range []string{feedService, fileService} {
		// Each number can be used for one client of a zone, and the clients of the run
		// have the lower ones.
		client, err := r.site.NewClient("a", 200+route)
		if err != nil {
			return Error.Wrap(err)
		}
		for n := range 5 {
			flow := client.Open(r.site.Address(route))
			if flow == nil {
				r.reportViolation("no flow to %s opens after the faults have ended", service)
				break
			}
			if outcome := flow.Request(fmt.Sprintf("new%d", n), responseSize, []string{service}, recoveryTime); outcome != site.OutcomeServed {
				r.reportViolation("a request to %s ends with outcome %d after the faults have ended", service, outcome)
			}
			flow.Close()
		}
	}
	if invalid := r.site.InvalidPackets(); invalid > 0 {
		r.reportViolation("%d invalid packets were received", invalid)
	}
	for _, node := range r.nodes {
		if r.site.Ended(node) {
			r.reportViolation("%s exited unexpectedly", node.Name)
		}
	}
	return nil
}

// clearFaults restores the store, network, zones and configuration.
func (r *run) clearFaults() {
	r.site.Store.SetFault(nil)
	r.site.Store.SetWatchesSilent(false)
	r.site.Router.SetPacketLoss(nil)
	for _, link := range r.links {
		link.set(linkOpen)
	}
	for _, zone := range zones {
		r.site.Evacuate(zone, false)
	}
	r.site.Configure(r.site.Routes()...)
}

// folderOf returns the folder of a seed's settings and logs.
func folderOf(folder string, seed uint64) string {
	return filepath.Join(folder, fmt.Sprint("seed-", seed))
}
