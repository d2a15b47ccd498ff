package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/allowance"
	"github.com/balsamlink/balsamlink/internal/idempotency"
	"github.com/balsamlink/balsamlink/internal/idempotency/claims"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/node"
	"github.com/balsamlink/balsamlink/internal/peer"
	"github.com/balsamlink/balsamlink/internal/request"
	"github.com/balsamlink/balsamlink/internal/settings"
)

const (
	relayHeaderTime = 5 * time.Second
	relayIdleTime   = time.Minute
)

// services are what the request layer asks besides its own target: the other
// agents of the service, the keepers of allowances and the homes of keys.
type services struct {
	settings  settings.Agent
	ring      *keys.Keyring
	control   *node.Control
	peers     *peer.Pool
	allowance *allowance.Client
	claims    *claims.Manager
	relay     *http.Server

	stopPeers context.CancelFunc
	started   bool
}

// newServices makes them. Allowances need customers, and claims the platform;
// without these an agent does without them.
func newServices(m *module) *services {
	s := &services{settings: m.settings, ring: m.ring, control: m.control}
	s.peers = peer.New(s, m.ring.ClientTLS())
	if m.checker != nil && m.store != nil {
		s.allowance = allowance.New(allowance.Config{
			RPC: m.control.Client, Balancers: m.control, Node: m.settings.Node.Name,
			Allowances: m.control.Documents, Log: m.log,
		})
	}
	if m.store != nil {
		s.claims = claims.New(claims.Config{
			Self: s.self(), Service: m.settings.Service, Store: m.store, Directory: s,
			Client: m.control.Client, Log: m.log,
		})
		s.claims.Register(m.control.Server)
	}
	return s
}

func (s *services) self() idempotency.Member {
	return idempotency.Member{Node: s.settings.Node.Name, Zone: s.settings.Node.Zone, Control: s.settings.Node.Control}
}

// requestConfig returns what the request layer is made of.
func (s *services) requestConfig(m *module) request.Config {
	config := request.Config{
		Service:    m.settings.Service,
		Target:     m.target,
		Credential: m.checker,
		Peers:      s.peers,
		Log:        m.log,
	}
	if s.allowance != nil {
		config.Allowance = allowances{s.allowance}
	}
	if s.claims != nil {
		config.Claims = s.claims
	}
	return config
}

// start begins all work and takes requests from other agents.
func (s *services) start(handler *request.Handler) error {
	listener, err := net.Listen("tcp", s.settings.Relay.String())
	if err != nil {
		return Error.Wrap(err)
	}
	s.relay = &http.Server{
		Handler:           http.HandlerFunc(handler.ServePeer),
		TLSConfig:         s.ring.ServerTLS(),
		ReadHeaderTimeout: relayHeaderTime,
		IdleTimeout:       relayIdleTime,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go s.relay.ServeTLS(listener, "", "")
	ctx, cancel := context.WithCancel(context.Background())
	s.stopPeers = cancel
	go s.peers.Run(ctx)
	if s.allowance != nil {
		s.allowance.Start(ctx)
	}
	if s.claims != nil {
		s.claims.Start()
	}
	s.started = true
	return nil
}

// leave moves the idempotency keys to other agents.
func (s *services) leave(ctx context.Context) error {
	if s.claims == nil {
		return nil
	}
	return Error.Wrap(s.claims.Leave(ctx))
}

// settle returns the allowances and reports their use.
func (s *services) settle(ctx context.Context) error {
	if s.allowance == nil {
		return nil
	}
	return Error.Wrap(s.allowance.Close(ctx))
}

// stop ends all work.
func (s *services) stop() error {
	if !s.started {
		return nil
	}
	s.stopPeers()
	var closed errs.Group
	closed.Add(s.relay.Close())
	if s.claims != nil {
		s.claims.Close()
	}
	return Error.Wrap(closed.Err())
}

// Agents implements peer.Directory.
func (s *services) Agents() []peer.Agent {
	var agents []peer.Agent
	for _, record := range s.active() {
		if record.Node != s.settings.Node.Name && record.Relay.IsValid() {
			agents = append(agents, peer.Agent{Node: record.Node, Relay: record.Relay})
		}
	}
	return agents
}

// Members implements claims.Directory.
func (s *services) Members() []idempotency.Member {
	var members []idempotency.Member
	for _, record := range s.active() {
		members = append(members, idempotency.Member{Node: record.Node, Zone: record.Zone, Control: record.Control})
	}
	return members
}

// active returns the agents of the service that take new work.
func (s *services) active() []membership.Record {
	book := s.control.Documents.Snapshot()
	var active []membership.Record
	for _, record := range s.control.Cluster.View().Records {
		if record.Role != model.RoleAgent || record.Service != s.settings.Service {
			continue
		}
		if record.State == membership.StateActive && !book.ZoneOut(record.Zone) && !book.TargetOut(record.Node) {
			active = append(active, record)
		}
	}
	return active
}

// allowances makes the allowance client fit the request layer.
type allowances struct {
	client *allowance.Client
}

// Acquire implements request.Allowance.
func (a allowances) Acquire(ctx context.Context, customer model.Customer, service model.Service) (request.Permit, error) {
	permit, err := a.client.Acquire(ctx, customer, service)
	if err != nil {
		return nil, err
	}
	return permit, nil
}
