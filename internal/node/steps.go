// Package node holds what balancers and agents have in common: the operators'
// server, the control connection to the other nodes, and the operators'
// documents. Each is a module of the kernel.
package node

import "github.com/zeebo/errs"

// Error is the class of all errors of this layer.
var Error = errs.Class("node")
