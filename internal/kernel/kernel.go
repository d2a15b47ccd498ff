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

// PluginKind names a place where plug-ins are fitted.
type PluginKind string

// The edges of the system.
const (
	KindPlatform   PluginKind = "platform"
	KindFabric     PluginKind = "fabric"
	KindTarget     PluginKind = "target"
	KindCredential PluginKind = "credential"
	KindUnderlay   PluginKind = "underlay"
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
	Kind PluginKind
	Name string
	// New returns a module that has not been provisioned.
	New func() Module
}

var registry = map[PluginKind]map[string]Plugin{}

// Register adds a plug-in. It is called from init functions only, and panics
// when the name is taken.
func Register(plugin Plugin) {
	names := registry[plugin.Kind]
	if names == nil {
		names = map[string]Plugin{}
		registry[plugin.Kind] = names
	}
	if _, taken := names[plugin.Name]; taken {
		panic(fmt.Sprintf("kernel: plug-in %s.%s is registered twice", plugin.Kind, plugin.Name))
	}
	names[plugin.Name] = plugin
}

// PluginNames returns the registered plug-ins of an edge in order.
func PluginNames(edge PluginKind) []string {
	var names []string
	for name := range registry[edge] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NewModule makes a module of the named plug-in that implements T.
func NewModule[T any](edge PluginKind, name string) (T, Module, error) {
	var none T
	plugin, known := registry[edge][name]
	if !known {
		return none, nil, Error.New("%s plug-in %q is not known; allowed: %v", edge, name, PluginNames(edge))
	}
	module := plugin.New()
	fitted, ok := module.(T)
	if !ok {
		return none, nil, Error.New("%s plug-in %q does not implement %T", edge, name, (*T)(nil))
	}
	return fitted, module, nil
}
