// Package settings holds the JSON settings of each program, mirrors them in
// structs and checks them in full.
package settings

import (
	"encoding/json"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("settings")

// Node is what every process of the system knows of itself.
type Node struct {
	Name model.NodeID `json:"name"`
	Zone model.Zone   `json:"zone"`
	// LogLevel is a level of logrus; empty means "info".
	LogLevel string     `json:"log_level,omitempty"`
	Keys     keys.Files `json:"keys"`
	// Control is the TCP address for calls between the system's processes.
	Control netip.AddrPort `json:"control"`
	// Data is the UDP address for datagrams between balancers and agents.
	Data netip.AddrPort `json:"data"`
	// Operators is the TCP address of metrics and health pages.
	Operators netip.AddrPort `json:"operators"`
	// Seeds are control addresses of balancers to ask first. They are needed
	// only for a start during an outage of the platform.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// DrainSeconds is how long a graceful shutdown waits for open flows.
	DrainSeconds float64 `json:"drain_seconds"`
	Platform     Plugin  `json:"platform"`
}

// Plugin names the plug-in fitted to an edge, with its own settings.
type Plugin struct {
	Plugin   string          `json:"plugin"`
	Settings json.RawMessage `json:"settings"`
}

// Balancer holds the settings of balsamlb.
type Balancer struct {
	Node Node `json:"node"`
	// Services are all services with the addresses that callers use.
	Services []Service `json:"services"`
	Fabric   Plugin    `json:"fabric"`
}

// Service is one service and the UDP address that callers send to.
type Service struct {
	Name    model.Service  `json:"name"`
	Address netip.AddrPort `json:"address"`
}

// Agent holds the settings of balsamagent.
type Agent struct {
	Node    Node          `json:"node"`
	Service model.Service `json:"service"`
	// Certificate and Key are the PEM files that callers of the service see.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Target      Plugin `json:"target"`
	Credential  Plugin `json:"credential"`
	// Relay is the TCP address at which other agents of the service hand over
	// requests.
	Relay netip.AddrPort `json:"relay"`
}
