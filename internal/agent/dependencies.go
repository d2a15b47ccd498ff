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

// The limits of connections to the relay server: for reading the header of a request, and
// between two requests.
const (
	relayHeaderTimeout = 5 * time.Second
	relayIdleTimeout   = time.Minute
)

// dependencies holds the clients and servers through which the request layer works
// with other nodes: the other agents of the service, the balancers that own the
// allowance ledger and the replicas of the idempotency keys.
type dependencies struct {
	settings settings.Agent
	keyring  *keys.Keyring
	control  *node.Control
	peers    *peer.Pool
	// allowance is nil without a credential plug-in or a platform, claims without a
	// platform.
	allowance   *allowance.Client
	claims      *claims.Manager
	relayServer *http.Server

	stopBackground context.CancelFunc
	started        bool
}

// newDependencies returns the dependencies that the settings permit:
// allowances need a credential plug-in and the platform, and idempotency keys
// need the platform.
func newDependencies(m *module) *dependencies {
	d := &dependencies{settings: m.settings, keyring: m.keyring, control: m.control}
	d.peers = peer.New(d, m.keyring.ClientTLS())
	if m.credentialChecker != nil && m.store != nil {
		d.allowance = allowance.New(allowance.Config{
			RPC: m.control.Client, Balancers: m.control, Node: m.settings.Node.Name,
			Allowances: m.control.Documents, Log: m.log,
		})
	}
	if m.store != nil {
		d.claims = claims.New(claims.Config{
			Self: d.self(), Service: m.settings.Service, Store: m.store, Directory: d,
			Client: m.control.Client, Log: m.log,
		})
		d.claims.Register(m.control.Server)
	}
	return d
}

// self returns this agent as a replica of the idempotency keys.
func (d *dependencies) self() idempotency.Member {
	return idempotency.Member{Node: d.settings.Node.Name, Zone: d.settings.Node.Zone, Control: d.settings.Node.Control}
}

// requestConfig returns the configuration of the request layer.
func (d *dependencies) requestConfig(m *module) request.Config {
	config := request.Config{
		Service:    m.settings.Service,
		Target:     m.target,
		Credential: m.credentialChecker,
		Peers:      d.peers,
		Log:        m.log,
	}
	if d.allowance != nil {
		config.Allowance = allowanceAdapter{d.allowance}
	}
	if d.claims != nil {
		config.Claims = d.claims
	}
	return config
}

// start starts the background work and the relay server, which accepts
// requests from other agents.
func (d *dependencies) start(handler *request.Handler) error {
	listener, err := net.Listen("tcp", d.settings.Relay.String())
	if err != nil {
		return Error.Wrap(err)
	}
	d.relayServer = &http.Server{
		Handler:           http.HandlerFunc(handler.ServePeer),
		TLSConfig:         d.keyring.ServerTLS(),
		ReadHeaderTimeout: relayHeaderTimeout,
		IdleTimeout:       relayIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go d.relayServer.ServeTLS(listener, "", "")
	ctx, cancel := context.WithCancel(context.Background())
	d.stopBackground = cancel
	go d.peers.Run(ctx)
	if d.allowance != nil {
		d.allowance.Start(ctx)
	}
	if d.claims != nil {
		d.claims.Start()
	}
	d.started = true
	return nil
}

// handOverKeys hands the idempotency keys over to other agents.
func (d *dependencies) handOverKeys(ctx context.Context) error {
	if d.claims == nil {
		return nil
	}
	return Error.Wrap(d.claims.Leave(ctx))
}

// closeAllowance returns unused allowances and reports the used ones.
func (d *dependencies) closeAllowance(ctx context.Context) error {
	if d.allowance == nil {
		return nil
	}
	return Error.Wrap(d.allowance.Close(ctx))
}

// stop closes the relay server and stops the background work.
func (d *dependencies) stop() error {
	if !d.started {
		return nil
	}
	d.stopBackground()
	var closeErrs errs.Group
	closeErrs.Add(d.relayServer.Close())
	if d.claims != nil {
		d.claims.Close()
	}
	return Error.Wrap(closeErrs.Err())
}

// Agents implements peer.Directory.
func (d *dependencies) Agents() []peer.Agent {
	var agents []peer.Agent
	for _, record := range d.activeAgents() {
		if record.Node != d.settings.Node.Name && record.Relay.IsValid() {
			agents = append(agents, peer.Agent{Node: record.Node, Relay: record.Relay})
		}
	}
	return agents
}

// Members implements claims.Directory.
func (d *dependencies) Members() []idempotency.Member {
	var members []idempotency.Member
	for _, record := range d.activeAgents() {
		members = append(members, idempotency.Member{Node: record.Node, Zone: record.Zone, Control: record.Control})
	}
	return members
}

// activeAgents returns the agents of the service, including this one, that accept
// new work.
func (d *dependencies) activeAgents() []membership.Record {
	documents := d.control.Documents.Snapshot()
	var active []membership.Record
	for _, record := range d.control.Cluster.View().Records {
		if record.Role != model.RoleAgent || record.Service != d.settings.Service {
			continue
		}
		if record.State == membership.StateActive && !documents.ZoneOut(record.Zone) && !documents.TargetOut(record.Node) {
			active = append(active, record)
		}
	}
	return active
}

// allowanceAdapter implements request.AllowanceLimiter with an allowance client.
type allowanceAdapter struct {
	client *allowance.Client
}

// Acquire implements request.AllowanceLimiter.
func (adapter allowanceAdapter) Acquire(ctx context.Context, customer model.Customer, service model.Service) (request.Permit, error) {
	permit, err := adapter.client.Acquire(ctx, customer, service)
	if err != nil {
		return nil, err
	}
	return permit, nil
}
