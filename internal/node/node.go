// Package node holds what balancers and agents of the QUIC path have in common:
// kernel modules for the admin server, the reload of secrets and the control
// connections to other nodes, and the store of the operators' documents. Package
// packetnode is its counterpart on the packet path.
package node

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("node")
