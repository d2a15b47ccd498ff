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

const secretsInterval = 10 * time.Second

// Secrets is the module that loads certificates and keys anew when their files
// change.
type Secrets struct {
	kernel.NopModule
	watcher *keys.Watcher
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewSecrets makes the module. The process's own certificate is shown in the
// metrics with the time until it expires.
func NewSecrets(ring *keys.Keyring, counters *observe.Counters, log *logrus.Entry, others ...keys.Reloader) *Secrets {
	counters.GaugeFunc("certificate_expires_seconds", "Seconds until the process's own certificate expires.", func() int64 {
		return int64(time.Until(ring.Expires()) / time.Second)
	})
	items := append(ring.Reloaders(), others...)
	return &Secrets{watcher: keys.NewWatcher(log, counters, nil, items...)}
}

// Start implements kernel.Module.
func (s *Secrets) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() { s.watcher.Run(ctx, secretsInterval) })
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
