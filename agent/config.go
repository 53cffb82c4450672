package agent

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/zones"
)

// Timeouts and pauses of calls to the store.
const (
	// storeTimeout bounds a call to the store that does not poll; a slow store takes 250 ms.
	storeTimeout = 1200 * time.Millisecond
	// operatorPoll is how long a read waits for new records of operators. If the connection stops responding, a configuration change is delayed by this long, which is half of the time in which the change must be in force.
	operatorPoll = 1000 * time.Millisecond
	// pollSlack is how much longer than its poll a read may take.
	pollSlack = 500 * time.Millisecond
	// retryPause is the pause before a failed call to the store is retried.
	retryPause = 200 * time.Millisecond
)

// tailOperators reads the operators' topic and applies its records.
func (a *Agent) tailOperators(ctx context.Context) {
	for ctx.Err() == nil {
		poll := operatorPoll
		if a.storeLost() {
			// A read that does not wait shows soonest that the store answers again.
			poll = 0
		}
		if _, err := a.readOperators(poll, operatorPoll+pollSlack); err != nil {
			sleep(ctx, retryPause)
		}
	}
}

// readOperators applies what operators have written since the last read, and reports whether that is all. If there is nothing, the read waits up to poll for the first record. Reads may overlap, because a record never undoes a later one.
func (a *Agent) readOperators(poll, timeout time.Duration) (bool, error) {
	began, next := a.clock.Now(), a.operatorOffset.Load()
	var batch platform.UpdateBatch
	var err error
	if next < 0 {
		batch, err = a.store.LatestOperatorUpdates(storeTimeout + a.link.pageTime())
	} else {
		batch, err = a.store.ReadOperatorUpdates(next, poll, timeout+a.link.pageTime())
	}
	a.meters.storeReads.Inc(1)
	var expired *platform.ExpiredError
	switch {
	case errors.As(err, &expired):
		a.operatorOffset.Store(-1)
		return false, nil
	case err != nil:
		a.recordStoreFailure("read of the operators' topic", err)
		return false, err
	}
	a.recordStoreAnswer()
	for _, u := range batch.Updates {
		// A failed update is logged, and the state before it stays in force.
		_ = a.guard("a record of operators", func() { a.applyOperatorUpdate(u) })
	}
	changed := a.foldEvacuations(batch, next < 0)
	a.operatorOffset.CompareAndSwap(next, batch.NextOffset)
	whole := batch.NextOffset >= batch.EndOffset
	if whole {
		storeLater(&a.operatorsReadAt, int64(began))
	}
	if h := a.activeHolder(); h != nil && (whole || changed) {
		h.applyEvacuations()
	}
	return whole, nil
}

// applyOperatorUpdate applies a configuration or a maintenance wave, or logs a record that is neither.
func (a *Agent) applyOperatorUpdate(u platform.Update) {
	switch u := u.(type) {
	case platform.ConfigUpdate:
		a.applyConfig(&configState{config: u.Config, raw: u.Raw, offset: u.Offset}, "store")
	case platform.MalformedUpdate:
		a.logMalformed("cannot decode a record of operators", u)
	case platform.WaveUpdate:
		a.mu.Lock()
		former, known := a.waves[u.Wave.Number]
		isNew := !known || (u.Wave.Offset > former.Offset && !u.Wave.SameTerms(former))
		if isNew {
			a.waveSeenAt[u.Wave.Number] = a.clock.Now()
		}
		if !known || u.Wave.Offset > former.Offset {
			a.waves[u.Wave.Number] = u.Wave
		}
		h, wave, since := a.active, a.waves[u.Wave.Number], a.waveSeenAt[u.Wave.Number]
		a.mu.Unlock()
		if isNew {
			a.log.Info("wave", zap.Int64("wave", u.Wave.Number), zap.Int("hosts", len(u.Wave.Hosts)), zap.Int("cap", u.Wave.MaxConcurrent), zap.Float64("deadlineS", u.Wave.DeadlineS))
		}
		if h != nil {
			h.addWave(wave, since)
		}
	}
}

// storeLater stores a time unless a later one is stored.
func storeLater(at *atomic.Int64, value int64) {
	for {
		old := at.Load()
		if old >= value || at.CompareAndSwap(old, value) {
			return
		}
	}
}

