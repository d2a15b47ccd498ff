package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/credential"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/node"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/request"
	"github.com/balsamlink/balsamlink/internal/settings"
	"github.com/balsamlink/balsamlink/internal/steering"
	"github.com/balsamlink/balsamlink/internal/target"
	"github.com/balsamlink/balsamlink/internal/wire"
)

// statePollInterval is the interval between two updates of the announced state
// from the target's hints and the documents in force.
const statePollInterval = 100 * time.Millisecond

// module runs the data path of the agent.
type module struct {
	kernel.NopModule
	settings settings.Agent
	keyring  *keys.Keyring
	// certificate is the service's certificate, which the agent presents to
	// callers.
	certificate *keys.ServiceCertificate
	control     *node.Control
	target      target.Target
	// credentialChecker is nil if no credential plug-in is configured.
	credentialChecker credential.Checker
	// store is nil if no platform is configured.
	store     platform.Store
	readiness *observe.Readiness
	metrics   *observe.MetricSet
	log       *logrus.Entry

	dependencies *dependencies
	handler      *request.Handler
	server       *QUICServer
	stop         context.CancelFunc
	goroutines   sync.WaitGroup
}

// Run runs an agent until it is asked to stop.
func Run(ctx context.Context, settings settings.Agent, log *logrus.Entry) error {
	parts, options, err := assemble(settings, log)
	if err != nil {
		return err
	}
	return kernel.Run(ctx, options, parts)
}

// Check validates the settings as far as possible without opening sockets or
// connections.
func Check(settings settings.Agent, log *logrus.Entry) error {
	parts, _, err := assemble(settings, log)
	if err != nil {
		return err
	}
	return kernel.Check(log, parts)
}

func assemble(settings settings.Agent, log *logrus.Entry) ([]kernel.Part, kernel.Options, error) {
	loaded, err := loadPlugins(settings)
	if err != nil {
		return nil, kernel.Options{}, err
	}
	store, platformPart, err := node.NewPlatform(settings.Node)
	if err != nil {
		return nil, kernel.Options{}, err
	}
	common := node.NewCommon(settings.Node, log)
	control, err := node.NewControl(node.ControlConfig{
		Settings: settings.Node, Keyring: loaded.keyring, Role: model.RoleAgent, Service: settings.Service,
		Relay: settings.Relay, Platform: store, Metrics: common.Metrics, Log: log,
	})
	if err != nil {
		return nil, kernel.Options{}, err
	}
	if bindable, ok := loaded.credentialChecker.(credential.Bindable); ok {
		bindable.Bind(control.Documents)
	}
	agentModule := &module{
		settings: settings, keyring: loaded.keyring, certificate: loaded.certificate, control: control,
		target: loaded.target, credentialChecker: loaded.credentialChecker, store: store,
		readiness: common.Readiness, metrics: common.Metrics, log: log,
	}
	parts := common.Parts(platformPart, control, loaded.keyring, loaded.certificate.Reloader())
	parts = append(parts, loaded.parts...)
	parts = append(parts, kernel.Part{Name: "agent", Module: agentModule})
	return parts, common.Options(), nil
}

// plugins are the plug-ins and secrets of an agent.
type plugins struct {
	keyring           *keys.Keyring
	certificate       *keys.ServiceCertificate
	target            target.Target
	credentialChecker credential.Checker
	parts             []kernel.Part
}

func loadPlugins(settings settings.Agent) (plugins, error) {
	var p plugins
	var err error
	p.keyring, err = keys.Load(settings.Node.Keys)
	if err != nil {
		return p, kernel.Usage(err)
	}
	p.certificate, err = keys.LoadServiceCertificate(settings.Certificate, settings.Key)
	if err != nil {
		return p, kernel.Usage(err)
	}
	var part kernel.Part
	p.target, part, err = kernel.NewPart[target.Target](
		kernel.KindTarget, settings.Target.Plugin, "target.settings", settings.Target.Settings)
	if err != nil {
		return p, err
	}
	p.parts = append(p.parts, part)
	if settings.Credential.Plugin == "" {
		return p, nil
	}
	p.credentialChecker, part, err = kernel.NewPart[credential.Checker](
		kernel.KindCredential, settings.Credential.Plugin, "credential.settings", settings.Credential.Settings)
	if err != nil {
		return p, err
	}
	p.parts = append(p.parts, part)
	return p, nil
}

// Validate implements kernel.Module. It creates everything that needs no
// socket.
func (m *module) Validate() error {
	m.dependencies = newDependencies(m)
	m.handler = request.New(m.dependencies.requestConfig(m))
	return nil
}

// Start implements kernel.Module.
func (m *module) Start(context.Context) error {
	var err error
	m.server, err = NewQUICServer(QUICServerConfig{
		DataAddress: m.settings.Node.Data,
		Zone:        m.settings.Node.Zone,
		Service:     m.settings.Service,
		Shared:      m.keyring.Shared(),
		TLS:         m.certificate.TLS(),
		Handler:     handlerAdapter{m.handler},
	})
	if err != nil {
		return err
	}
	m.registerMetrics()
	if err := m.dependencies.start(m.handler); err != nil {
		return err
	}
	m.goroutines.Go(m.serve)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.control.Cluster.SetSlots(uint16(m.target.Slots()))
	m.goroutines.Go(func() { m.pollState(ctx) })
	return nil
}

