package deployment

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"

	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/fabric/proxyv2"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform/httpkv"
	"github.com/balsamlink/balsamlink/internal/settings"
	"github.com/balsamlink/balsamlink/internal/standin/fabric"
	"github.com/balsamlink/balsamlink/internal/target/http1"
)

// Process is a process of a deployment.
type Process struct {
	Name    string   `json:"name"`
	Program string   `json:"program"`
	Args    []string `json:"args"`
	// Ready is the TCP address that serves /readyz; the zero value when the process
	// has none.
	Ready netip.AddrPort `json:"ready,omitzero"`
	// Zone is the availability zone of the VM; empty outside of zones.
	Zone model.Zone `json:"zone,omitempty"`
}

// Layout lists the processes and addresses of a deployment that Write wrote. It is
// the content of layout.json.
type Layout struct {
	// Shape is the name of the deployment's Shape.
	Shape string `json:"shape"`
	// Folder is the absolute path of the folder with all files of the deployment.
	Folder string `json:"folder"`
	// Authority is the path of the certificate authority of the services.
	Authority string           `json:"authority"`
	Services  []ServiceAddress `json:"services"`
	// Platform is the address of the stand-in platform.
	Platform netip.AddrPort `json:"platform"`
	// Bare is the address of the baseline server without a load balancer, if any.
	Bare netip.AddrPort `json:"bare,omitzero"`
	// Seeds are the control addresses of the balancers, which nodes and operators
	// contact first.
	Seeds []netip.AddrPort `json:"seeds"`
	// Tokens are the bearer tokens of the deployment's customers.
	Tokens []string `json:"tokens,omitempty"`
	// Processes are in starting order.
	Processes []Process `json:"processes"`
}

// ServiceAddress holds the address that callers of a service send to and the
// addresses of its targets.
type ServiceAddress struct {
	Name    model.Service    `json:"name"`
	Address netip.AddrPort   `json:"address"`
	Targets []netip.AddrPort `json:"targets"`
}

// OperatorName is the name of the operator: the author of changes and the name of
// its certificate.
const OperatorName = "operator"

// FileOperator is the name of the settings file of balsamctl.
const FileOperator = "operator.json"

// drainSeconds is how long a stopping process waits for open flows to end.
const drainSeconds = 20

// writer writes the files of a deployment. It keeps the first error and continues.
type writer struct {
	shape     Shape
	addresses AddressPlan
	folder    string
	layout    Layout
	err       error
}

// Write writes all files of a deployment to a folder, which it creates if missing:
// certificates, settings, the initial documents and layout.json.
func Write(shape Shape, addresses AddressPlan, folder string) (Layout, error) {
	absolute, err := filepath.Abs(folder)
	if err != nil {
		return Layout{}, Error.Wrap(err)
	}
	if err := os.MkdirAll(absolute, 0o755); err != nil {
		return Layout{}, Error.Wrap(err)
	}
	w := &writer{shape: shape, addresses: addresses, folder: absolute}
	w.layout = Layout{Shape: shape.Name, Folder: absolute, Authority: w.path(devcerts.FileServiceAuthority), Tokens: Tokens()}
	w.writeCertificates()
	w.addPlatform()
	w.writeOperator()
	w.addFabric()
	w.addTargets()
	w.addBalancers()
	w.addAgents()
	w.addBare()
	w.writeJSON("layout.json", w.layout)
	return w.layout, w.err
}

func (w *writer) path(name string) string { return filepath.Join(w.folder, name) }

// writeJSON writes a file, as indented JSON, that only its owner can read.
func (w *writer) writeJSON(name string, value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		w.setError(err)
		return
	}
	w.setError(os.WriteFile(w.path(name), append(text, '\n'), 0o600))
}

// setError keeps an error unless there is an earlier one; nil has no effect.
func (w *writer) setError(err error) {
	if w.err == nil {
		w.err = Error.Wrap(err)
	}
}

