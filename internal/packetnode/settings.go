// Package packetnode holds what the nodes of the packet path have in common:
// the balancers, which forward clients' packets to the agents, and the agents,
// one of which runs beside each target. It contains the settings, the table of
// other nodes, the datagrams between nodes, and the cached operators' state
// (the configuration and the availability zones that are out of service) with
// its verification time. The store is the platform's key-value service.
package packetnode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this package.
var Error = errs.Class("packetnode")

// maxSettings is the maximum size of the settings file, in bytes.
const maxSettings = 256 << 10

// Settings are the settings of a balancer or an agent of the packet path.
type Settings struct {
	// Name names the node in logs.
	Name string `json:"name"`
	// VM is the address of the VM, which identifies the node.
	VM netip.Addr `json:"vm"`
	// Zone is the availability zone of the VM.
	Zone model.Zone `json:"zone"`
	// Zones are all availability zones of the deployment.
	Zones []model.Zone `json:"zones"`
	// LogLevel is a logrus level; empty means "info".
	LogLevel string `json:"log_level,omitempty"`
	// Packets is the UDP address at which the fabric delivers packets. Clients
	// use the same port.
	Packets netip.AddrPort `json:"packets"`
	// Readiness is the TCP address of the fabric's readiness probe.
	Readiness netip.AddrPort `json:"readiness"`
	// Metrics is the TCP address of the admin endpoints.
	Metrics netip.AddrPort `json:"metrics"`
	// Ports are the first and the last port of the range for traffic between
	// nodes.
	Ports []uint16 `json:"ports"`
	// Seeds are addresses on VMs of some nodes, used when the store does not
	// answer.
	Seeds []netip.AddrPort `json:"seeds"`
	// Underlay selects the plug-in for the platform.
	Underlay Underlay `json:"underlay"`
	// MemoryMegabytes is the memory that the process may use, in MiB (2^20
	// bytes).
	MemoryMegabytes int `json:"memory_mb"`
	// GraceSeconds is the maximum duration of a graceful shutdown.
	GraceSeconds float64 `json:"grace_seconds"`
	// FlowLifetimeSeconds is the maximum lifetime of a flow.
	FlowLifetimeSeconds float64 `json:"flow_lifetime_seconds"`
	// Target is the target beside an agent. Balancers have none.
	Target *Target `json:"target,omitempty"`

	// path is the file that the settings were read from.
	path string
}

// Underlay selects the plug-in for the platform.
type Underlay struct {
	// Plugin is the registered name of the plug-in.
	Plugin string `json:"plugin"`
	// Settings are the settings of the plug-in.
	Settings json.RawMessage `json:"settings"`
}

// Target describes the target beside an agent.
type Target struct {
	// Service is the service of the target.
	Service model.Service `json:"service"`
	// Address is where the target receives packets (UDP) and health checks
	// (TCP).
	Address netip.AddrPort `json:"address"`
	// Outbound is the UDP address that the target sends its packets to.
	Outbound netip.AddrPort `json:"outbound"`
	// Registration is the TCP address to which the target sends its heartbeats.
	Registration netip.AddrPort `json:"registration"`
	// HeartbeatMillis is the time between two heartbeats of the target.
	HeartbeatMillis int `json:"heartbeat_ms"`
	// ColdFactor and ColdSlack limit the new flows per second of a cold target:
	// its service's configured warm-up rate times the factor, plus the slack.
	ColdFactor float64 `json:"cold_factor"`
	ColdSlack  float64 `json:"cold_slack"`
}

// Heartbeat returns the time between two heartbeats of the target.
func (t *Target) Heartbeat() time.Duration {
	return time.Duration(t.HeartbeatMillis) * time.Millisecond
}

// Grace returns the maximum duration of a graceful shutdown.
func (s *Settings) Grace() time.Duration {
	return time.Duration(s.GraceSeconds * float64(time.Second))
}

