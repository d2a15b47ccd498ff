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
	// ConditionStarted holds once all parts have started.
	ConditionStarted = "started"
	// ConditionFresh holds while the newest documents are known for certain.
	ConditionFresh = "fresh"
	// ConditionServing holds until the process drains.
	ConditionServing = "serving"
)

const operatorsCloseTime = time.Second

// Operators is the module that serves metrics and health pages.
type Operators struct {
	kernel.NopModule
	Addr     netip.AddrPort
	Counters *observe.Counters
	Health   *observe.Health
	Log      *logrus.Entry

	server *observe.Server
}

// Start implements kernel.Module.
func (o *Operators) Start(context.Context) error {
	server, err := observe.StartServer(o.Addr, o.Counters, o.Health, o.Log)
	if err != nil {
		return Error.Wrap(err)
	}
	o.server = server
	return nil
}

// Stop implements kernel.Module.
func (o *Operators) Stop() error {
	if o.server == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorsCloseTime)
	defer cancel()
	return Error.Wrap(o.server.Close(ctx))
}
