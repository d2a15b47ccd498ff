package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/standin/site"
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

// zones are the zones of the site.
var zones = []string{"a", "b"}

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
	hash := site.HashRendezvous
	if config.Seed%2 == 1 {
		hash = site.HashModulo
	}
	running, err := site.Start(site.Shape{
		Zones: zones, Balancers: config.Balancers, Hash: hash, Octet: config.Octet, Gateway: r.gateway,
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
		client, err := r.site.NewClient(zones[n%len(zones)], n/len(zones))
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
	holder := r.site.FlowTarget(f.Key)
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
	case outcome == site.OutcomeTimedOut && holder != nil:
		r.breach("flow %s got no answer while its target holds it", f.Key)
	case outcome == site.OutcomeTimedOut:
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
	if forged := r.site.InvalidPackets(); forged > 0 {
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
