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

// Common is what the processes of all roles have besides their own parts.
type Common struct {
	Counters *observe.Counters
	Health   *observe.Health

	settings settings.Node
	log      *logrus.Entry
}

// NewCommon makes the common parts of a process.
func NewCommon(settings settings.Node, log *logrus.Entry) *Common {
	return &Common{
		Counters: observe.NewCounters(),
		Health:   observe.NewHealth(ConditionStarted, ConditionFresh),
		settings: settings,
		log:      log,
	}
}

// Parts returns the parts that start before a process's own. The ring and the
// other secrets are loaded anew when their files change.
func (c *Common) Parts(platformPart *kernel.Part, control *Control, ring *keys.Ring, others ...keys.Reloader) []kernel.Part {
	operators := &Operators{Addr: c.settings.Operators, Counters: c.Counters, Health: c.Health, Log: c.log}
	secrets := NewSecrets(ring, c.Counters, c.log, others...)
	parts := []kernel.Part{{Name: "operators", Module: operators}, {Name: "secrets", Module: secrets}}
	if platformPart != nil {
		parts = append(parts, *platformPart)
	}
	return append(parts, kernel.Part{Name: "control", Module: control})
}

// Options returns how the kernel runs the process.
func (c *Common) Options() kernel.Options {
	return kernel.Options{
		Log:          c.log,
		Counters:     c.Counters,
		DrainTimeout: time.Duration(c.settings.DrainSeconds * float64(time.Second)),
		Running:      func() { c.Health.MarkMet(ConditionStarted) },
		Draining:     func() { c.Health.MarkUnmet(ConditionServing, "the process is draining") },
	}
}

// FitPlatform makes the platform plug-in that the settings name. It returns
// neither a store nor a part when they name none.
func FitPlatform(settings settings.Node) (platform.Store, *kernel.Part, error) {
	if settings.Platform.Plugin == "" {
		return nil, nil, nil
	}
	store, part, err := kernel.FitPart[platform.Store](
		kernel.EdgePlatform, settings.Platform.Plugin, "node.platform.settings", settings.Platform.Settings)
	if err != nil {
		return nil, nil, err
	}
	return store, &part, nil
}
