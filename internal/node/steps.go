// Package node holds what balancers and agents have in common: the operators'
// server, the control connection to the other nodes, and the operators'
// documents. Each is a module of the kernel.
package node

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/kernel"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("node")

// Steps is a module that does nothing. Modules that are built in code embed it
// and replace the steps that they need.
type Steps struct{}

// Provision implements kernel.Module.
func (Steps) Provision(kernel.Env, json.RawMessage) error { return nil }

// Validate implements kernel.Module.
func (Steps) Validate() error { return nil }

// Start implements kernel.Module.
func (Steps) Start(context.Context) error { return nil }

// Drain implements kernel.Module.
func (Steps) Drain(context.Context) error { return nil }

// Stop implements kernel.Module.
func (Steps) Stop() error { return nil }
