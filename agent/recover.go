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

// recover loads the state of the scheduling from the store. It fences earlier holders first, so that they cannot write anything after the read.
func (h *Holder) recover() error {
	err := inParallel(
		func() error { return h.progress.fence(h.ctx) },
		func() error { return h.intake.writer.fence(h.ctx) },
	)
	if err != nil {
		return trace.Wrap(err)
	}
	var progress, accepted []platform.Record
	var direct [directPartitions][]platform.Record
	var next [directPartitions]int64
	reads := []func() error{
		func() (err error) { progress, _, err = h.readNewest(progressTopic, 0); return err },
		func() (err error) { accepted, _, err = h.readNewest(jobsTopic, holderPartition); return err },
	}
	for n := range directPartitions {
		reads = append(reads, func() (err error) {
			direct[n], next[n], err = h.readNewest(jobsTopic, directFirstPartition+n)
			return err
		})
	}
	if err := inParallel(reads...); err != nil {
		return err
	}
	h.agent.mu.Lock()
	waves, since := maps.Clone(h.agent.waves), maps.Clone(h.agent.waveSeenAt)
	h.agent.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.agent.config.Load(); c != nil {
		h.table.Configure(c.config)
	}
	h.directOffsets = next
	h.load(progress, accepted, slices.Concat(direct[:]...))
	for number, w := range waves {
		h.table.AddWave(w, since[number])
	}
	return nil
}

// recoverReadTimeout bounds a read during a takeover; a partition with waiting appends responds up to 2 s late.
const recoverReadTimeout = 2500 * time.Millisecond

// inParallel makes calls concurrently, because a slow store delays each of them, and returns the first error.
func inParallel(calls ...func() error) error {
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

// readNewest returns the newest records of a partition and its end; it retries until the epoch ends.
func (h *Holder) readNewest(topic string, part int) ([]platform.Record, int64, error) {
	for {
		records, end, err := h.agent.store.ReadNewest(topic, part, recoverReadTimeout+h.agent.link.pageTime())
		h.agent.meters.storeReads.Inc(1)
		if err == nil {
			h.agent.recordStoreAnswer()
			return records, max(end, 0), nil
		}
		h.agent.recordStoreFailure(topic, err)
		if !sleep(h.ctx, retryPause) {
			return nil, 0, context.Cause(h.ctx)
		}
	}
}

// load fills the table from the progress records, the jobs that earlier holders accepted, and the records of the direct partitions; the caller holds the lock.
func (h *Holder) load(progress, accepted, direct []platform.Record) {
	now := h.agent.clock.Now()
	h.table.SetWallClock(time.Now().UnixMilli(), now)
	known := make(map[string]*work.JobProgress, len(progress))
	for _, r := range progress {
		if !sched.IsJobKey(r.Key) {
			if err := h.table.LoadHostOrWave(r.Key, r.Value); err != nil {
				h.agent.log.Error("cannot decode a record of the progress topic", zap.String("key", r.Key), zap.Error(err))
			}
			continue
		}
		p := &work.JobProgress{}
		if err := work.Decode(r.Value, p); err != nil {
			h.agent.log.Error("cannot decode the progress of a job", zap.String("job", r.Key), zap.Error(err))
			continue
		}
		known[r.Key] = p
	}
	for _, records := range [][]platform.Record{accepted, direct} {
		for _, r := range records {
			if strings.HasPrefix(r.Key, cancelPrefix) {
				continue
			}
			job, err := decodeJob(r.Value)
			if err != nil {
				h.agent.log.Error("cannot decode the record of a job", zap.String("job", r.Key), zap.Error(err))
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
