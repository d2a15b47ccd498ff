// Package peer hands requests over to other agents of the service, over
// HTTP/1.1 with mutual TLS, and keeps a rough picture of their loads. Each of
// them decides by its own exact counts whether it takes a request.
package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/httponce"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/request"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("peer")

const (
	dialTimeout = time.Second
	// pollInterval is the time between two exchanges of loads, and pollCount
	// the number of agents that are asked in each.
	pollInterval = 2 * time.Second
	pollCount    = 4
	pollTimeout  = time.Second
	// staleAfter is how long a load is believed.
	staleAfter = 10 * time.Second
	// refusedFor is how long an agent is left alone that refused a request.
	refusedFor = 200 * time.Millisecond
)

// Agent is another agent of the service.
type Agent struct {
	Node  model.NodeID
	Relay netip.AddrPort
}

// Directory knows the other agents of the service that take work.
type Directory interface {
	Agents() []Agent
}

// Pool implements request.Peers. All methods are safe for concurrent use.
type Pool struct {
	directory Directory
	client    *httponce.Client

	mu    sync.Mutex
	views map[model.NodeID]*view
}

// view is what is known of an agent.
type view struct {
	load request.Load
	// given is the number of requests handed over since the load was heard.
	given      int
	heard      time.Time
	leaveUntil time.Time
}

// New makes a pool that presents and checks certificates as the TLS
// configuration says.
func New(directory Directory, config *tls.Config) *Pool {
	config = config.Clone()
	config.NextProtos = []string{"http/1.1"}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		dialer := tls.Dialer{Config: config}
		return dialer.DialContext(ctx, network, address)
	}
	return &Pool{directory: directory, client: httponce.New(dial), views: map[model.NodeID]*view{}}
}

// Run exchanges loads until the context ends.
func (p *Pool) Run(ctx context.Context) {
	defer p.client.Close()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Pool) poll(ctx context.Context) {
	agents := p.directory.Agents()
	p.forgetAllBut(agents)
	rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	var asking sync.WaitGroup
	for _, agent := range agents[:min(len(agents), pollCount)] {
		asking.Go(func() { p.ask(ctx, agent) })
	}
	asking.Wait()
}

func (p *Pool) ask(ctx context.Context, agent Agent) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	ask, err := http.NewRequest(http.MethodGet, "http://"+agent.Relay.String()+request.PathLoad, nil)
	if err != nil {
		return
	}
	response, err := p.client.Do(ctx, agent.Relay.String(), ask)
	if err != nil {
		p.leave(agent.Node, staleAfter)
		return
	}
	response.Body.Close()
	p.hear(agent.Node, response.Header)
}

func (p *Pool) forgetAllBut(agents []Agent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for node := range p.views {
		if !slices.ContainsFunc(agents, func(a Agent) bool { return a.Node == node }) {
			delete(p.views, node)
		}
	}
}

func (p *Pool) view(node model.NodeID) *view {
	v := p.views[node]
	if v == nil {
		v = &view{}
		p.views[node] = v
	}
	return v
}

func (p *Pool) hear(node model.NodeID, header http.Header) {
	load, err := request.ParseLoad(header)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.view(node)
	v.load, v.given, v.heard = load, 0, time.Now()
}

func (p *Pool) leave(node model.NodeID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.view(node)
	v.leaveUntil, v.given = time.Now().Add(d), 0
}

// free returns how many requests an agent seems to have room for. One that
// nothing is known of may be tried with one.
func (v *view) free(now time.Time) int {
	switch {
	case now.Before(v.leaveUntil) || v.load.Draining:
		return 0
	case now.Sub(v.heard) > staleAfter:
		return 1 - v.given
	default:
		return v.load.Limit - v.load.InFlight - v.load.Queued - v.given
	}
}

// Pick implements request.Peers. Of two agents drawn at random from those that
// seem to have room it takes the one with more.
func (p *Pool) Pick(tried []model.NodeID) (request.Peer, bool) {
	agents := p.directory.Agents()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	free := map[model.NodeID]int{}
	agents = slices.DeleteFunc(slices.Clone(agents), func(a Agent) bool {
		free[a.Node] = p.view(a.Node).free(now)
		return free[a.Node] < 1 || slices.Contains(tried, a.Node)
	})
	if len(agents) == 0 {
		return nil, false
	}
	rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	best := slices.MaxFunc(agents[:min(len(agents), 2)], func(a, b Agent) int {
		return cmp.Compare(free[a.Node], free[b.Node])
	})
	p.view(best.Node).given++
	return &picked{pool: p, agent: best}, true
}

// picked implements request.Peer.
type picked struct {
	pool  *Pool
	agent Agent
}

// Node implements request.Peer.
func (p *picked) Node() model.NodeID { return p.agent.Node }

// Offer implements request.Peer.
func (p *picked) Offer(ctx context.Context, handed *http.Request) (*http.Response, error) {
	response, err := p.pool.client.Do(ctx, p.agent.Relay.String(), handed)
	if err != nil {
		p.pool.leave(p.agent.Node, refusedFor)
		return nil, Error.Wrap(err)
	}
	p.pool.hear(p.agent.Node, response.Header)
	answered, sent := request.OfferedByPeer(response.Header)
	if answered {
		return response, nil
	}
	response.Body.Close()
	p.pool.leave(p.agent.Node, refusedFor)
	cause := Error.New("%s: %s", p.agent.Node, response.Status)
	return nil, Error.Wrap(&httponce.Failure{MaybeSent: sent, Cause: cause})
}
