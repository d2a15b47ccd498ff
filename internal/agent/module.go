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

// stateInterval is the time between two looks at what the target says of itself.
const stateInterval = 100 * time.Millisecond

// module is the agent's own part of the process.
type module struct {
	kernel.NopModule
	settings settings.Agent
	ring     *keys.Keyring
	// certificate is what callers of the service see.
	certificate *keys.ServiceCertificate
	control     *node.Control
	target      target.Target
	checker     credential.Checker
	// store may be nil.
	store    platform.Store
	health   *observe.Health
	counters *observe.Counters
	log      *logrus.Entry

	services *services
	handler  *request.Handler
	front    *Front
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// Run runs an agent until it is told to end.
func Run(ctx context.Context, settings settings.Agent, log *logrus.Entry) error {
	parts, options, err := assemble(settings, log)
	if err != nil {
		return err
	}
	return kernel.Run(ctx, options, parts)
}

// Check checks settings as far as it is possible without opening anything.
func Check(settings settings.Agent, log *logrus.Entry) error {
	parts, _, err := assemble(settings, log)
	if err != nil {
		return err
	}
	return kernel.Check(log, parts)
}

func assemble(settings settings.Agent, log *logrus.Entry) ([]kernel.Part, kernel.Options, error) {
	fitted, err := fit(settings)
	if err != nil {
		return nil, kernel.Options{}, err
	}
	store, platformPart, err := node.NewPlatform(settings.Node)
	if err != nil {
		return nil, kernel.Options{}, err
	}
	common := node.NewCommon(settings.Node, log)
	control, err := node.NewControl(node.ControlConfig{
		Settings: settings.Node, Keyring: fitted.ring, Role: model.RoleAgent, Service: settings.Service,
		Relay: settings.Relay, Platform: store, Counters: common.Counters, Log: log,
	})
	if err != nil {
		return nil, kernel.Options{}, err
	}
	if bindable, ok := fitted.checker.(credential.Bindable); ok {
		bindable.Bind(control.Documents)
	}
	own := &module{
		settings: settings, ring: fitted.ring, certificate: fitted.certificate, control: control,
		target: fitted.target, checker: fitted.checker, store: store,
		health: common.Health, counters: common.Counters, log: log,
	}
	parts := common.Parts(platformPart, control, fitted.ring, fitted.certificate.Reloader())
	parts = append(parts, fitted.parts...)
	parts = append(parts, kernel.Part{Name: "agent", Module: own})
	return parts, common.Options(), nil
}

// fittings are the plug-ins and secrets of an agent.
type fittings struct {
	ring        *keys.Keyring
	certificate *keys.ServiceCertificate
	target      target.Target
	checker     credential.Checker
	parts       []kernel.Part
}

func fit(settings settings.Agent) (fittings, error) {
	var f fittings
	var err error
	f.ring, err = keys.Load(settings.Node.Keys)
	if err != nil {
		return f, kernel.Usage(err)
	}
	f.certificate, err = keys.LoadServiceCertificate(settings.Certificate, settings.Key)
	if err != nil {
		return f, kernel.Usage(err)
	}
	var part kernel.Part
	f.target, part, err = kernel.NewPart[target.Target](
		kernel.KindTarget, settings.Target.Plugin, "target.settings", settings.Target.Settings)
	if err != nil {
		return f, err
	}
	f.parts = append(f.parts, part)
	if settings.Credential.Plugin == "" {
		return f, nil
	}
	f.checker, part, err = kernel.NewPart[credential.Checker](
		kernel.KindCredential, settings.Credential.Plugin, "credential.settings", settings.Credential.Settings)
	if err != nil {
		return f, err
	}
	f.parts = append(f.parts, part)
	return f, nil
}

// Validate implements kernel.Module: it makes everything that needs no socket.
func (m *module) Validate() error {
	m.services = newServices(m)
	m.handler = request.New(m.services.requestConfig(m))
	return nil
}

// Start implements kernel.Module.
func (m *module) Start(context.Context) error {
	var err error
	m.front, err = NewFront(FrontConfig{
		Data:     m.settings.Node.Data,
		Zone:     m.settings.Node.Zone,
		Service:  m.settings.Service,
		Shared:   m.ring.Shared(),
		TLS:      m.certificate.TLS(),
		Requests: requests{m.handler},
	})
	if err != nil {
		return err
	}
	m.addCounters()
	if err := m.services.start(m.handler); err != nil {
		return err
	}
	m.running.Go(m.serve)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.control.Cluster.SetSlots(uint16(m.target.Slots()))
	m.running.Go(func() { m.watch(ctx) })
	return nil
}

func (m *module) serve() {
	if err := m.front.Serve(); err != nil {
		m.log.WithError(err).Error("front_failed")
	}
}

// watch announces the state that the target and the operators' documents ask
// for.
func (m *module) watch(ctx context.Context) {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	announced := membership.StateStarting
	for {
		book := m.control.Documents.Snapshot()
		m.front.SetOut(book.ZoneOut(m.settings.Node.Zone), book.Revisions()[model.DocumentOutOfService])
		m.updateHealth()
		if state := m.wanted(book); state != announced {
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

func (m *module) wanted(book *plan.Snapshot) membership.State {
	if m.target.Hints().Draining || book.TargetOut(m.settings.Node.Name) {
		return membership.StateDraining
	}
	return membership.StateActive
}

func (m *module) updateHealth() {
	if len(m.control.Cluster.View().Balancers()) > 0 {
		m.health.MarkMet(node.ConditionFresh)
		return
	}
	m.health.MarkUnmet(node.ConditionFresh, "no balancer is known")
}

// Drain implements kernel.Module: new flows go elsewhere first, then the open
// ones end.
func (m *module) Drain(ctx context.Context) error {
	m.stop()
	m.front.SetOpen(false)
	m.control.Cluster.SetState(membership.StateDraining)
	claims := m.services.leave(ctx)
	flows := m.front.Drain(ctx)
	requests := Error.Wrap(m.handler.Drain(ctx))
	return errs.Combine(claims, flows, requests, m.services.settle(ctx))
}

// Stop implements kernel.Module.
func (m *module) Stop() error {
	if m.stop != nil {
		m.stop()
	}
	var err error
	if m.front != nil {
		err = m.front.Close()
	}
	if m.handler != nil {
		m.handler.Close()
		m.services.stop()
	}
	m.running.Wait()
	return err
}

// requests makes the request layer fit the front.
type requests struct {
	*request.Handler
}

// Occupancy implements Flows. The limit of a warm target falls while it is not
// made use of and is soon back, so that all its slots count.
func (r requests) Occupancy() steering.Occupancy {
	load := r.Load()
	limit := load.Slots
	if load.Cold {
		limit = load.Limit
	}
	return steering.Occupancy{InFlight: load.InFlight + load.Queued, Limit: limit, Open: !load.Draining}
}

func (m *module) addCounters() {
	conn := m.front.conn
	m.counters.GaugeFunc("flows_open", "Open flows of callers.", m.front.OpenFlows)
	m.counters.GaugeFunc("requests_in_flight", "Requests that hold a slot of the target.",
		func() int64 { return int64(m.handler.Load().InFlight) })
	m.counters.GaugeFunc("requests_queued", "Requests that wait for a slot of the target.",
		func() int64 { return int64(m.handler.Load().Queued) })
	m.counters.GaugeFunc("requests_limit", "Requests that the target may run at once now.",
		func() int64 { return int64(m.handler.Load().Limit) })
	m.counters.GaugeFunc("flows_handed", "Packets of new flows handed to the alternate.", read(&conn.handed))
	m.counters.GaugeFunc("flows_returned", "Packets of new flows handed back.", read(&conn.returned))
	m.counters.GaugeFunc("flows_reset", "Stateless resets sent for flows that this agent does not have.", read(&conn.resets))
	m.counters.GaugeFunc("datagrams_out", "Packets sent to callers.", read(&conn.answers))
	m.counters.GaugeFunc("datagrams_in", "Datagrams received, of any kind and even if dropped.", read(&conn.arrived))
	for kind := wire.KindEstablished; kind < wire.KindReply; kind++ {
		m.counters.GaugeFunc("datagrams_in_"+kind.String(), "Packets received: "+kind.String()+".", read(&conn.received[kind]))
	}
	for reason := range dropCount {
		name := "datagrams_dropped_" + reason.String()
		m.counters.GaugeFunc(name, "Datagrams dropped: "+reason.String()+".", read(&conn.dropped[reason]))
	}
}

func read(value interface{ Load() uint64 }) func() int64 {
	return func() int64 { return int64(value.Load()) }
}
