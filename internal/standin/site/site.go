package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/platform"
	"github.com/balsamlink/balsamlink/platform/wire"
)

// The ports of a site, the same on all VMs.
const (
	// portPackets is the UDP port of balancers, agents, the router and the clients
	// for packets of flows.
	portPackets = 18172 + iota
	// portReadiness is the TCP port of the balancers' readiness probe.
	portReadiness
	// portRegistration is the TCP port at which targets register with their agent.
	portRegistration
	// portOutbound is the UDP port of an agent for packets from its target.
	portOutbound
	// portTarget is the UDP port of a target for packets, and the TCP port for its
	// health check.
	portTarget
	// portStore is the TCP port of the store.
	portStore
	// portMetrics is the TCP port of the nodes' metrics.
	portMetrics
	// portMesh is the only port of the range for traffic between nodes.
	portMesh
)

// The programs that a site runs.
const (
	programBalancer = "balsampktlb"
	programAgent    = "balsampktagent"
)

// GracePeriod is how long a process may take to shut down.
const GracePeriod = 3 * time.Second

const (
	// startTimeout bounds the time until all balancers are in rotation.
	startTimeout = 10 * time.Second
	// pollInterval is the time between two looks at the balancers in rotation.
	pollInterval = 20 * time.Millisecond

	nodeMemoryMegabytes = 128
	// idleTimeout is the idle timeout of flows in the configuration.
	idleTimeout = 15 * time.Second
	// targetSlots is the number of requests that a target serves concurrently.
	targetSlots         = 8
	flowLifetimeSeconds = 60
	// maxTargetFlows is the maximum number of flows of a target in the configuration.
	maxTargetFlows = 2000
)

// ServiceShape describes one service of a site.
type ServiceShape struct {
	Name string
	// Targets is the number of targets in all zones. They are spread over the zones
	// in turn.
	Targets int
}

// Shape describes the size and the properties of a site.
type Shape struct {
	Zones []string
	// Balancers is the number of balancers in each zone.
	Balancers int
	Services  []ServiceShape
	// Hash is how the router chooses a balancer for a flow.
	Hash HashMethod
	// Octet is the second octet of the loopback addresses in use. Sites with different
	// octets can run at the same time.
	Octet byte
	// WarmUp is how long targets report that they are warming up after their start.
	WarmUp time.Duration
	// Gateway returns the address at which a VM reaches the store. If it is nil, VMs
	// use the store's own address.
	Gateway func(vm netip.Addr, store netip.AddrPort) netip.AddrPort
}

// Node is one balancer or agent, with its settings and its present process.
type Node struct {
	Name     string
	settings packetnode.Settings
	program  string
	// path is the path of the settings file.
	path    string
	command *exec.Cmd
	// exited receives the error of Wait on the process. Readers put the value back, so
	// that it can be read again.
	exited chan error
}

// VM returns the address of the node's VM.
func (n *Node) VM() netip.Addr { return n.settings.VM }

// Metrics returns the address of the node's metrics.
func (n *Node) Metrics() netip.AddrPort { return n.settings.Metrics }

// Zone returns the node's availability zone.
func (n *Node) Zone() string { return string(n.settings.Zone) }

// SettingsPath returns the path of the node's settings.
func (n *Node) SettingsPath() string { return n.path }

// LogPath returns the path of the node's log; restarts append to it.
func (n *Node) LogPath() string { return strings.TrimSuffix(n.path, ".json") + ".log" }

// Service returns the service of an agent's target; it is empty for balancers.
func (n *Node) Service() string {
	if n.settings.Target == nil {
		return ""
	}
	return string(n.settings.Target.Service)
}

// Site is a running deployment.
type Site struct {
	Store  *Store
	Router *Router

	shape         Shape
	programFolder string
	// folder is the folder for settings and logs.
	folder        string
	storeServer   *http.Server
	clients       []*Client
	configVersion uint64

	mu sync.Mutex
	// nodes are the balancers and agents by name.
	nodes map[string]*Node
	// targets are the newest incarnations of targets by the name of their agent.
	targets map[string]*Target
	// lastVM is the highest host number of a VM in each zone.
	lastVM map[string]int
	// givenUp holds the keys of the flows that targets have given up.
	givenUp sync.Map
}

