package kernel

import (
	"context"
	"encoding/json"
)

// Steps is a module that does nothing. Modules that are built in code embed it
// and replace the steps that they need.
type Steps struct{}

// Provision implements Module.
func (Steps) Provision(Env, json.RawMessage) error { return nil }

// Validate implements Module.
func (Steps) Validate() error { return nil }

// Start implements Module.
func (Steps) Start(context.Context) error { return nil }

// Drain implements Module.
func (Steps) Drain(context.Context) error { return nil }

// Stop implements Module.
func (Steps) Stop() error { return nil }
