package kernel

import (
	"context"
	"encoding/json"
)

// NopModule is a Module whose steps do nothing. Modules that are created
// directly, not by the name of a plug-in, embed it and override the steps that they
// need.
type NopModule struct{}

// Provision implements Module.
func (NopModule) Provision(Env, json.RawMessage) error { return nil }

// Validate implements Module.
func (NopModule) Validate() error { return nil }

// Start implements Module.
func (NopModule) Start(context.Context) error { return nil }

// Drain implements Module.
func (NopModule) Drain(context.Context) error { return nil }

// Stop implements Module.
func (NopModule) Stop() error { return nil }
