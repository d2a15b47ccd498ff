package node

import (
	"context"
	"net"
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/cluster"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/settings"
)

// Control is the module that connects the node with the others: it owns the RPC
// client and server, the cluster membership and the operators' documents.
type Control struct {
	kernel.NopModule
	Cluster   *cluster.Node
	Client    *rpc.Client
	Server    *rpc.Server
	Documents *DocumentStore

	settings settings.Node
	metrics  *observe.MetricSet
	log      *logrus.Entry
	// serving is set once the server accepts calls, and started once the cluster
	// membership has started. Stop ends only those.
	serving bool
	started bool
}

// ControlConfig holds the settings and dependencies of a Control.
type ControlConfig struct {
	Settings settings.Node
	Keyring  *keys.Keyring
	// Role, Service, Slots and Relay are published in the node's membership
	// record.
	Role    model.Role
	Service model.Service
	Slots   uint16
	Relay   netip.AddrPort
	// Platform may be nil. Documents then come from peers only.
	Platform platform.Store
	Metrics  *observe.MetricSet
	Log      *logrus.Entry
}

// NewControl returns a Control. Other modules must register their RPC handlers on
// its server before it starts.
func NewControl(config ControlConfig) (*Control, error) {
	documents, err := NewDocumentStore(config.Log)
	if err != nil {
		return nil, err
	}
	c := &Control{
		Client:    rpc.NewClient(config.Keyring.ClientTLS()),
		Server:    rpc.NewServer(config.Keyring.ServerTLS(), config.Log),
		Documents: documents,
		settings:  config.Settings,
		metrics:   config.Metrics,
		log:       config.Log,
	}
	c.Cluster, err = cluster.New(cluster.Config{
		Self: membership.Record{
			Node:    config.Settings.Name,
			Role:    config.Role,
			State:   membership.StateStarting,
			Zone:    config.Settings.Zone,
			Service: config.Service,
			Data:    config.Settings.Data,
			Control: config.Settings.Control,
			Slots:   config.Slots,
			Relay:   config.Relay,
		},
		Client:   c.Client,
		Server:   c.Server,
		Seeds:    config.Settings.Seeds,
		Platform: config.Platform,
		Check:    CheckDocument,
		Log:      config.Log,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.Cluster.OnDocument(documents.Apply)
	c.registerMetrics()
	c.Server.Handle(rpc.MethodStatus, rpc.TypedHandler(c.serveStatus))
	return c, nil
}

// Start implements kernel.Module.
func (c *Control) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.settings.Control.String())
	if err != nil {
		return Error.Wrap(err)
	}
	c.Server.Serve(listener)
	c.serving = true
	c.Cluster.Start(context.WithoutCancel(ctx))
	c.started = true
	return nil
}

// Drain implements kernel.Module: it notifies the other nodes that this node has
// left. It runs after the modules that use the control connections have drained. A
// failure is only logged, because the last nodes of a deployment have nobody to
// notify.
func (c *Control) Drain(ctx context.Context) error {
	if err := c.Cluster.Leave(ctx); err != nil {
		c.log.WithError(err).Warn("leave_not_told")
	}
	return nil
}

// Stop implements kernel.Module.
func (c *Control) Stop() error {
	if c.started {
		c.Cluster.Stop()
	}
	c.Client.Close()
	if !c.serving {
		return nil
	}
	return Error.Wrap(c.Server.Close())
}

// registerMetrics adds gauges for the document revisions and the view size.
func (c *Control) registerMetrics() {
	if c.metrics == nil {
		return
	}
	for kind := range model.DocumentKind(model.DocumentCount) {
		name := "revision_" + kind.String()
		c.metrics.GaugeFunc(name, "Revision of the document in force: "+kind.String()+".",
			func() int64 { return int64(c.Documents.Snapshot().Revisions()[kind]) })
	}
	c.metrics.GaugeFunc("nodes_known", "Nodes in the membership view.",
		func() int64 { return int64(len(c.Cluster.View().Records)) })
}
