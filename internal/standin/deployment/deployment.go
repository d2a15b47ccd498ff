// Package deployment writes the settings of a whole deployment for the loopback
// addresses of one machine, for developers and tests. Each simulated VM has its own
// address and each process its own settings file.
package deployment

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this package.
var Error = errs.Class("deployment")

// Shape describes the size and topology of a deployment.
type Shape struct {
	Name string
	// Zones are the availability zones. Balancers, and the targets of each service,
	// are spread over them in turn.
	Zones    []model.Zone
	Services []ServiceShape
	// Balancers is the number of balancers, each on a VM of its own.
	Balancers int
	// Bare adds an HTTP/3 server of the first service without a load balancer, as a baseline.
	Bare bool
	// ServiceTime is the service time of the targets; 0 selects the default of the
	// stand-in target.
	ServiceTime time.Duration
	// DelayMS is the one-way delay between callers and balancers, in milliseconds.
	DelayMS float64
}

// ServiceShape describes a service: the number of its targets and the slots, or
// concurrent requests, of each.
type ServiceShape struct {
	Name    model.Service
	Targets int
	Slots   int
}

// Shapes returns the example deployments by name.
func Shapes() map[string]Shape {
	return map[string]Shape{
		"endcap": {
			Name:      "endcap",
			Zones:     []model.Zone{"gauteng-a", "gauteng-b", "gauteng-c", "gauteng-d"},
			Services:  []ServiceShape{{"memberdesk", 7, 8}, {"proofroom", 4, 8}},
			Balancers: 4,
			DelayMS:   3,
		},
		"marmot": {
			Name:      "marmot",
			Zones:     []model.Zone{"taybac-a", "taybac-b", "taybac-c"},
			Services:  []ServiceShape{{"booking-feed", 7, 5}, {"map-store", 3, 5}},
			Balancers: 3,
			DelayMS:   1,
		},
	}
}

// The ports of each VM.
const (
	// portFabric is the UDP port for datagrams between the fabric and balancers.
	portFabric = 7000
	// portData is the UDP port for datagrams between balancers and agents.
	portData = 7001
	// portControl is the TCP port for calls between nodes.
	portControl = 7002
	// portAdmin is the TCP port for metrics and health checks.
	portAdmin = 7003
	// portRelay is the TCP port at which an agent takes over requests from other
	// agents of its service.
	portRelay = 7004
	// portTarget is the TCP port of a target.
	portTarget = 7005
	// portBare is the UDP port of the baseline server without a load balancer.
	portBare = 7444
	// portPlatform is the TCP port of the stand-in platform.
	portPlatform = 7006
	// portService is the UDP port that callers of a service send to.
	portService = 7443
)

// The third octet of a VM's address, which depends on its role. The VMs of the nth
// service's targets have octetService+n, where n counts from 0. Callers reach that
// service at an address of the fabric with the same number as its fourth octet.
const (
	octetPlatform = 0
	octetFabric   = 1
	octetBalancer = 2
	octetService  = 10
)

// AddressPlan assigns the addresses of a deployment, all within 127.Octet.0.0/16.
type AddressPlan struct {
	Octet byte
}

func (p AddressPlan) addr(third, fourth int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.Octet, byte(third), byte(fourth)}), port)
}

// Platform returns the address of the stand-in platform.
func (p AddressPlan) Platform() netip.AddrPort { return p.addr(octetPlatform, 1, portPlatform) }

// FabricReturn returns the address that balancers send datagrams for callers to.
func (p AddressPlan) FabricReturn() netip.AddrPort { return p.addr(octetFabric, 1, portFabric) }

// FabricAdmin returns the address of the fabric's /readyz.
func (p AddressPlan) FabricAdmin() netip.AddrPort { return p.addr(octetFabric, 1, portAdmin) }

// Service returns the address that callers of the nth service send to.
func (p AddressPlan) Service(n int) netip.AddrPort {
	return p.addr(octetFabric, octetService+n, portService)
}

// Bare returns the address of the baseline server without a load balancer.
func (p AddressPlan) Bare() netip.AddrPort { return p.addr(octetFabric, 1, portBare) }

// balancer returns the address of a port of a balancer; number counts from 0.
func (p AddressPlan) balancer(number int, port uint16) netip.AddrPort {
	return p.addr(octetBalancer, 1+number, port)
}

// target returns the address of a port of a VM with an agent and a target of the
// given service; both numbers count from 0.
func (p AddressPlan) target(service, number int, port uint16) netip.AddrPort {
	return p.addr(octetService+service, 1+number, port)
}

// BalancerName returns the node ID of a balancer; number counts from 0.
func BalancerName(number int) model.NodeID {
	return model.NodeID(fmt.Sprintf("lb-%d", number+1))
}

// AgentName returns the node ID of the agent of a service's target; number counts
// from 0.
func AgentName(service model.Service, number int) model.NodeID {
	return model.NodeID(fmt.Sprintf("%s-%d", service, number+1))
}
