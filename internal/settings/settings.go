// Package settings defines the JSON settings of the programs as structs, loads
// and validates them. Those of the packet path's programs, balsampktlb and
// balsampktagent, are in package packetnode.
package settings

import (
	"encoding/json"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Node holds the settings that balancers and agents have in common.
type Node struct {
	// Name is unique in the deployment and the common name of the certificate.
	Name model.NodeID `json:"name"`
	// Zone is the availability zone that the process runs in.
	Zone model.Zone `json:"zone"`
	// Zones are all availability zones of the deployment. If they are given,
	// they must include Zone, and repeated names and names with the same 16-bit
	// hash, which connection IDs contain, are rejected.
	Zones []model.Zone `json:"zones,omitempty"`
	// LogLevel is a logrus log level; empty means "info".
	LogLevel string `json:"log_level,omitempty"`
	// Keys names the files with the secrets of this process.
	Keys keys.Files `json:"keys"`
	// Control is the TCP address for calls between the system's processes.
	Control netip.AddrPort `json:"control"`
	// Data is the UDP address for datagrams between balancers and agents.
	Data netip.AddrPort `json:"data"`
	// Admin is the TCP address that serves metrics and health checks.
	Admin netip.AddrPort `json:"operators"`
	// Seeds are control addresses of balancers to contact first. They are needed
	// only to start during an outage of the platform.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// DrainSeconds is how long a graceful shutdown waits for open flows.
	DrainSeconds float64 `json:"drain_seconds"`
	// Platform is the plug-in for the platform's key-value service. If it names
	// no plug-in, documents come from peers only.
	Platform Plugin `json:"platform"`
}

// Plugin selects a plug-in by name and holds its settings.
type Plugin struct {
	// Plugin is the registered name of the plug-in.
	Plugin string `json:"plugin"`
	// Settings are the settings of the plug-in.
	Settings json.RawMessage `json:"settings,omitempty"`
}

// Balancer holds the settings of balsamlb.
type Balancer struct {
	// Node holds the settings that balancers and agents have in common.
	Node Node `json:"node"`
	// Services are all services with the addresses that callers send to.
	Services []Service `json:"services"`
	// Fabric is the plug-in that receives callers' datagrams from the network
	// fabric.
	Fabric Plugin `json:"fabric"`
}

// Service is one service and the UDP address that callers send to.
type Service struct {
	// Name is the name of the service.
	Name model.Service `json:"name"`
	// Address is the UDP address that callers send to.
	Address netip.AddrPort `json:"address"`
}

// Agent holds the settings of balsamagent.
type Agent struct {
	// Node holds the settings that balancers and agents have in common.
	Node Node `json:"node"`
	// Service is the service of the target beside this process.
	Service model.Service `json:"service"`
	// Certificate is the PEM file of the certificate presented to callers.
	Certificate string `json:"certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `json:"key"`
	// Target is the plug-in that forwards requests to the target.
	Target Plugin `json:"target"`
	// Credential is the plug-in that identifies the customer of a request.
	Credential Plugin `json:"credential"`
	// Relay is the TCP address to which other agents of the service hand over
	// requests.
	Relay netip.AddrPort `json:"relay"`
}

// Operator holds the settings of balsamctl.
type Operator struct {
	// Author is the name recorded for changes in the audit trail.
	Author string `json:"author" jsonschema:"minLength=1,maxLength=200"`
	// Keys names the files with the secrets of this operator.
	Keys keys.Files `json:"keys"`
	// Seeds are control addresses of balancers, used when the platform does not
	// answer.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// Platform is the plug-in for the platform's key-value service.
	Platform Plugin `json:"platform"`
}
