package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/observe"
)

// secretsCheckInterval is the time between two checks whether files have changed.
const secretsCheckInterval = 10 * time.Second

// Secrets is the module that reloads certificates and keys when their files
// change.
type Secrets struct {
	kernel.NopModule
	watcher *keys.Watcher
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewSecrets returns a Secrets module for the keyring and the other secrets. It
// also exports the time until the process's own certificate expires as a gauge.
func NewSecrets(keyring *keys.Keyring, metrics *observe.MetricSet, log *logrus.Entry, others ...keys.Reloader) *Secrets {
	metrics.GaugeFunc("certificate_expires_seconds", "Seconds until the process's own certificate expires.", func() int64 {
		return int64(time.Until(keyring.Expires()) / time.Second)
	})
	items := append(keyring.Reloaders(), others...)
	return &Secrets{watcher: keys.NewWatcher(log, metrics, nil, items...)}
}

// Start implements kernel.Module.
func (s *Secrets) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() { s.watcher.Run(ctx, secretsCheckInterval) })
	return nil
}

// Stop implements kernel.Module.
func (s *Secrets) Stop() error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	s.running.Wait()
	return nil
}
