// Command balsamctl is the operators' tool: it edits the customer and plan
// documents, takes availability zones and targets out of service, and shows the
// audit trail, the billing forecast, the state of the nodes and, on the packet path,
// how a flow is forwarded.
package main

import (
	"os"

	"github.com/balsamlink/balsamlink/internal/operator/ctl"

	_ "github.com/balsamlink/balsamlink/internal/platform/httpkv"
)

func main() {
	os.Exit(ctl.Main(os.Args, os.Stdout, os.Stderr))
}
