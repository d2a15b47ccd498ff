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
	// Name is unique in the deployment and the common name of the certificate.
	Name model.NodeID `json:"name"`
	// Zone is the availability zone that the process runs in.
	Zone model.Zone `json:"zone"`
	// Zones are all zones of the deployment. When they are given, names that
	// collide are refused.
	Zones []model.Zone `json:"zones,omitempty"`
	// LogLevel is a level of logrus; empty means "info".
	LogLevel string `json:"log_level,omitempty"`
	// Keys names the files with the secrets of this process.
	Keys keys.Files `json:"keys"`
	// Control is the TCP address for calls between the system's processes.
	Control netip.AddrPort `json:"control"`
	// Data is the UDP address for datagrams between balancers and agents.
	Data netip.AddrPort `json:"data"`
	// Admin is the TCP address of metrics and health pages.
	Admin netip.AddrPort `json:"operators"`
	// Seeds are control addresses of balancers to ask first. They are needed
	// only for a start during an outage of the platform.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// DrainSeconds is how long a graceful shutdown waits for open flows.
	DrainSeconds float64 `json:"drain_seconds"`
	// Platform is the plug-in for the platform's key-value service. Without a
	// name, documents come from peers alone.
	Platform Plugin `json:"platform"`
}

// Plugin names the plug-in fitted to an edge, with its own settings.
type Plugin struct {
	// Plugin is the registered name of the plug-in.
	Plugin string `json:"plugin"`
	// Settings are the plug-in's own.
	Settings json.RawMessage `json:"settings,omitempty"`
}

// Balancer holds the settings of balsamlb.
type Balancer struct {
	// Node is what every process of the system knows of itself.
	Node Node `json:"node"`
	// Services are all services with the addresses that callers use.
	Services []Service `json:"services"`
	// Fabric is the plug-in that takes callers' datagrams from the fabric.
	Fabric Plugin `json:"fabric"`
}

// Service is one service and the UDP address that callers send to.
type Service struct {
	// Name names the service.
	Name model.Service `json:"name"`
	// Address is what callers send to.
	Address netip.AddrPort `json:"address"`
}

// Agent holds the settings of balsamagent.
type Agent struct {
	// Node is what every process of the system knows of itself.
	Node Node `json:"node"`
	// Service is the service of the target beside this process.
	Service model.Service `json:"service"`
	// Certificate is the PEM file of the certificate that callers see.
	Certificate string `json:"certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `json:"key"`
	// Target is the plug-in that forwards requests to the target.
	Target Plugin `json:"target"`
	// Credential is the plug-in that tells the customer of a request.
	Credential Plugin `json:"credential"`
	// Relay is the TCP address at which other agents of the service hand over
	// requests.
	Relay netip.AddrPort `json:"relay"`
}

// Operator holds the settings of balsamctl.
type Operator struct {
	// Author is the name under which changes stand in the audit trail.
	Author string `json:"author" jsonschema:"minLength=1,maxLength=200"`
	// Keys names the files with the secrets of this operator.
	Keys keys.Files `json:"keys"`
	// Seeds are control addresses of balancers, for when the platform is silent.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// Platform is the plug-in for the platform's key-value service.
	Platform Plugin `json:"platform"`
}
