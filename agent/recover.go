package agent

import (
	"context"
	"errors"
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

// recover loads the state of the scheduling from the store. It keeps nothing of jobs whose retention is over but their identifiers, so that its memory does not depend on how many jobs there were.
func (h *Holder) recover() error {
	var progress, accepted []platform.Record
	var direct [directPartitions][]platform.Record
	var next [directPartitions]int64
	h.agent.meters.resetStored()
	past := newPastJobs(h.ctx, sched.Retention(h.agent.settings.Bounds.StatusRetention), time.Now().UnixMilli())
	reads := []func() error{
		func() (err error) { progress, err = h.fenceAndRead(h.progress, past.filterProgress); return err },
		func() (err error) { accepted, err = h.fenceAndRead(h.intake.writer, past.filterJobs); return err },
		h.readOperators,
	}
	for n := range directPartitions {
		reads = append(reads, func() (err error) {
			direct[n], next[n], err = h.readNewest(jobsTopic, directFirstPartition+n, past.filterJobs)
			return err
		})
	}
	if err := inParallel(reads...); err != nil {
		return err
	}
	if err := h.readLateDirect(progress, accepted, &direct, &next); err != nil {
		return err
	}
	waves, since := h.agent.wavesRead()
	h.fencedMs.Store(h.agent.clock.ProcessMs())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.RecordFence(h.agent.clock.Now())
	if c := h.agent.config.Load(); c != nil {
		h.table.Configure(c.config)
	}
	h.directOffsets = next
	h.load(progress, accepted, slices.Concat(direct[:]...), past.jobs)
	for number, w := range waves {
		// The table ignores a record that is earlier than one which was read meanwhile.
		h.table.AddWave(w, since[number])
	}
	h.setEvacuations()
	return nil
}

// wavesRead returns the newest record of each wave that this process has read, and when it was.
func (a *Agent) wavesRead() (map[int64]work.Wave, map[int64]time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.waves), maps.Clone(a.waveSeenAt)
}

// readLateDirect reads those direct partitions again that may have changed between this holder's first read and the fence: the predecessor may have read, started and recorded a job, whose progress then belongs to no job that was read, or removed a job and its progress, which then looks like a new one.
func (h *Holder) readLateDirect(progress, accepted []platform.Record, direct *[directPartitions][]platform.Record, next *[directPartitions]int64) error {
	read, started := make(map[string]bool, len(accepted)), make(map[string]bool, len(progress))
	for _, r := range progress {
		started[r.Key] = true
	}
	for _, r := range accepted {
		read[r.Key] = true
	}
	late := map[int]bool{}
	for n, records := range direct {
		for _, r := range records {
			read[r.Key] = true
			late[n] = late[n] || !started[r.Key]
		}
	}
	for _, r := range progress {
		if sched.IsJobKey(r.Key) && !read[r.Key] {
			late[directIndex(work.JobID(r.Key))] = true
		}
	}
	var reads []func() error
	for n, isLate := range late {
		if !isLate {
			continue
		}
		reads = append(reads, func() (err error) {
			direct[n], next[n], err = h.readMore(jobsTopic, directFirstPartition+n, direct[n], next[n], keepAll)
			return err
		})
	}
	return inParallel(reads...)
}

// readOperators reads what operators wrote before this takeover. The process may have been cut off from the store until then, and a holder must know the limits, the waves and the evacuations that are in force before it acts.
func (h *Holder) readOperators() error {
	for {
		whole, err := h.agent.readOperators(0, recoverReadTimeout)
		if err == nil && whole {
			return nil
		}
		if err != nil && !sleep(h.ctx, retryPause) {
			return context.Cause(h.ctx)
		}
	}
}

// pageFilter returns those records of a page that are kept. It may wait until it can tell.
type pageFilter func(page []platform.Record, pages *platform.NewestPages) []platform.Record

// keepAll keeps all records of a page.
func keepAll(page []platform.Record, _ *platform.NewestPages) []platform.Record { return page }

// fenceAndRead fences the earlier holders of a partition, so that they cannot write anything more, and returns the newest records that the filter keeps. While the store is slow, the fence and the read of all records each take long, so they are made at the same time; what was written meanwhile is read after the fence.
func (h *Holder) fenceAndRead(w *fencedWriter, keep pageFilter) ([]platform.Record, error) {
	var records []platform.Record
	var end int64
	err := inParallel(
		func() error { return w.fence(h.ctx) },
		func() (err error) { records, end, err = h.readNewest(w.topic, w.part, keep); return err },
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	records, _, err = h.readMore(w.topic, w.part, records, end, keep)
	return records, err
}

// readMore adds what a partition holds from an offset on to its newest records that were read up to there. It returns the result and the partition's end.
func (h *Holder) readMore(topic string, part int, records []platform.Record, from int64, keep pageFilter) ([]platform.Record, int64, error) {
	later, end, err := h.readFrom(topic, part, from)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		return h.readNewest(topic, part, keep)
	}
	return mergeRecords(records, later), end, err
}

