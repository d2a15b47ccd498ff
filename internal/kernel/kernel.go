// Package kernel holds the registry of plug-ins and runs the modules of a
// process through their lifecycle. It depends on no plug-in.
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

// Error is the class of all errors of this package.
var Error = errs.Class("kernel")

// PluginKind names an extension point. All plug-ins of a kind implement the same
// interface and are alternatives to each other.
type PluginKind string

// The kinds of plug-ins.
const (
	// KindPlatform is for clients of the platform's key-value service.
	KindPlatform PluginKind = "platform"
	// KindFabric is for connections to the network fabric, which delivers callers'
	// datagrams.
	KindFabric PluginKind = "fabric"
	// KindTarget is for clients that forward requests to a target.
	KindTarget PluginKind = "target"
	// KindCredential is for ways to identify the customer of a request.
	KindCredential PluginKind = "credential"
	// KindUnderlay is for adapters to the platform that the packet path runs on.
	KindUnderlay PluginKind = "underlay"
)

// Module is a component of a process with a lifecycle: an instance of a plug-in
// or one built in code. The kernel calls the methods in the order of their
// declaration. It calls Stop even if an earlier step failed, and even while a
// Start or Drain that did not return after the end of its context still runs.
type Module interface {
	// Provision decodes the module's own settings.
	Provision(env Env, settings json.RawMessage) error
	// Validate checks the settings without acquiring resources.
	Validate() error
	// Start acquires the module's resources and begins its work. The context ends
	// when all modules have started, so background work must not depend on it.
	Start(ctx context.Context) error
	// Drain stops accepting new work and returns when the open work is done or
	// the context has ended.
	Drain(ctx context.Context) error
	// Stop ends all work and releases all resources.
	Stop() error
}

// Env is the part of a process's environment that a module may use.
type Env struct {
	Log *logrus.Entry
	// Metrics is the set that the module adds its metrics to.
	Metrics *observe.MetricSet
	// Path is the position of the module's settings in the settings file, for
	// example "node.platform.settings". It prefixes the path of each problem.
	Path string
	// Fail shuts the process down gracefully because the module can't continue.
	// It never blocks and may be called from any goroutine.
	Fail func(err error)
}

// Plugin is an entry of the registry. Kind and Name identify it.
type Plugin struct {
	Kind PluginKind
	Name string
	// New returns an unprovisioned module.
	New func() Module
}

var registry = map[PluginKind]map[string]Plugin{}

// Register adds a plug-in to the registry. It may only be called from init
// functions and panics if the kind already has a plug-in of that name.
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

// PluginNames returns the sorted names of the registered plug-ins of a kind.
func PluginNames(kind PluginKind) []string {
	var names []string
	for name := range registry[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NewModule returns an unprovisioned module of the named plug-in, as T and as a
// Module. It fails if the plug-in is unknown or does not implement T.
func NewModule[T any](kind PluginKind, name string) (T, Module, error) {
	var zero T
	plugin, known := registry[kind][name]
	if !known {
		return zero, nil, Error.New("%s plug-in %q is not known; allowed: %v", kind, name, PluginNames(kind))
	}
	module := plugin.New()
	instance, ok := module.(T)
	if !ok {
		return zero, nil, Error.New("%s plug-in %q does not implement %T", kind, name, (*T)(nil))
	}
	return instance, module, nil
}
