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
	// trafficGoroutines is the number of goroutines in each direction.
	trafficGoroutines = 4
	// readinessInterval is the time between two looks at the readiness.
	readinessInterval = 50 * time.Millisecond
	// quietTime is how long no datagram must come from the fabric before a
	// draining balancer ends.
	quietTime = 500 * time.Millisecond
	quietPoll = 20 * time.Millisecond
)

// module is the balancer's own part of the process.
type module struct {
	kernel.NopModule
	settings settings.Balancer
	ring     *keys.Keyring
	control  *node.Control
	fabric   fabric.Fabric
	health   *observe.Health
	counters *observe.Counters
	log      *logrus.Entry

	traffic  *Traffic
	director *director
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// Run runs a balancer until it is told to end.
func Run(ctx context.Context, settings settings.Balancer, log *logrus.Entry) error {
	parts, options, err := assemble(settings, log)
	if err != nil {
		return err
	}
	return kernel.Run(ctx, options, parts)
}

// Check checks settings as far as it is possible without opening anything.
func Check(settings settings.Balancer, log *logrus.Entry) error {
	parts, _, err := assemble(settings, log)
	if err != nil {
		return err
	}
	return kernel.Check(log, parts)
}

func assemble(settings settings.Balancer, log *logrus.Entry) ([]kernel.Part, kernel.Options, error) {
	ring, err := keys.Load(settings.Node.Keys)
	if err != nil {
		return nil, kernel.Options{}, kernel.Usage(err)
	}
	store, platformPart, err := node.NewPlatform(settings.Node)
	if err != nil {
		return nil, kernel.Options{}, err
	}
	edge, fabricPart, err := kernel.NewPart[fabric.Fabric](kernel.KindFabric, settings.Fabric.Plugin, "fabric.settings", settings.Fabric.Settings)
	if err != nil {
		return nil, kernel.Options{}, err
	}
	common := node.NewCommon(settings.Node, log)
	control, err := node.NewControl(node.ControlConfig{
		Settings: settings.Node, Keyring: ring, Role: model.RoleBalancer, Platform: store,
		Counters: common.Counters, Log: log,
	})
	if err != nil {
		return nil, kernel.Options{}, err
	}
	own := &module{
		settings: settings, ring: ring, control: control, fabric: edge,
		health: common.Health, counters: common.Counters, log: log,
	}
	parts := common.Parts(platformPart, control, ring)
	if store != nil {
		parts = append(parts, kernel.Part{Name: "keeper", Module: newKeeperModule(settings, control, store, log)})
	}
	parts = append(parts, fabricPart, kernel.Part{Name: "balancer", Module: own})
	return parts, common.Options(), nil
}

// Validate implements kernel.Module: it makes everything that needs no socket.
func (m *module) Validate() error {
	shared := m.ring.Shared()
	sealer, err := steering.NewSealer(shared.ConnectionIDKeys())
	if err != nil {
		return Error.Wrap(err)
	}
	m.director = &director{sealer: sealer, view: &membership.View{}, book: m.control.Documents.Snapshot()}
	for _, service := range m.settings.Services {
		m.director.services = append(m.director.services, service.Name)
	}
	m.control.Cluster.OnView(m.director.viewChanged)
	m.control.Documents.OnChange(m.director.bookChanged)
	return nil
}

// Start implements kernel.Module.
func (m *module) Start(context.Context) error {
	if err := m.openTraffic(); err != nil {
		return err
	}
	m.traffic.Start(trafficGoroutines)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.running.Go(func() { m.watch(ctx) })
	m.control.Cluster.SetState(membership.StateActive)
	return nil
}

func (m *module) openTraffic() error {
	shared := m.ring.Shared()
	addresses := map[model.Service]netip.AddrPort{}
	for _, service := range m.settings.Services {
		addresses[service.Name] = service.Address
	}
	traffic, err := NewTraffic(TrafficConfig{
		Fabric: m.fabric, Data: m.settings.Node.Data, Freshness: m.control.Cluster,
		Keys: shared.DatagramKeys(), Zone: m.settings.Node.Zone, Services: addresses,
	})
	if err != nil {
		return err
	}
	m.traffic = traffic
	refusals, err := newRefusals(traffic.socket)
	if err != nil {
		return err
	}
	m.director.start(traffic, refusals)
	m.addCounters()
	return nil
}

func (m *module) watch(ctx context.Context) {
	refusals := time.NewTicker(refusalPoll)
	defer refusals.Stop()
	readiness := time.NewTicker(readinessInterval)
	defer readiness.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refusals.C:
			if m.director.refusals.collect(model.Now()) {
				m.director.refusalsChanged()
			}
		case <-readiness.C:
			m.updateHealth()
		}
	}
}

func (m *module) updateHealth() {
	if m.control.Cluster.Fresh(model.Now()) {
		m.health.MarkMet(node.ConditionFresh)
		return
	}
	m.health.MarkUnmet(node.ConditionFresh, "no proof that the newest documents are known")
}

// Drain implements kernel.Module: the process is no longer ready, so the fabric
// sends elsewhere; the balancer serves on until nothing comes any more.
func (m *module) Drain(ctx context.Context) error {
	m.control.Cluster.SetState(membership.StateDraining)
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	last, since := m.traffic.Counters.In.Load(), model.Now()
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(context.Cause(ctx))
		case <-ticker.C:
		}
		now, in := model.Now(), m.traffic.Counters.In.Load()
		if in != last {
			last, since = in, now
		}
		if now.Sub(since) >= quietTime {
			return nil
		}
	}
}

// Stop implements kernel.Module.
func (m *module) Stop() error {
	if m.stop != nil {
		m.stop()
	}
	m.running.Wait()
	if m.traffic == nil {
		return nil
	}
	if closer, ok := m.fabric.(kernel.Module); ok {
		closer.Stop()
	}
	return m.traffic.Stop()
}

func (m *module) addCounters() {
	c := &m.traffic.Counters
	read := func(value interface{ Load() uint64 }) func() int64 {
		return func() int64 { return int64(value.Load()) }
	}
	m.counters.GaugeFunc("datagrams_in", "Datagrams taken from the fabric.", read(&c.In))
	m.counters.GaugeFunc("datagrams_out", "Answers handed to the fabric.", read(&c.Out))
	m.counters.GaugeFunc("datagrams_first", "Datagrams of new flows.", read(&c.First))
	m.counters.GaugeFunc("datagrams_gone", "Datagrams of flows whose agent is gone or out of service.", read(&c.Gone))
	m.counters.GaugeFunc("datagrams_held", "Datagrams held until the balancer was fresh.", read(&c.Held))
	for reason := range dropCount {
		name := "datagrams_dropped_" + reason.String()
		m.counters.GaugeFunc(name, "Datagrams dropped: "+reason.String()+".", read(&c.Dropped[reason]))
	}
}
