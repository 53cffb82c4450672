package agent

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// recover fences earlier holders and reads all that lasts.
func (h *Holder) recover() error {
	err := together(
		func() error { return h.progress.fence(h.ctx) },
		func() error { return h.intake.stream.fence(h.ctx) },
	)
	if err != nil {
		return trace.Wrap(err)
	}
	var progress, taken []platform.Record
	var direct [directParts][]platform.Record
	var next [directParts]int64
	reads := []func() error{
		func() (err error) { progress, _, err = h.newest(progressTopic, 0); return err },
		func() (err error) { taken, _, err = h.newest(jobsTopic, holderPart); return err },
	}
	for n := range directParts {
		reads = append(reads, func() (err error) { direct[n], next[n], err = h.newest(jobsTopic, directFirst+n); return err })
	}
	if err := together(reads...); err != nil {
		return err
	}
	h.agent.mu.Lock()
	waves, since := maps.Clone(h.agent.wave), maps.Clone(h.agent.waveAt)
	h.agent.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.agent.config.Load(); c != nil {
		h.table.Configure(c.config)
	}
	h.directNext = next
	h.load(progress, taken, slices.Concat(direct[:]...))
	for number, w := range waves {
		h.table.AddWave(w, since[number])
	}
	return nil
}

// recoverWait bounds a read of a takeover; a partition answers late in which appends wait, for two seconds at most.
const recoverWait = 2500 * time.Millisecond

// together runs calls side by side, since a slow store takes long for each, and returns the first error.
func together(calls ...func() error) error {
	done := make(chan error, len(calls))
	for _, c := range calls {
		go func() { done <- c() }()
	}
	var first error
	for range calls {
		if err := <-done; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (h *Holder) newest(topic string, part int) ([]platform.Record, int64, error) {
	for {
		records, end, err := h.agent.store.ReadNewest(topic, part, recoverWait+h.agent.link.page())
		h.agent.meters.storeReads.Inc(1)
		if err == nil {
			h.agent.storeAnswered()
			return records, max(end, 0), nil
		}
		h.agent.storeFailed(topic, err)
		if !sleep(h.ctx, retryPause) {
			return nil, 0, context.Cause(h.ctx)
		}
	}
}

func (h *Holder) load(progress, taken, direct []platform.Record) {
	now := h.agent.clock.Now()
	h.table.SetWallClock(time.Now().UnixMilli(), now)
	known := make(map[string]*work.JobProgress, len(progress))
	for _, r := range progress {
		if !sched.IsJobKey(r.Key) {
			if err := h.table.LoadHostOrWave(r.Key, r.Value); err != nil {
				h.agent.log.Error("record cannot be read", zap.String("key", r.Key), zap.Error(err))
			}
			continue
		}
		p := &work.JobProgress{}
		if err := work.Decode(r.Value, p); err != nil {
			h.agent.log.Error("record of progress cannot be read", zap.String("job", r.Key), zap.Error(err))
			continue
		}
		known[r.Key] = p
	}
	for _, records := range [][]platform.Record{taken, direct} {
		for _, r := range records {
			if strings.HasPrefix(r.Key, cancelPrefix) {
				continue
			}
			job, err := decodeJob(r.Value)
			if err != nil {
				h.agent.log.Error("record of a job cannot be read", zap.String("job", r.Key), zap.Error(err))
				continue
			}
			if !h.table.Known(job.ID) {
				h.table.LoadJob(job, known[r.Key], now)
			}
		}
	}
	for _, r := range direct {
		h.applyDirect(r)
	}
}

func decodeJob(value []byte) (*work.Job, error) {
	job := &work.Job{}
	if err := work.Decode(value, job); err != nil {
		return nil, err
	}
	return job, nil
}