func (m *module) serve() {
	if err := m.server.Serve(); err != nil {
		m.log.WithError(err).Error("front_failed")
	}
}

// pollState announces the state that follows from the target's hints and the
// operators' documents whenever it changes, and closes the flows when the
// agent's zone goes out of service.
func (m *module) pollState(ctx context.Context) {
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	announced := membership.StateStarting
	for {
		documents := m.control.Documents.Snapshot()
		m.server.SetZoneOut(documents.ZoneOut(m.settings.Node.Zone), documents.Revisions()[model.DocumentOutOfService])
		m.updateReadiness()
		if state := m.desiredState(documents); state != announced {
			announced = state
			m.control.Cluster.SetState(state)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// desiredState returns the state to announce while the agent runs.
func (m *module) desiredState(documents *plan.Snapshot) membership.State {
	if m.target.Hints().Draining || documents.TargetOut(m.settings.Node.Name) {
		return membership.StateDraining
	}
	return membership.StateActive
}

// updateReadiness makes the process ready only while a balancer is known.
func (m *module) updateReadiness() {
	if len(m.control.Cluster.View().Balancers()) > 0 {
		m.readiness.MarkMet(node.ConditionFresh)
		return
	}
	m.readiness.MarkUnmet(node.ConditionFresh, "no balancer is known")
}

// Drain implements kernel.Module. It diverts new flows to other agents, hands the
// idempotency keys over, waits for the open flows and requests to end, and settles
// the allowances.
func (m *module) Drain(ctx context.Context) error {
	m.stop()
	m.server.SetAcceptsFlows(false)
	m.control.Cluster.SetState(membership.StateDraining)
	keysErr := m.dependencies.handOverKeys(ctx)
	flowsErr := m.server.Drain(ctx)
	requestsErr := Error.Wrap(m.handler.Drain(ctx))
	return errs.Combine(keysErr, flowsErr, requestsErr, m.dependencies.closeAllowance(ctx))
}

// Stop implements kernel.Module.
func (m *module) Stop() error {
	if m.stop != nil {
		m.stop()
	}
	var err error
	if m.server != nil {
		err = m.server.Close()
	}
	if m.handler != nil {
		m.handler.Close()
		m.dependencies.stop()
	}
	m.goroutines.Wait()
	return err
}

// handlerAdapter implements RequestHandler with a request.Handler.
type handlerAdapter struct {
	*request.Handler
}

// Occupancy implements OccupancySource. The limit that it reports for a warm target
// is the number of slots, not the current concurrency limit: that one falls while
// there are few requests and recovers soon when there are more.
func (a handlerAdapter) Occupancy() steering.Occupancy {
	load := a.Load()
	limit := load.Slots
	if load.Cold {
		limit = load.Limit
	}
	return steering.Occupancy{Requests: load.InFlight + load.Queued, Limit: limit, AcceptsNewFlows: !load.Draining}
}

func (m *module) registerMetrics() {
	conn := m.server.packetConn
	m.metrics.GaugeFunc("flows_open", "Open flows of callers.", m.server.OpenFlows)
	m.metrics.GaugeFunc("requests_in_flight", "Requests that hold a slot of the target.",
		func() int64 { return int64(m.handler.Load().InFlight) })
	m.metrics.GaugeFunc("requests_queued", "Requests that wait for a slot of the target.",
		func() int64 { return int64(m.handler.Load().Queued) })
	m.metrics.GaugeFunc("requests_limit", "Requests that the target may run at once now.",
		func() int64 { return int64(m.handler.Load().Limit) })
	m.metrics.GaugeFunc("flows_handed", "Packets of new flows handed over to the alternate agent.", gauge(&conn.handedOver))
	m.metrics.GaugeFunc("flows_returned", "Packets of new flows handed back to the first agent.", gauge(&conn.handedBack))
	m.metrics.GaugeFunc("flows_reset", "Stateless resets sent for flows that this agent does not have.", gauge(&conn.resets))
	m.metrics.GaugeFunc("datagrams_out", "Packets sent to callers.", gauge(&conn.packetsOut))
	m.metrics.GaugeFunc("datagrams_in", "Datagrams received, of any kind and even if dropped.", gauge(&conn.datagramsIn))
	for kind := wire.KindEstablished; kind < wire.KindReply; kind++ {
		m.metrics.GaugeFunc("datagrams_in_"+kind.String(), "Packets received: "+kind.String()+".", gauge(&conn.receivedByKind[kind]))
	}
	for reason := range dropReasonCount {
		name := "datagrams_dropped_" + reason.String()
		m.metrics.GaugeFunc(name, "Datagrams dropped: "+reason.String()+".", gauge(&conn.dropped[reason]))
	}
}

func gauge(value interface{ Load() uint64 }) func() int64 {
	return func() int64 { return int64(value.Load()) }
}
