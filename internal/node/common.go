package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/settings"
)

// Common holds the metrics, the readiness and the settings that balancers and
// agents have in common.
type Common struct {
	Metrics   *observe.MetricSet
	Readiness *observe.Readiness

	settings settings.Node
	log      *logrus.Entry
}

// NewCommon returns the common state of a process.
func NewCommon(settings settings.Node, log *logrus.Entry) *Common {
	return &Common{
		Metrics:   observe.NewMetricSet(),
		Readiness: observe.NewReadiness(ConditionStarted, ConditionFresh),
		settings:  settings,
		log:       log,
	}
}

// Parts returns the common parts of a process, in the order in which they start.
// The parts of the process's role start after them. The keyring and the other
// secrets are reloaded when their files change. The platform part may be nil.
func (c *Common) Parts(platformPart *kernel.Part, control *Control, keyring *keys.Keyring, others ...keys.Reloader) []kernel.Part {
	admin := &AdminServer{Addr: c.settings.Admin, Metrics: c.Metrics, Readiness: c.Readiness, Log: c.log}
	secrets := NewSecrets(keyring, c.Metrics, c.log, others...)
	parts := []kernel.Part{{Name: "operators", Module: admin}, {Name: "secrets", Module: secrets}}
	if platformPart != nil {
		parts = append(parts, *platformPart)
	}
	return append(parts, kernel.Part{Name: "control", Module: control})
}

// Options returns the options of kernel.Run for the process.
func (c *Common) Options() kernel.Options {
	return kernel.Options{
		Log:          c.log,
		Metrics:      c.Metrics,
		DrainTimeout: time.Duration(c.settings.DrainSeconds * float64(time.Second)),
		OnRunning:    func() { c.Readiness.MarkMet(ConditionStarted) },
		OnDraining:   func() { c.Readiness.MarkUnmet(ConditionServing, "the process is draining") },
	}
}

// NewPlatform returns the store of the platform plug-in that the settings name,
// and its part. Both are nil if the settings name none.
func NewPlatform(settings settings.Node) (platform.Store, *kernel.Part, error) {
	if settings.Platform.Plugin == "" {
		return nil, nil, nil
	}
	store, part, err := kernel.NewPart[platform.Store](
		kernel.KindPlatform, settings.Platform.Plugin, "node.platform.settings", settings.Platform.Settings)
	if err != nil {
		return nil, nil, err
	}
	return store, &part, nil
}