// FlowLifetime returns the maximum lifetime of a flow.
func (s *Settings) FlowLifetime() time.Duration {
	return time.Duration(s.FlowLifetimeSeconds * float64(time.Second))
}

// MeshAddress returns the address on a VM for traffic between nodes: datagrams
// over UDP and documents over TCP.
func (s *Settings) MeshAddress(vm netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(vm, s.Ports[0])
}

// LoadSettings reads and validates the settings of a balancer or agent. It does
// without the JSON schema that validates other settings, whose setup takes 7 ms
// of CPU time: too much for a process that has to be back in service quickly.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	settings, err := ParseSettings(text)
	if err != nil {
		return Settings{}, Error.New("%s: %w", path, err)
	}
	settings.path = path
	return settings, nil
}

// ParseSettings decodes and validates settings. The error lists all problems.
func ParseSettings(text []byte) (Settings, error) {
	var settings Settings
	if len(text) > maxSettings {
		return Settings{}, Error.New("%d bytes; allowed: at most %d", len(text), maxSettings)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, Error.Wrap(err)
	}
	c := &checker{}
	settings.check(c)
	return settings, c.err()
}

// checker collects the problems of settings.
type checker struct {
	problems []string
}

// add adds a problem: the value at a path of the settings is not an allowed one.
func (c *checker) add(path string, value any, allowed string) {
	c.problems = append(c.problems, fmt.Sprintf("%s: %v; allowed: %s", path, value, allowed))
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return Error.New("%s", strings.Join(c.problems, "\n"))
}

func (c *checker) address(path string, address netip.AddrPort) {
	if !address.IsValid() || !address.Addr().Is4() || address.Port() == 0 {
		c.add(path, address, "an IPv4 address and a port above 0")
	}
}

func (c *checker) positive(path string, value float64) {
	if value <= 0 {
		c.add(path, value, "more than 0")
	}
}

func (s *Settings) check(c *checker) {
	if s.Name == "" {
		c.add("name", `""`, "a name")
	}
	if !s.VM.Is4() {
		c.add("vm", s.VM, "an IPv4 address")
	}
	if !slices.Contains(s.Zones, s.Zone) {
		c.add("zone", s.Zone, fmt.Sprintf("one of zones: %v", s.Zones))
	}
	if _, err := logrus.ParseLevel(s.LogLevel); s.LogLevel != "" && err != nil {
		c.add("log_level", s.LogLevel, fmt.Sprintf("one of %v", logrus.AllLevels))
	}
	c.address("packets", s.Packets)
	c.address("readiness", s.Readiness)
	c.address("metrics", s.Metrics)
	if len(s.Ports) != 2 || s.Ports[0] == 0 || s.Ports[0] > s.Ports[1] {
		c.add("ports", s.Ports, "the first and the last port of a range")
	}
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	if names := kernel.PluginNames(kernel.KindUnderlay); !slices.Contains(names, s.Underlay.Plugin) {
		c.add("underlay.plugin", s.Underlay.Plugin, fmt.Sprintf("one of %v", names))
	}
	c.positive("memory_mb", float64(s.MemoryMegabytes))
	c.positive("grace_seconds", s.GraceSeconds)
	c.positive("flow_lifetime_seconds", s.FlowLifetimeSeconds)
	if s.Target != nil {
		s.Target.check(c)
	}
}

func (t *Target) check(c *checker) {
	if t.Service == "" {
		c.add("target.service", `""`, "a service")
	}
	c.address("target.address", t.Address)
	c.address("target.outbound", t.Outbound)
	c.address("target.registration", t.Registration)
	c.positive("target.heartbeat_ms", float64(t.HeartbeatMillis))
	if t.ColdFactor < 0 || t.ColdSlack < 0 {
		c.add("target.cold_factor and cold_slack", fmt.Sprint(t.ColdFactor, t.ColdSlack), "0 or more")
	}
}
