package balancer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/fabric"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/node"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/settings"
	"github.com/balsamlink/balsamlink/internal/steering"
)

const (
	// forwardingGoroutines is the number of goroutines that forward packets to
	// agents, and of those that forward replies to the fabric.
	forwardingGoroutines = 4
	// readinessPollInterval is the interval between two updates of the readiness.
	readinessPollInterval = 50 * time.Millisecond
	// drainIdleTime is how long the fabric must have sent no datagram before a
	// draining balancer exits.
	drainIdleTime     = 500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// module runs the balancer's data path.
type module struct {
	kernel.NopModule
	settings  settings.Balancer
	keyring   *keys.Keyring
	control   *node.Control
	fabric    fabric.Fabric
	readiness *observe.Readiness
	metrics   *observe.MetricSet
	log       *logrus.Entry

	forwarder  *Forwarder
	builder    *tableBuilder
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// Run runs a balancer until it is asked to stop.
func Run(ctx context.Context, settings settings.Balancer, log *logrus.Entry) error {
	parts, options, err := assemble(settings, log)
	if err != nil {
		return err
	}
	return kernel.Run(ctx, options, parts)
}

// Check validates the settings as far as possible without opening sockets or
// connections.
func Check(settings settings.Balancer, log *logrus.Entry) error {
	parts, _, err := assemble(settings, log)
	if err != nil {
		return err
	}
	return kernel.Check(log, parts)
}

func assemble(settings settings.Balancer, log *logrus.Entry) ([]kernel.Part, kernel.Options, error) {
	keyring, err := keys.Load(settings.Node.Keys)
	if err != nil {
		return nil, kernel.Options{}, kernel.Usage(err)
	}
	store, platformPart, err := node.NewPlatform(settings.Node)
	if err != nil {
		return nil, kernel.Options{}, err
	}
	fabricPlugin, fabricPart, err := kernel.NewPart[fabric.Fabric](kernel.KindFabric, settings.Fabric.Plugin, "fabric.settings", settings.Fabric.Settings)
	if err != nil {
		return nil, kernel.Options{}, err
	}
	common := node.NewCommon(settings.Node, log)
	control, err := node.NewControl(node.ControlConfig{
		Settings: settings.Node, Keyring: keyring, Role: model.RoleBalancer, Platform: store,
		Metrics: common.Metrics, Log: log,
	})
	if err != nil {
		return nil, kernel.Options{}, err
	}
	balancerModule := &module{
		settings: settings, keyring: keyring, control: control, fabric: fabricPlugin,
		readiness: common.Readiness, metrics: common.Metrics, log: log,
	}
	parts := common.Parts(platformPart, control, keyring)
	if store != nil {
		// The name of the part stays "keeper", so that searches of logs still match.
		parts = append(parts, kernel.Part{Name: "keeper", Module: newShardOwnerModule(settings, control, store, log)})
	}
	parts = append(parts, fabricPart, kernel.Part{Name: "balancer", Module: balancerModule})
	return parts, common.Options(), nil
}

// Validate implements kernel.Module. It creates everything that needs no socket.
func (m *module) Validate() error {
	shared := m.keyring.Shared()
	sealer, err := steering.NewSealer(shared.ConnectionIDKeys())
	if err != nil {
		return Error.Wrap(err)
	}
	m.builder = &tableBuilder{sealer: sealer, view: &membership.View{}, documents: m.control.Documents.Snapshot()}
	for _, service := range m.settings.Services {
		m.builder.services = append(m.builder.services, service.Name)
	}
	m.control.Cluster.OnView(m.builder.setView)
	m.control.Documents.OnChange(m.builder.setDocuments)
	return nil
}

// Start implements kernel.Module.
func (m *module) Start(context.Context) error {
	if err := m.openForwarder(); err != nil {
		return err
	}
	m.forwarder.Start(forwardingGoroutines)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.goroutines.Go(func() { m.poll(ctx) })
	m.control.Cluster.SetState(membership.StateActive)
	return nil
}

func (m *module) openForwarder() error {
	shared := m.keyring.Shared()
	addresses := map[model.Service]netip.AddrPort{}
	for _, service := range m.settings.Services {
		addresses[service.Name] = service.Address
	}
	forwarder, err := NewForwarder(ForwarderConfig{
		Fabric: m.fabric, DataAddress: m.settings.Node.Data, Freshness: m.control.Cluster,
		Keys: shared.DatagramKeys(), Zone: m.settings.Node.Zone, Services: addresses,
	})
	if err != nil {
		return err
	}
	m.forwarder = forwarder
	refusals, err := newRefusalTracker(forwarder.socket)
	if err != nil {
		return err
	}
	m.builder.start(forwarder, refusals)
	m.registerMetrics()
	return nil
}

// poll collects refusals, see refusalTracker, and updates the readiness until the context is done.
func (m *module) poll(ctx context.Context) {
	refusalTicker := time.NewTicker(refusalPollInterval)
	defer refusalTicker.Stop()
	readinessTicker := time.NewTicker(readinessPollInterval)
	defer readinessTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refusalTicker.C:
			if m.builder.refusals.collect(model.Now()) {
				m.builder.refusalsChanged()
			}
		case <-readinessTicker.C:
			m.updateReadiness()
		}
	}
}

// updateReadiness makes the process ready only while its documents are verified as current.
func (m *module) updateReadiness() {
	if m.control.Cluster.Fresh(model.Now()) {
		m.readiness.MarkMet(node.ConditionFresh)
		return
	}
	m.readiness.MarkUnmet(node.ConditionFresh, "no proof that the newest documents are known")
}

// Drain implements kernel.Module. The process is no longer ready, so the fabric
// sends to other balancers. This one keeps forwarding until the fabric has sent
// it nothing for drainIdleTime.
func (m *module) Drain(ctx context.Context) error {
	m.control.Cluster.SetState(membership.StateDraining)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	lastIn, idleSince := m.forwarder.Counters.In.Load(), model.Now()
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(context.Cause(ctx))
		case <-ticker.C:
		}
		now, in := model.Now(), m.forwarder.Counters.In.Load()
		if in != lastIn {
			lastIn, idleSince = in, now
		}
		if now.Sub(idleSince) >= drainIdleTime {
			return nil
		}
	}
}

// Stop implements kernel.Module.
func (m *module) Stop() error {
	if m.stop != nil {
		m.stop()
	}
	m.goroutines.Wait()
	if m.forwarder == nil {
		return nil
	}
	if closer, ok := m.fabric.(kernel.Module); ok {
		closer.Stop()
	}
	return m.forwarder.Stop()
}

func (m *module) registerMetrics() {
	c := &m.forwarder.Counters
	gauge := func(value interface{ Load() uint64 }) func() int64 {
		return func() int64 { return int64(value.Load()) }
	}
	m.metrics.GaugeFunc("datagrams_in", "Datagrams received from the fabric.", gauge(&c.In))
	m.metrics.GaugeFunc("datagrams_out", "Replies sent to the fabric.", gauge(&c.Out))
	m.metrics.GaugeFunc("datagrams_first", "Datagrams of new flows.", gauge(&c.NewFlow))
	m.metrics.GaugeFunc("datagrams_gone", "Datagrams of flows whose agent has stopped or is out of service.", gauge(&c.Orphaned))
	m.metrics.GaugeFunc("datagrams_held", "Datagrams held until the balancer's documents were verified as current.", gauge(&c.Held))
	for reason := range dropReasonCount {
		name := "datagrams_dropped_" + reason.String()
		m.metrics.GaugeFunc(name, "Datagrams dropped: "+reason.String()+".", gauge(&c.Dropped[reason]))
	}
}