// Start starts a site with the executables in programFolder and returns once all
// balancers are in rotation. Settings and logs are written to folder.
func Start(shape Shape, programFolder, folder string) (*Site, error) {
	s := &Site{
		Store: NewStore(), shape: shape, programFolder: programFolder, folder: folder,
		nodes: map[string]*Node{}, targets: map[string]*Target{}, lastVM: map[string]int{},
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	listener, err := net.Listen("tcp4", s.loopbackAddress(0, 1, portStore).String())
	if err != nil {
		return err
	}
	s.storeServer = &http.Server{Handler: s.Store}
	go s.storeServer.Serve(listener)
	if s.Router, err = NewRouter(s.shape.Hash, s.loopbackAddress(0, 2, portPackets)); err != nil {
		return err
	}
	s.Configure(s.Routes()...)
	for _, service := range s.shape.Services {
		for i := range service.Targets {
			if _, err := s.AddTarget(service.Name, s.shape.Zones[i%len(s.shape.Zones)]); err != nil {
				return err
			}
		}
	}
	for _, zone := range s.shape.Zones {
		for range s.shape.Balancers {
			if _, err := s.AddBalancer(zone); err != nil {
				return err
			}
		}
	}
	return s.awaitRotation(func() bool { return s.Router.ReadyCount() == s.shape.Balancers*len(s.shape.Zones) })
}

// awaitRotation polls until complete returns true, which reports whether all
// balancers are in rotation. It fails after startTimeout.
func (s *Site) awaitRotation(complete func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		if complete() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.New("site: not all balancers were in rotation before the start timeout")
}

// loopbackAddress returns 127.OCTET.zone.host with a port. Zone 0 stands for the
// site itself, with the store on host 1 and the router on host 2. The VMs of the
// site's zones are in 1 and up, the clients of these zones in 100 and up.
func (s *Site) loopbackAddress(zone, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.shape.Octet, byte(zone), byte(host)}), port)
}

// newVM returns the address of a new VM in a zone.
func (s *Site) newVM(zone string) netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastVM[zone]++
	return s.loopbackAddress(1+slices.Index(s.shape.Zones, zone), s.lastVM[zone], 0).Addr()
}

// settings returns the settings that balancers and agents have in common.
func (s *Site) settings(name, zone string, vm netip.Addr) packetnode.Settings {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(vm, port) }
	zones := make([]model.Zone, 0, len(s.shape.Zones))
	for _, zone := range s.shape.Zones {
		zones = append(zones, model.Zone(zone))
	}
	store := s.loopbackAddress(0, 1, portStore)
	if s.shape.Gateway != nil {
		store = s.shape.Gateway(vm, store)
	}
	underlay, err := json.Marshal(platform.Settings{Address: store, TimeoutMillis: 400})
	if err != nil {
		panic("site: settings: " + err.Error())
	}
	return packetnode.Settings{
		Name: name, VM: vm, Zone: model.Zone(zone), Zones: zones, Packets: at(portPackets), Readiness: at(portReadiness),
		Metrics: at(portMetrics), Ports: []uint16{portMesh, portMesh}, Seeds: s.seeds(),
		Underlay:        packetnode.Underlay{Plugin: platform.Name, Settings: underlay},
		MemoryMegabytes: nodeMemoryMegabytes, GraceSeconds: GracePeriod.Seconds(), FlowLifetimeSeconds: flowLifetimeSeconds,
	}
}

// seeds returns the registration addresses of up to two agents, in different
// zones, through which nodes find the others until they have read the registrations
// in the store.
func (s *Site) seeds() []netip.AddrPort {
	return []netip.AddrPort{s.loopbackAddress(1, 1, portRegistration), s.loopbackAddress(min(2, len(s.shape.Zones)), 1, portRegistration)}
}

