package agent

import (
	"context"
	"reflect"
	"time"

	"go.uber.org/zap"
)

// reloadInterval is how often the settings are read without a signal, half of the time in which a change must be in force.
const reloadInterval = time.Second

// reloadLoop reads the settings again at each signal and each reloadInterval until the context ends.
func (a *Agent) reloadLoop(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.reloadSignal:
			a.reload("signal")
		case <-ticker.C:
			a.reload("file")
		}
	}
}

// reload applies the settings that may change while the process runs: bounds and seeds. A change of the listening addresses needs a restart.
func (a *Agent) reload(cause string) {
	if a.loadSettings == nil {
		return
	}
	next, err := a.loadSettings()
	if err != nil {
		a.log.Error("cannot reload the settings", zap.String("cause", cause), zap.Error(err))
		return
	}
	a.mu.Lock()
	changed := !reflect.DeepEqual(a.loadedSettings, next)
	if changed {
		a.loadedSettings = next
		a.settings.Bounds, a.settings.Seeds = next.Bounds, next.Seeds
	}
	a.mu.Unlock()
	if changed || cause == "signal" {
		a.log.Info("reloaded", zap.String("cause", cause), zap.Bool("changed", changed))
	}
}