// foldEvacuations adds the evacuations of a read to those that are known, and reports whether that has changed which zones are evacuated. A read of all newest records also shows which ones are over.
func (a *Agent) foldEvacuations(batch platform.UpdateBatch, newest bool) bool {
	var records []zones.Record
	for _, u := range batch.Updates {
		if e, ok := u.(platform.EvacuationUpdate); ok {
			records = append(records, zones.Record{Zone: e.Zone, Active: e.Active, Offset: e.Offset})
		}
	}
	if len(records) == 0 && !newest {
		return false
	}
	for {
		old := a.evacuations.Load()
		next := *old
		if newest {
			next = old.WithNewest(records, batch.EndOffset)
		} else {
			for _, r := range records {
				next = next.With(r)
			}
		}
		if a.evacuations.CompareAndSwap(old, &next) {
			return a.logEvacuations(old.Zones(), next.Zones())
		}
	}
}

// logEvacuations logs which zones have been evacuated and which are in use again, and reports whether there are any.
func (a *Agent) logEvacuations(before, after []string) bool {
	if slices.Equal(before, after) {
		return false
	}
	a.meters.evacuatedZones.Update(float64(len(a.evacuations.Load().Zones())))
	for _, zone := range after {
		if !slices.Contains(before, zone) {
			a.log.Info("evacuation read", zap.String("subject", zone), zap.String("cause", "operators"), zap.String("detail", "evacuated"))
		}
	}
	for _, zone := range before {
		if !slices.Contains(after, zone) {
			a.log.Info("evacuation read", zap.String("subject", zone), zap.String("cause", "operators"), zap.String("detail", "in use again"))
		}
	}
	return true
}

// applyConfig puts a configuration in force unless it is already, or a later one is.
func (a *Agent) applyConfig(next *configState, source string) {
	next.at = a.clock.Now()
	c := next.config
	for {
		old := a.config.Load()
		if old != nil && !next.replaces(old) {
			return
		}
		if a.config.CompareAndSwap(old, next) {
			break
		}
	}
	a.meters.version.Update(float64(c.Version))
	a.log.Info("configured", zap.Int64("version", c.Version), zap.String("source", source), zap.Int("queues", len(c.Queues)), zap.Int("teams", len(c.Teams)))
	if h := a.activeHolder(); h != nil {
		h.applyConfig()
	}
}

// peerOffset stands for the offset of a configuration that another process sent, and is below all others.
const peerOffset = -1

// replaces reports whether the configuration is put in force in place of another one. Its version decides, and among records of one version, as operators write them again, the order in the store.
func (c *configState) replaces(old *configState) bool {
	if c.config.Version != old.config.Version {
		return c.config.Version > old.config.Version
	}
	return c.offset > old.offset && !bytes.Equal(c.raw, old.raw)
}

// applyRawConfig decodes and applies a configuration that another process sent.
func (a *Agent) applyRawConfig(raw []byte, source string) {
	if len(raw) == 0 {
		return
	}
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		a.log.Warn("cannot decode the configuration from a peer", zap.Error(err))
		return
	}
	a.applyConfig(&configState{config: c, raw: raw, offset: peerOffset}, source)
}

// configVersion returns the version of the configuration in force, 0 without one.
func (a *Agent) configVersion() int64 {
	if c := a.config.Load(); c != nil {
		return c.config.Version
	}
	return 0
}

// recordStoreAnswer records a response of the store, and logs it if it is the first one after a failed call.
func (a *Agent) recordStoreAnswer() {
	if a.storeAnsweredAt.Swap(int64(a.clock.Now())) < 0 {
		a.log.Info("store regained")
		a.mu.Lock()
		a.detector.RecordStoreRecovery(a.clock.Now())
		a.mu.Unlock()
	}
}

// storeLost reports whether the last call of this process to the store failed.
func (a *Agent) storeLost() bool { return a.storeAnsweredAt.Load() < 0 }

// recordStoreFailure records a failed call to the store, and logs it if it is the first one after a response.
func (a *Agent) recordStoreFailure(call string, err error) {
	a.meters.storeErrors.Inc(1)
	if at := a.storeAnsweredAt.Load(); at >= 0 && a.storeAnsweredAt.CompareAndSwap(at, -1) {
		a.log.Warn("store lost", zap.String("call", call), zap.Error(err))
	}
}