// readFrom returns the records of a partition from an offset to its end, and the end. It retries until the epoch ends, except if the records have expired.
func (h *Holder) readFrom(topic string, part int, from int64) ([]platform.Record, int64, error) {
	var records []platform.Record
	for {
		result, err := h.agent.store.Read(topic, part, from, 0, recoverReadTimeout+h.agent.link.pageTime())
		h.agent.meters.storeReads.Inc(1)
		var expired *platform.ExpiredError
		switch {
		case errors.As(err, &expired):
			return nil, from, err
		case err != nil:
			h.agent.recordStoreFailure(topic, err)
			if !sleep(h.ctx, retryPause) {
				return nil, from, context.Cause(h.ctx)
			}
			continue
		}
		records = append(records, result.Records...)
		from = result.NextOffset
		if result.Whole() {
			return records, from, nil
		}
	}
}

// mergeRecords returns the newest record of each key; later holds what was written while the newest records were read page by page. Keys without a value are left out.
func mergeRecords(newest, later []platform.Record) []platform.Record {
	byKey := make(map[string]int, len(newest))
	merged := make([]platform.Record, 0, len(newest))
	for _, r := range slices.Concat(newest, later) {
		n, known := byKey[r.Key]
		switch {
		case !known:
			byKey[r.Key] = len(merged)
			merged = append(merged, r)
		case r.Offset >= merged[n].Offset:
			merged[n] = r
		}
	}
	return slices.DeleteFunc(merged, func(r platform.Record) bool { return len(r.Value) == 0 })
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

// readNewest returns those of a partition's newest records that the filter keeps, and its end; it retries until the epoch ends.
func (h *Holder) readNewest(topic string, part int, keep pageFilter) ([]platform.Record, int64, error) {
	var records []platform.Record
	pages := h.agent.store.NewestPages(topic, part)
	for !pages.Done() {
		page, err := pages.Next(recoverReadTimeout + h.agent.link.pageTime())
		h.agent.meters.storeReads.Inc(1)
		if err != nil {
			h.agent.recordStoreFailure(topic, err)
			if !sleep(h.ctx, retryPause) {
				return nil, 0, context.Cause(h.ctx)
			}
			continue
		}
		h.agent.recordStoreAnswer()
		h.agent.meters.countStored(topic, page)
		records = append(records, keep(page, pages)...)
		if err := h.endErr(); err != nil {
			return nil, 0, err
		}
	}
	return records, max(pages.End(), 0), nil
}

// load fills the table from the progress records, the jobs that earlier holders accepted, the records of the direct partitions, and the identifiers of jobs whose retention is over; the caller holds the lock.
func (h *Holder) load(progress, accepted, direct []platform.Record, past *sched.JobSet) {
	now := h.agent.clock.Now()
	h.table.SetWallClock(time.Now().UnixMilli(), now)
	known := sched.NewProgressSet()
	for _, r := range progress {
		isProgress, err := known.Add(r.Key, r.Value, r.Offset)
		if !isProgress {
			err = h.table.LoadHostOrWave(r.Key, r.Value)
		}
		if err != nil {
			h.agent.log.Error("cannot decode a record of the progress topic", zap.String("key", r.Key), zap.Error(err))
		}
	}
	h.addHalfRemoved(past, known.Heads(), accepted, direct)
	h.table.LoadExpired(past)
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
			if past.Contains(job.ID) {
				if !h.acceptedLately(job) {
					continue
				}
				// A caller has submitted a job with the identifier of one that is being removed.
				past.Remove(job.ID)
				h.table.RemoveRecords(known.Sections(job.ID))
				known.Take(job.ID)
			}
			if !h.table.Known(job.ID) {
				h.handleJob(job, now, func() { h.table.LoadJob(job, known.Take(job.ID), now) })
			}
		}
	}
	h.removeLeftSections(past, known)
	h.table.RestoreArrivals(now)
	for _, r := range direct {
		h.applyDirect(r)
	}
}

// removeLeftSections has the sections of past jobs removed, which an earlier holder has left because it ended while it recorded the end of the job.
func (h *Holder) removeLeftSections(past *sched.JobSet, left *sched.ProgressSet) {
	for _, id := range left.SectionedJobs() {
		if past.Contains(id) {
			h.table.RemoveRecords(left.Sections(id))
			continue
		}
		h.agent.log.Error("section of progress without the record of its job", zap.String("job", string(id)))
	}
}

// addHalfRemoved adds the jobs whose own records are gone and whose final progress is left, because an earlier holder ended within their removal.
func (h *Holder) addHalfRemoved(past *sched.JobSet, known map[work.JobID]*work.JobProgress, accepted, direct []platform.Record) {
	stored := make(map[string]bool, len(accepted)+len(direct))
	for _, records := range [][]platform.Record{accepted, direct} {
		for _, r := range records {
			stored[r.Key] = true
		}
	}
	for id, p := range known {
		switch {
		case stored[string(id)]:
		case sched.HasEnded(p):
			past.Add(id)
		default:
			h.agent.log.Error("progress without the record of its job", zap.String("job", string(id)))
		}
	}
}

func decodeJob(value []byte) (*work.Job, error) {
	job := &work.Job{}
	if err := work.Decode(value, job); err != nil {
		return nil, err
	}
	return job, nil
}
