package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/observe"
)

// The conditions of readiness.
const (
	// ConditionStarted is met once all parts have started.
	ConditionStarted = "started"
	// ConditionFresh is met on a balancer while cluster.Node.Fresh reports that
	// its out-of-service document was recently known to be the newest one, and on
	// an agent while a balancer is known.
	ConditionFresh = "fresh"
	// ConditionServing is met until the process drains.
	ConditionServing = "serving"
)

// adminCloseTimeout is the time for open requests to end when the server closes.
const adminCloseTimeout = time.Second

// AdminServer is the module that serves metrics and health checks over HTTP.
type AdminServer struct {
	kernel.NopModule
	Addr      netip.AddrPort
	Metrics   *observe.MetricSet
	Readiness *observe.Readiness
	Log       *logrus.Entry

	server *observe.Server
}

// Start implements kernel.Module.
func (a *AdminServer) Start(context.Context) error {
	server, err := observe.StartServer(a.Addr, a.Metrics, a.Readiness, a.Log)
	if err != nil {
		return Error.Wrap(err)
	}
	a.server = server
	return nil
}

// Stop implements kernel.Module.
func (a *AdminServer) Stop() error {
	if a.server == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
	defer cancel()
	return Error.Wrap(a.server.Close(ctx))
}