// AddBalancer starts a balancer on a new VM and adds it to the router. It does not
// wait until the balancer is ready.
func (s *Site) AddBalancer(zone string) (*Node, error) {
	vm := s.newVM(zone)
	name := fmt.Sprintf("lb-%s", vm)
	node, err := s.addNode(programBalancer, s.settings(name, zone, vm))
	if err != nil {
		return nil, err
	}
	s.Router.Add(zone, node.settings.Packets, node.settings.Readiness)
	return node, nil
}

// AddTarget starts a target and its agent on a new VM.
func (s *Site) AddTarget(service, zone string) (*Node, error) {
	vm := s.newVM(zone)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(vm, port) }
	settings := s.settings(fmt.Sprintf("%s-%s", service, vm), zone, vm)
	settings.Target = &packetnode.Target{
		Service: model.Service(service), Address: at(portTarget), Outbound: at(portOutbound), Registration: at(portRegistration),
		HeartbeatMillis: int(heartbeatInterval.Milliseconds()), ColdFactor: 1.5, ColdSlack: 5,
	}
	node, err := s.addNode(programAgent, settings)
	if err != nil {
		return nil, err
	}
	return node, s.StartTarget(node)
}

// StartTarget starts a new incarnation of an agent's target.
func (s *Site) StartTarget(node *Node) error { return s.StartTargetWithClockOffset(node, 0) }

// StartTargetWithClockOffset starts a new incarnation of an agent's target whose
// clock is ahead by the offset, or behind if that is negative.
func (s *Site) StartTargetWithClockOffset(node *Node, clockOffset time.Duration) error {
	target := node.settings.Target
	started, err := StartTarget(TargetConfig{
		Service: string(target.Service), Zone: node.Zone(), Address: target.Address, Outbound: target.Outbound,
		Registration: target.Registration, Slots: targetSlots, WarmUp: s.shape.WarmUp, ClockOffset: clockOffset,
		GaveUp: func(key flow.Key) { s.givenUp.Store(key, true) },
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[node.Name] = started
	return nil
}

// Target returns the newest incarnation of an agent's target.
func (s *Site) Target(node *Node) *Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[node.Name]
}

// addNode writes the settings file of a node and starts its process.
func (s *Site) addNode(program string, settings packetnode.Settings) (*Node, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	node := &Node{Name: settings.Name, settings: settings, program: program, path: filepath.Join(s.folder, settings.Name+".json")}
	if err := os.WriteFile(node.path, text, 0o644); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.nodes[node.Name] = node
	s.mu.Unlock()
	return node, s.StartNode(node)
}

// StartNode starts a node's process. It does not wait until the node is ready.
func (s *Site) StartNode(node *Node) error {
	log, err := os.OpenFile(node.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(s.programFolder, node.program), "--settings", node.path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	s.mu.Lock()
	defer s.mu.Unlock()
	node.command, node.exited = command, exited
	return nil
}

// Signal sends a signal to a node's process.
func (s *Site) Signal(node *Node, signal syscall.Signal) error {
	return node.command.Process.Signal(signal)
}

// End sends a signal to a node's process and waits until it exits. It returns the
// same as Wait.
func (s *Site) End(node *Node, signal syscall.Signal) error {
	if err := s.Signal(node, signal); err != nil {
		return err
	}
	return s.Wait(node)
}

// Wait waits until a node's process exits and returns nil for exit code 0, or an
// *exec.ExitError. It may be called repeatedly.
func (s *Site) Wait(node *Node) error {
	err := <-node.exited
	node.exited <- err
	return err
}

// Ended reports whether a node's process has exited.
func (s *Site) Ended(node *Node) bool { return len(node.exited) > 0 }

// PeakMemory returns the most memory that a node's present process has had, in bytes.
func (s *Site) PeakMemory(node *Node) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.command.Process.Pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); !found || err != nil {
		return 0, Error.New("no peak memory of %s: %v", node.Name, err)
	}
	return kilobytes << 10, nil
}

// Nodes returns the agents of a service, or the balancers for an empty service,
// ordered by VM address.
func (s *Site) Nodes(service string) []*Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var nodes []*Node
	for _, node := range s.nodes {
		if node.Service() == service {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(a, b *Node) int { return a.VM().Compare(b.VM()) })
	return nodes
}

