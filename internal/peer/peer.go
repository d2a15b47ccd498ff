// Package peer hands requests over to other agents of the same service, over
// HTTP/1.1 with mutual TLS, and tracks the approximate load of each. The receiving
// agent decides by its own exact counts whether it accepts a request.
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

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

const (
	dialTimeout = time.Second
	// pollInterval is the interval between two load queries, and pollCount the
	// number of agents queried each time.
	pollInterval = 2 * time.Second
	pollCount    = 4
	pollTimeout  = time.Second
	// staleAfter is the maximum age of a load that is used to choose an agent, and
	// how long an agent is avoided after a failed load query.
	staleAfter = 10 * time.Second
	// refusalPause is how long an agent is avoided after a failed or refused
	// handover.
	refusalPause = 200 * time.Millisecond
)

// Agent is another agent of the service.
type Agent struct {
	Node model.NodeID
	// Relay is the TCP address at which the agent accepts handed-over requests.
	Relay netip.AddrPort
}

// Directory lists the other agents of the service that accept work. It must be
// safe for concurrent use.
type Directory interface {
	// Agents returns a slice that the caller may reorder.
	Agents() []Agent
}

// Pool implements request.Peers. It tracks the load of the agents of a Directory.
// All methods are safe for concurrent use.
type Pool struct {
	directory Directory
	client    *httponce.Client

	mu     sync.Mutex
	states map[model.NodeID]*agentState
}

// agentState is the last known load of an agent. The agent is not picked before
// avoidUntil.
type agentState struct {
	load request.Load
	// handedOver is the number of requests handed over since the load was
	// received.
	handedOver int
	loadAt     time.Time
	avoidUntil time.Time
}

// New returns a pool that presents and verifies certificates according to the
// TLS configuration.
func New(directory Directory, config *tls.Config) *Pool {
	config = config.Clone()
	config.NextProtos = []string{"http/1.1"}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		dialer := tls.Dialer{Config: config}
		return dialer.DialContext(ctx, network, address)
	}
	return &Pool{directory: directory, client: httponce.NewPooled(dial), states: map[model.NodeID]*agentState{}}
}

// Run queries loads every pollInterval until the context is done, and then closes
// the idle connections.
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
	p.keepOnly(agents)
	rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	var queries sync.WaitGroup
	for _, agent := range agents[:min(len(agents), pollCount)] {
		queries.Go(func() { p.fetchLoad(ctx, agent) })
	}
	queries.Wait()
}

func (p *Pool) fetchLoad(ctx context.Context, agent Agent) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	query, err := http.NewRequest(http.MethodGet, "http://"+agent.Relay.String()+request.PathLoad, nil)
	if err != nil {
		return
	}
	response, err := p.client.Do(ctx, agent.Relay.String(), query)
	if err != nil {
		p.avoid(agent.Node, staleAfter)
		return
	}
	response.Body.Close()
	p.recordLoad(agent.Node, response.Header)
}

// keepOnly drops the states of all other agents.
func (p *Pool) keepOnly(agents []Agent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for node := range p.states {
		if !slices.ContainsFunc(agents, func(a Agent) bool { return a.Node == node }) {
			delete(p.states, node)
		}
	}
}

// state returns the state of an agent and adds it if there is none. The caller
// holds p.mu.
func (p *Pool) state(node model.NodeID) *agentState {
	s := p.states[node]
	if s == nil {
		s = &agentState{}
		p.states[node] = s
	}
	return s
}

func (p *Pool) recordLoad(node model.NodeID, header http.Header) {
	load, err := request.ParseLoad(header)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(node)
	s.load, s.handedOver, s.loadAt = load, 0, time.Now()
}

// avoid makes Pick skip an agent for a duration.
func (p *Pool) avoid(node model.NodeID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(node)
	s.avoidUntil, s.handedOver = time.Now().Add(d), 0
}

// immediateCapacity returns an estimate of the number of requests that an agent
// can start without queueing. An agent without a recent load may be tried with
// one request.
func (s *agentState) immediateCapacity(now time.Time) int {
	switch {
	case now.Before(s.avoidUntil) || s.load.Draining:
		return 0
	case now.Sub(s.loadAt) > staleAfter:
		return 1 - s.handedOver
	default:
		return s.load.Limit - s.load.InFlight - s.load.Queued - s.handedOver
	}
}

// Pick implements request.Peers. It draws two random agents that seem to have
// immediate capacity and have not been tried, and returns the one with more
// capacity. It returns false if there is no such agent.
func (p *Pool) Pick(tried []model.NodeID) (request.Peer, bool) {
	agents := p.directory.Agents()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	capacity := map[model.NodeID]int{}
	agents = slices.DeleteFunc(slices.Clone(agents), func(a Agent) bool {
		capacity[a.Node] = p.state(a.Node).immediateCapacity(now)
		return capacity[a.Node] < 1 || slices.Contains(tried, a.Node)
	})
	if len(agents) == 0 {
		return nil, false
	}
	rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	best := slices.MaxFunc(agents[:min(len(agents), 2)], func(a, b Agent) int {
		return cmp.Compare(capacity[a.Node], capacity[b.Node])
	})
	p.state(best.Node).handedOver++
	return &pickedPeer{pool: p, agent: best}, true
}

// pickedPeer implements request.Peer.
type pickedPeer struct {
	pool  *Pool
	agent Agent
}

// Node implements request.Peer.
func (p *pickedPeer) Node() model.NodeID { return p.agent.Node }

// HandOver implements request.Peer. Unless the peer reports that its target
// answered, the error wraps an httponce.Failure whose MaybeSent field reports
// whether that target may have run the request.
func (p *pickedPeer) HandOver(ctx context.Context, outgoing *http.Request) (*http.Response, error) {
	response, err := p.pool.client.Do(ctx, p.agent.Relay.String(), outgoing)
	if err != nil {
		p.pool.avoid(p.agent.Node, refusalPause)
		return nil, Error.Wrap(err)
	}
	p.pool.recordLoad(p.agent.Node, response.Header)
	answered, maybeSent := request.ParseHandoverResult(response.Header)
	if answered {
		return response, nil
	}
	response.Body.Close()
	p.pool.avoid(p.agent.Node, refusalPause)
	cause := Error.New("%s: %s", p.agent.Node, response.Status)
	return nil, Error.Wrap(&httponce.Failure{MaybeSent: maybeSent, Cause: cause})
}
