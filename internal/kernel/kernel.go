// Package kernel is the small core that plug-ins register themselves with. It
// knows their names and their life cycle and nothing of their work.
package kernel

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/observe"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("kernel")

// Edge names a place where plug-ins are fitted.
type Edge string

// The edges of the system.
const (
	EdgePlatform   Edge = "platform"
	EdgeFabric     Edge = "fabric"
	EdgeTarget     Edge = "target"
	EdgeCredential Edge = "credential"
	EdgeUnderlay   Edge = "underlay"
)

// Module is one fitted plug-in. The kernel calls the methods in the order in
// which they stand here. Stop is called even when an earlier step failed, and
// while a Start or Drain that outlived its context still runs.
type Module interface {
	// Provision decodes the module's own part of the settings.
	Provision(env Env, settings json.RawMessage) error
	// Validate checks the settings and opens nothing.
	Validate() error
	// Start opens what the module needs and begins its work. The context ends
	// when all modules have started, so the work must not depend on it.
	Start(ctx context.Context) error
	// Drain stops taking new work and returns when the open work has ended or
	// the context has.
	Drain(ctx context.Context) error
	// Stop ends all work and frees everything.
	Stop() error
}

// Env is what a module may use of its process.
type Env struct {
	Log *logrus.Entry
	// Counters is the set that the module adds its metrics to.
	Counters *observe.Counters
	// Path is where the module's settings stand in the settings file, as in
	// "node.platform.settings". It begins the path of each problem.
	Path string
	// Fail ends the process because the module can't go on. It never blocks and
	// may be called from any goroutine.
	Fail func(err error)
}

// Plugin describes a plug-in to the kernel.
type Plugin struct {
	Edge Edge
	Name string
	// New returns a module that has not been provisioned.
	New func() Module
}

var registry = map[Edge]map[string]Plugin{}

// Register adds a plug-in. It is called from init functions only, and panics
// when the name is taken.
func Register(plugin Plugin) {
	names := registry[plugin.Edge]
	if names == nil {
		names = map[string]Plugin{}
		registry[plugin.Edge] = names
	}
	if _, taken := names[plugin.Name]; taken {
		panic(fmt.Sprintf("kernel: plug-in %s.%s is registered twice", plugin.Edge, plugin.Name))
	}
	names[plugin.Name] = plugin
}

// Names returns the registered plug-ins of an edge in order.
func Names(edge Edge) []string {
	var names []string
	for name := range registry[edge] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Fit makes a module of the named plug-in that implements T.
func Fit[T any](edge Edge, name string) (T, Module, error) {
	var none T
	plugin, known := registry[edge][name]
	if !known {
		return none, nil, Error.New("%s plug-in %q is not known; allowed: %v", edge, name, Names(edge))
	}
	module := plugin.New()
	fitted, ok := module.(T)
	if !ok {
		return none, nil, Error.New("%s plug-in %q does not implement %T", edge, name, (*T)(nil))
	}
	return fitted, module, nil
}