// writeCertificates writes the keys and certificates of the operator, of all nodes
// and of all services.
func (w *writer) writeCertificates() {
	request := devcerts.Request{Directory: w.folder, Nodes: []string{OperatorName}}
	for number := range w.shape.Balancers {
		request.Nodes = append(request.Nodes, string(BalancerName(number)))
	}
	for _, service := range w.shape.Services {
		request.Services = append(request.Services, string(service.Name))
		for number := range service.Targets {
			request.Nodes = append(request.Nodes, string(AgentName(service.Name, number)))
		}
	}
	w.setError(devcerts.Generate(request))
}

func (w *writer) addPlatform() {
	w.layout.Platform = w.addresses.Platform()
	w.addProcess(Process{
		Name: "platform", Program: "balsamdev",
		Args: []string{"platform", "--listen", w.addresses.Platform().String()},
	})
}

// platformSettings returns the settings of a caller's client of the platform.
func (w *writer) platformSettings(caller string) httpkv.Settings {
	return httpkv.Settings{Addresses: []netip.AddrPort{w.addresses.Platform()}, Caller: caller}
}

// The rate and the burst of calls to the platform that a balancer may make. They
// suffice for a balancer that owns all shards of the allowance ledger, in which
// balancers record the customers' use of their allowances.
const (
	balancerCallsPerSecond = 200
	balancerCallBurst      = 200
)

func (w *writer) balancerPlatformSettings(caller string) httpkv.Settings {
	config := w.platformSettings(caller)
	config.CallsPerSecond = balancerCallsPerSecond
	config.CallBurst = balancerCallBurst
	return config
}

// writeOperator writes the settings of balsamctl and the initial documents.
func (w *writer) writeOperator() {
	for number := range w.shape.Balancers {
		w.layout.Seeds = append(w.layout.Seeds, w.addresses.balancer(number, portControl))
	}
	w.writeJSON(FileOperator, settings.Operator{
		Author:   OperatorName,
		Keys:     devcerts.NodeFiles("", OperatorName),
		Seeds:    w.layout.Seeds,
		Platform: plugin("httpkv", w.platformSettings(OperatorName)),
	})
	var services []model.Service
	for _, service := range w.shape.Services {
		services = append(services, service.Name)
	}
	for _, content := range InitialDocuments(services) {
		w.writeJSON(content.Kind().String()+".json", content)
	}
}

// addFabric writes the settings of the stand-in fabric and adds its process, and
// adds the services to the layout.
func (w *writer) addFabric() {
	config := fabric.Settings{
		Listen:  w.addresses.FabricReturn(),
		DelayMS: w.shape.DelayMS,
		Admin:   w.addresses.FabricAdmin(),
	}
	for i, service := range w.shape.Services {
		config.Services = append(config.Services, w.addresses.Service(i))
		address := ServiceAddress{Name: service.Name, Address: w.addresses.Service(i)}
		for number := range service.Targets {
			address.Targets = append(address.Targets, w.addresses.target(i, number, portTarget))
		}
		w.layout.Services = append(w.layout.Services, address)
	}
	for number := range w.shape.Balancers {
		config.Members = append(config.Members, fabric.Member{
			Fabric: w.addresses.balancer(number, portFabric),
			Ready:  w.addresses.balancer(number, portAdmin),
		})
	}
	w.writeJSON("fabric.json", config)
	w.addProcess(Process{
		Name: "fabric", Program: "balsamdev", Ready: w.addresses.FabricAdmin(),
		Args: []string{"fabric", "--settings", w.path("fabric.json")},
	})
}

func (w *writer) addTargets() {
	for i, service := range w.shape.Services {
		for number := range service.Targets {
			w.addProcess(Process{
				Name: "target-" + string(AgentName(service.Name, number)), Program: "balsamdev",
				Args: w.targetArgs(w.addresses.target(i, number, portTarget), service.Slots),
				Zone: w.zoneOf(number),
			})
		}
	}
}

