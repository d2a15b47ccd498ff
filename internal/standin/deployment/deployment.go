// Package deployment lays out a whole deployment on the loopback addresses of
// one machine, for developers and tests: each VM has an address of its own, and
// each process its settings file.
package deployment

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("deployment")

// Shape is the size of a deployment in the users' terms.
type Shape struct {
	Name     string
	Zones    []model.Zone
	Services []ServiceShape
	// Balancers is the number of entry VMs.
	Balancers int
	// Bare adds a QUIC server without a load balancer, for comparison.
	Bare bool
	// ServiceTime is how long the targets work on a request; 0 stands for the
	// stand-in's own default.
	ServiceTime time.Duration
	// DelayMS is the time from callers to balancers, one way, in milliseconds.
	DelayMS float64
}

// ServiceShape is one service.
type ServiceShape struct {
	Name    model.Service
	Targets int
	Slots   int
}

// Shapes returns the deployments of the users by name.
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
	portFabric    = 7000
	portData      = 7001
	portControl   = 7002
	portOperators = 7003
	portRelay     = 7004
	portTarget    = 7005
	portBare      = 7444
	portPlatform  = 7006
	portService   = 7443
)

// The third octet of the VMs' addresses by what runs on them.
const (
	octetPlatform = 0
	octetFabric   = 1
	octetBalancer = 2
	octetService  = 10
)

// AddressPlan gives the addresses of one deployment, all below 127.Octet.
type AddressPlan struct {
	Octet byte
}

func (n AddressPlan) addr(third, fourth int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.Octet, byte(third), byte(fourth)}), port)
}

// Platform returns the address of the platform's stand-in.
func (n AddressPlan) Platform() netip.AddrPort { return n.addr(octetPlatform, 1, portPlatform) }

// FabricReturn returns the address to which balancers send answers.
func (n AddressPlan) FabricReturn() netip.AddrPort { return n.addr(octetFabric, 1, portFabric) }

// FabricAdmin returns the address of the fabric's health page.
func (n AddressPlan) FabricAdmin() netip.AddrPort { return n.addr(octetFabric, 1, portOperators) }

// Service returns the address that callers of a service use.
func (n AddressPlan) Service(service int) netip.AddrPort {
	return n.addr(octetFabric, octetService+service, portService)
}

// Bare returns the address of the server without a load balancer.
func (n AddressPlan) Bare() netip.AddrPort { return n.addr(octetFabric, 1, portBare) }

// balancer returns an address of a balancer.
func (n AddressPlan) balancer(number int, port uint16) netip.AddrPort {
	return n.addr(octetBalancer, 1+number, port)
}

func (n AddressPlan) server(service, number int, port uint16) netip.AddrPort {
	return n.addr(octetService+service, 1+number, port)
}

// BalancerName returns the name of a balancer.
func BalancerName(number int) model.NodeID {
	return model.NodeID(fmt.Sprintf("lb-%d", number+1))
}

// AgentName returns the name of a target's agent.
func AgentName(service model.Service, number int) model.NodeID {
	return model.NodeID(fmt.Sprintf("%s-%d", service, number+1))
}
