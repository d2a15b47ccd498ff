package packetnode

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadInterval is the time between two checks of the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed.
// Invalid settings are logged and have no effect.
func (b *Base) watchSettings(ctx context.Context, apply func(Settings)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	text, _ := os.ReadFile(b.Settings.path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		newText, err := os.ReadFile(b.Settings.path)
		if err != nil {
			b.Log.WithError(err).Warn("settings_unreadable")
			continue
		}
		if !signalled && string(newText) == string(text) {
			continue
		}
		text = newText
		b.reload(signalled, apply)
	}
}

// reload applies the settings in the file. If they are invalid, or the underlay
// plug-in rejects its own, none takes effect.
func (b *Base) reload(signalled bool, apply func(Settings)) {
	log := b.Log.WithField("signalled", signalled)
	next, err := LoadSettings(b.Settings.path)
	if err == nil {
		err = b.Underlay.Reload(next.Underlay.Settings)
	}
	if err != nil {
		log.WithError(err).Error("settings_refused")
		return
	}
	if level, err := logrus.ParseLevel(next.LogLevel); err == nil {
		b.Log.Logger.SetLevel(level)
	}
	apply(next)
	log.WithField("changed", changedFields(b.Settings, next)).Info("settings_reloaded")
	b.Settings = next
}

// changedFields returns the JSON names of the settings that differ. Without a restart,
// only the log level, the plug-in's settings, the seeds and, on an agent, the target's
// heartbeat interval and cold limits take effect.
func changedFields(before, after Settings) []string {
	var changed []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if field.IsExported() && !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			changed = append(changed, field.Tag.Get("json"))
		}
	}
	return changed
}
