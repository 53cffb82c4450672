package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// Timing of reads from the store.
const (
	// storeWait bounds a call to the store that does not poll; a slow store takes a quarter of a second.
	storeWait = 1200 * time.Millisecond
	// operatorPoll is how long a read waits for news from the operators; a connection that went silent costs as much, half of the time that a change has to be in force.
	operatorPoll = 1000 * time.Millisecond
	// pollSlack is what a polling read may take beyond its poll.
	pollSlack = 500 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 200 * time.Millisecond
)

// tailOperator follows what operators write.
func (a *Agent) tailOperator(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		var facts platform.UpdateBatch
		var err error
		if next < 0 {
			facts, err = a.store.LatestOperatorUpdates(storeWait + a.link.page())
		} else {
			facts, err = a.store.ReadOperatorUpdates(next, operatorPoll, operatorPoll+pollSlack+a.link.page())
		}
		a.meters.storeReads.Inc(1)
		var expired *platform.ExpiredError
		switch {
		case errors.As(err, &expired):
			next = -1
			continue
		case err != nil:
			a.storeFailed("operators' topic", err)
			sleep(ctx, retryPause)
			continue
		}
		a.storeAnswered()
		next = facts.NextOffset
		for _, f := range facts.Updates {
			a.learn(f)
		}
	}
}

func (a *Agent) learn(f platform.Update) {
	switch f := f.(type) {
	case platform.ConfigUpdate:
		a.configure(f.Config, f.Raw, "store")
	case platform.WaveUpdate:
		a.mu.Lock()
		_, known := a.wave[f.Wave.Number]
		if !known {
			a.wave[f.Wave.Number] = f.Wave
			a.waveAt[f.Wave.Number] = a.clock.Now()
		}
		h, since := a.holder, a.waveAt[f.Wave.Number]
		a.mu.Unlock()
		if !known {
			a.log.Info("wave", zap.Int64("wave", f.Wave.Number), zap.Int("hosts", len(f.Wave.Hosts)), zap.Int("cap", f.Wave.MaxConcurrent), zap.Float64("deadlineS", f.Wave.DeadlineS))
		}
		if h != nil {
			h.addWave(f.Wave, since)
		}
	}
}

// configure puts a configuration in force unless a newer one is.
func (a *Agent) configure(c *work.Config, raw []byte, source string) {
	next := &configState{config: c, raw: raw, at: a.clock.Now()}
	for {
		old := a.config.Load()
		if old != nil && old.config.Version >= c.Version {
			return
		}
		if a.config.CompareAndSwap(old, next) {
			break
		}
	}
	a.meters.version.Update(float64(c.Version))
	a.log.Info("configured", zap.Int64("version", c.Version), zap.String("source", source), zap.Int("queues", len(c.Queues)), zap.Int("teams", len(c.Teams)))
	if h := a.current(); h != nil {
		h.configure(c)
	}
}

// configureRaw puts a configuration in force that another process passed on.
func (a *Agent) configureRaw(raw []byte, source string) {
	if len(raw) == 0 {
		return
	}
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		a.log.Warn("configuration from a peer cannot be read", zap.Error(err))
		return
	}
	a.configure(c, raw, source)
}

func (a *Agent) version() int64 {
	if c := a.config.Load(); c != nil {
		return c.config.Version
	}
	return 0
}

// storeAnswered and storeFailed log each lost and regained connection to the store once.
func (a *Agent) storeAnswered() {
	if a.storeAt.Swap(int64(a.clock.Now())) < 0 {
		a.log.Info("store regained")
		a.mu.Lock()
		a.watch.RecordStoreRegained(a.clock.Now())
		a.mu.Unlock()
	}
}

func (a *Agent) storeFailed(what string, err error) {
	a.meters.storeErrors.Inc(1)
	if at := a.storeAt.Load(); at >= 0 && a.storeAt.CompareAndSwap(at, -1) {
		a.log.Warn("store lost", zap.String("call", what), zap.Error(err))
	}
}