// FlowTarget returns the running target that holds a flow, or nil.
func (s *Site) FlowTarget(key flow.Key) *Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range s.targets {
		if target.Holds(key) {
			return target
		}
	}
	return nil
}

// GivenUp reports whether a target has dropped a flow because its client did not acknowledge a
// packet in time.
func (s *Site) GivenUp(key flow.Key) bool {
	_, dropped := s.givenUp.Load(key)
	return dropped
}

// Address returns the address of the nth service's route; n counts from 0.
func (s *Site) Address(n int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{198, 18, 0, byte(n + 1)}, Port: 443}
}

// Routes returns the default configuration: one route for each service.
func (s *Site) Routes() []wire.Route {
	var routes []wire.Route
	for n, service := range s.shape.Services {
		routes = append(routes, s.Route(n, wire.Backend{Service: service.Name, Weight: 1}))
	}
	return routes
}

// Route returns the nth route with the given back ends.
func (s *Site) Route(n int, backends ...wire.Backend) wire.Route {
	address := s.Address(n)
	return wire.Route{
		Name: fmt.Sprintf("r-%d", n), Host: address.AddrPort().Addr().String(), Prefix: fmt.Sprintf("/%d/", address.Port),
		Type: "idempotent", TargetLatencyMillis: 250, Priority: 1, Backends: backends,
	}
}

// Configure writes a configuration with the given routes and a higher version.
// Versions need not be consecutive; here each is 3 above the previous one.
func (s *Site) Configure(routes ...wire.Route) {
	s.configVersion += 3
	config := wire.Config{Version: &s.configVersion, Limits: wire.Limits{IdleTimeoutMillis: float64(idleTimeout.Milliseconds())}}
	for _, route := range routes {
		config.Routes = append(config.Routes, mustMarshal(route))
	}
	for _, service := range s.shape.Services {
		config.Services = append(config.Services, mustMarshal(wire.Service{
			Name: service.Name, HealthCheck: healthPath, MaxFlows: maxTargetFlows, WarmUpSeconds: s.shape.WarmUp.Seconds(),
		}))
	}
	s.Store.Write(wire.KeyConfig, mustMarshal(config))
}

// Evacuate takes a zone out of service, or returns it to service.
func (s *Site) Evacuate(zone string, out bool) {
	if out {
		s.Store.Write(wire.PrefixEvacuate+zone, []byte("{}"))
		return
	}
	s.Store.Write(wire.PrefixEvacuate+zone, nil)
}

func mustMarshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic("site: " + err.Error())
	}
	return text
}

// NewClient starts the nth client of a zone; n counts from 0. Each client has its own
// address, so that every n can be used once in a zone. Close stops the client.
func (s *Site) NewClient(zone string, n int) (*Client, error) {
	address := s.loopbackAddress(100+slices.Index(s.shape.Zones, zone), n+1, portPackets)
	client, err := NewClient(zone, address, s.Router.Route)
	if err == nil {
		s.clients = append(s.clients, client)
	}
	return client, err
}

// InvalidPackets returns the number of malformed, altered or unexpected packets that
// clients and the newest incarnations of targets have received.
func (s *Site) InvalidPackets() int {
	total := 0
	for _, client := range s.clients {
		total += client.InvalidPackets()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range s.targets {
		total += target.Stats().InvalidPackets
	}
	return total
}

// Close stops all clients, targets and processes, and the router and the store.
func (s *Site) Close() {
	for _, client := range s.clients {
		client.Close()
	}
	s.mu.Lock()
	nodes, targets := s.nodes, s.targets
	s.mu.Unlock()
	for _, target := range targets {
		target.Crash()
	}
	for _, node := range nodes {
		if node.command != nil {
			node.command.Process.Kill()
			<-node.exited
		}
	}
	if s.Router != nil {
		s.Router.Close()
	}
	if s.storeServer != nil {
		s.storeServer.Close()
	}
}
