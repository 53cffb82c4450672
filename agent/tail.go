package agent

import (
	"context"
	"errors"
	"hash/fnv"
	"strings"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// cancelPrefix begins the keys of cancellations in direct partitions.
const cancelPrefix = "cancel/"

// directIndex is the index, from 0, of the direct partition for a job.
func directIndex(id work.JobID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % directPartitions)
}

// tailDirect applies new jobs and cancellations from one direct partition until the epoch ends. The direct partitions of the jobs topic hold what other processes stored without a holder.
func (h *Holder) tailDirect(n int) {
	for h.ctx.Err() == nil {
		if err := h.readDirect(n, longPoll); err != nil {
			sleep(h.ctx, retryPause)
		}
	}
}

// readDirect applies the records written to one direct partition since the last read, page by page up to its end. If there is none and poll is above 0, the read waits up to poll for the first record.
func (h *Holder) readDirect(n int, poll time.Duration) error {
	for {
		whole, err := h.readDirectPage(n, poll)
		if err != nil || whole {
			return err
		}
	}
}

// readDirectPage applies one page of records and reports whether it was the last one.
func (h *Holder) readDirectPage(n int, poll time.Duration) (bool, error) {
	h.mu.Lock()
	from := h.directOffsets[n]
	h.mu.Unlock()
	timeout := storeTimeout + h.agent.link.pageTime()
	if poll > 0 {
		timeout = poll + pollSlack
	}
	result, err := h.agent.store.Read(jobsTopic, directFirstPartition+n, from, poll, timeout)
	h.agent.meters.storeReads.Inc(1)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		result.Records, result.NextOffset, err = h.newestDirect(n)
	}
	if err != nil {
		h.agent.recordStoreFailure("read of jobs stored without the holder", err)
		return false, err
	}
	h.agent.recordStoreAnswer()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range result.Records {
		h.applyDirect(r)
	}
	h.directOffsets[n] = max(h.directOffsets[n], result.NextOffset)
	if len(result.Records) > 0 {
		h.wakeLoop()
	}
	return result.Whole(), nil
}

// newestDirect reads the newest records of one direct partition, for use when records that were not read yet have expired.
func (h *Holder) newestDirect(n int) ([]platform.Record, int64, error) {
	return h.agent.store.ReadNewest(jobsTopic, directFirstPartition+n, storeTimeout+h.agent.link.pageTime())
}

// applyDirect applies a job or a cancellation from a direct partition; the caller holds the lock.
func (h *Holder) applyDirect(r platform.Record) {
	now := h.agent.clock.Now()
	if id, ok := strings.CutPrefix(r.Key, cancelPrefix); ok {
		h.table.Cancel(work.JobID(id), now)
		return
	}
	if r.Value == nil {
		return
	}
	job, err := decodeJob(r.Value)
	if err != nil {
		h.agent.log.Error("cannot decode the record of a job", zap.String("job", r.Key), zap.Error(err))
		return
	}
	if h.table.IsBeingRemoved(job.ID) {
		h.postponeAcceptance(job, r.Value)
		return
	}
	if h.acceptedLately(job) {
		h.table.Resubmitted(job.ID, now)
	}
	if record, known := h.table.Record(job.ID); known && (record.Team != job.Team || record.Queue != job.Queue) {
		h.keepRecord(record, job)
		return
	}
	added := h.accept(job, now)
	h.table.MarkStoredDirectly(job.ID)
	if added {
		h.agent.log.Info("accepted", zap.String("job", string(job.ID)), zap.String("queue", job.Queue), zap.String("team", job.Team), zap.String("by", "store"))
	}
}

// keepRecord stores a known job again that another one with its identifier, stored without the holder, may have replaced in the store. The caller of the other job was answered by a process that could not know of the first one.
func (h *Holder) keepRecord(record, other *work.Job) {
	h.agent.log.Error("identifier is used by jobs of two teams or queues", zap.String("job", string(record.ID)), zap.String("team", record.Team), zap.String("queue", record.Queue), zap.String("otherTeam", other.Team), zap.String("otherQueue", other.Queue))
	value, err := work.Encode(record)
	if err != nil {
		h.agent.log.Error("job cannot be encoded", zap.Error(err))
		return
	}
	h.intake.enqueue(&submission{job: record, value: value, outcome: make(chan mesh.Outcome, 1)})
}

// tailTargets reads the targets' topic and applies its records until the epoch ends.
func (h *Holder) tailTargets() {
	next := int64(-1)
	for h.ctx.Err() == nil {
		var batch platform.UpdateBatch
		var err error
		complete := next < 0
		if complete {
			batch, err = h.agent.store.LatestTargetUpdates(storeTimeout + h.agent.link.pageTime())
		} else {
			batch, err = h.agent.store.ReadTargetUpdates(next, targetsPoll, targetsPoll+pollSlack)
		}
		h.agent.meters.storeReads.Inc(1)
		var expired *platform.ExpiredError
		switch {
		case errors.As(err, &expired):
			next = -1
			continue
		case err != nil:
			h.agent.recordStoreFailure("read of the targets' topic", err)
			sleep(h.ctx, retryPause)
			continue
		}
		h.agent.recordStoreAnswer()
		next = batch.NextOffset
		h.applyTargets(batch.Updates, complete)
		if !sleep(h.ctx, minTargetsPause) {
			return
		}
	}
}

// applyTargets adds, updates and removes targets in the table; a complete read also removes the targets that it does not contain.
func (h *Holder) applyTargets(updates []platform.Update, complete bool) {
	now := h.agent.clock.Now()
	h.mu.Lock()
	listed := make(map[work.TargetID]bool, len(updates))
	for _, u := range updates {
		switch u := u.(type) {
		case platform.TargetUpdate:
			if err := h.agent.guard("entry of target "+string(u.Target.ID), func() { h.table.UpsertTarget(u.Target, now) }); err != nil {
				h.table.SetAsideTarget(u.Target.ID, err.Error())
			}
			listed[u.Target.ID] = true
		case platform.MalformedUpdate:
			// An entry that cannot be decoded is no evidence that the target is gone.
			listed[work.TargetID(u.Key)] = true
			h.agent.logMalformed("cannot decode an entry of a target", u)
		case platform.TargetRemoval:
			h.table.RemoveTarget(u.ID)
		}
	}
	if complete {
		h.table.RemoveUnlisted(listed)
	}
	h.driversStale = true
	for id, d := range h.drivers {
		if listed[id] {
			// A restarted target must see this holder's fencing token before late orders of an earlier holder reach it.
			signal(d.renewNow)
		}
	}
	h.mu.Unlock()
	h.wakeLoop()
}

// endErr returns the error that ended the epoch, or nil while the epoch lasts.
func (h *Holder) endErr() error { return context.Cause(h.ctx) }