func (w *writer) targetArgs(listen netip.AddrPort, slots int) []string {
	arguments := []string{"target", "--listen", listen.String(), "--slots", strconv.Itoa(slots)}
	if w.shape.ServiceTime > 0 {
		arguments = append(arguments, "--service", w.shape.ServiceTime.String())
	}
	return arguments
}

func (w *writer) addBalancers() {
	for number := range w.shape.Balancers {
		at := func(port uint16) netip.AddrPort { return w.addresses.balancer(number, port) }
		name := BalancerName(number)
		balancer := settings.Balancer{
			Node: w.nodeSettings(name, w.zoneOf(number), at),
			Fabric: plugin(proxyv2.Name, proxyv2.Settings{
				Listen: at(portFabric),
				Fabric: []netip.AddrPort{w.addresses.FabricReturn()},
			}),
		}
		for i, service := range w.shape.Services {
			balancer.Services = append(balancer.Services, settings.Service{Name: service.Name, Address: w.addresses.Service(i)})
		}
		balancer.Node.Platform = plugin("httpkv", w.balancerPlatformSettings(string(name)))
		w.addNode(name, "balsamlb", balancer, balancer.Node)
	}
}

func (w *writer) addAgents() {
	for i, service := range w.shape.Services {
		for number := range service.Targets {
			at := func(port uint16) netip.AddrPort { return w.addresses.target(i, number, port) }
			name := AgentName(service.Name, number)
			certificate, key := devcerts.ServiceFiles("", string(service.Name))
			agent := settings.Agent{
				Node:        w.nodeSettings(name, w.zoneOf(number), at),
				Service:     service.Name,
				Certificate: certificate,
				Key:         key,
				Target:      plugin("http1", http1.Settings{Address: at(portTarget), Slots: service.Slots}),
				Relay:       at(portRelay),
				Credential:  plugin("bearer", struct{}{}),
			}
			w.addNode(name, "balsamagent", agent, agent.Node)
		}
	}
}

func (w *writer) addBare() {
	if !w.shape.Bare {
		return
	}
	certificate, key := devcerts.ServiceFiles(w.folder, string(w.shape.Services[0].Name))
	w.layout.Bare = w.addresses.Bare()
	w.addProcess(Process{
		Name: "bare", Program: "balsamdev",
		Args: []string{"bare", "--listen", w.addresses.Bare().String(), "--certificate", certificate, "--key", key},
	})
}

// addNode writes the settings file of a balancer or agent and adds its process.
// node is the part of config that both kinds have in common.
func (w *writer) addNode(name model.NodeID, program string, config any, node settings.Node) {
	file := string(name) + ".json"
	w.writeJSON(file, config)
	w.addProcess(Process{
		Name: string(name), Program: program, Zone: node.Zone, Ready: node.Admin,
		Args: []string{"--settings", w.path(file)},
	})
}

// nodeSettings returns the settings that balancers and agents have in common. at
// returns the address of a port of the node's VM.
func (w *writer) nodeSettings(name model.NodeID, zone model.Zone, at func(uint16) netip.AddrPort) settings.Node {
	node := settings.Node{
		Name: name, Zone: zone,
		Keys:    devcerts.NodeFiles("", string(name)),
		Control: at(portControl), Data: at(portData), Admin: at(portAdmin),
		DrainSeconds: drainSeconds,
		Seeds:        w.layout.Seeds,
		Platform:     plugin("httpkv", w.platformSettings(string(name))),
	}
	return node
}

// zoneOf returns the zone of a balancer, or of a target of a service, by its number.
func (w *writer) zoneOf(number int) model.Zone { return w.shape.Zones[number%len(w.shape.Zones)] }

func (w *writer) addProcess(process Process) {
	w.layout.Processes = append(w.layout.Processes, process)
}

func plugin(name string, value any) settings.Plugin {
	text, err := json.Marshal(value)
	if err != nil {
		panic("deployment: encoding the settings of a plug-in: " + err.Error())
	}
	return settings.Plugin{Plugin: name, Settings: text}
}
