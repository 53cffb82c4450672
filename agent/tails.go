package agent

import (
	"context"
	"errors"
	"hash/fnv"
	"strings"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// cancelPrefix begins the keys of cancellations that were written past the holder.
const cancelPrefix = "cancel/"

// directOf is the number of the partition in which a job is written past the holder.
func directOf(id work.JobID) int {
	f := fnv.New32a()
	_, _ = f.Write([]byte(id))
	return int(f.Sum32() % directParts)
}

// tailDirect follows the jobs and cancellations that other processes wrote past the holder into one partition.
func (h *Holder) tailDirect(n int) {
	for h.ctx.Err() == nil {
		if err := h.readDirect(n, directPoll); err != nil {
			sleep(h.ctx, retryPause)
		}
	}
}

// readDirect applies what was written past the holder into one partition since the last read.
func (h *Holder) readDirect(n int, poll time.Duration) error {
	h.mu.Lock()
	from := h.directNext[n]
	h.mu.Unlock()
	wait := storeWait
	if poll > 0 {
		wait = poll + pollSlack
	}
	tail, err := h.agent.store.Read(jobsTopic, directFirst+n, from, poll, wait)
	h.agent.meters.storeReads.Inc(1)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		tail.Records, tail.NextOffset, err = h.directAgain(n)
	}
	if err != nil {
		h.agent.storeFailed("jobs written past the holder", err)
		return err
	}
	h.agent.storeAnswered()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range tail.Records {
		h.applyDirect(r)
	}
	h.directNext[n] = max(h.directNext[n], tail.NextOffset)
	if len(tail.Records) > 0 {
		h.poke()
	}
	return nil
}

func (h *Holder) directAgain(n int) ([]platform.Record, int64, error) {
	return h.agent.store.ReadNewest(jobsTopic, directFirst+n, storeWait+h.agent.link.page())
}

// applyDirect takes a job or a cancellation; the caller holds the lock.
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
		h.agent.log.Error("record of a job cannot be read", zap.String("job", r.Key), zap.Error(err))
		return
	}
	if h.table.Accept(job, now) {
		h.agent.log.Info("accepted", zap.String("job", string(job.ID)), zap.String("queue", job.Queue), zap.String("team", job.Team), zap.String("by", "store"))
	}
}

// tailTargets follows what targets say of themselves.
func (h *Holder) tailTargets() {
	next := int64(-1)
	for h.ctx.Err() == nil {
		var facts platform.UpdateBatch
		var err error
		whole := next < 0
		if whole {
			facts, err = h.agent.store.LatestTargetUpdates(storeWait + h.agent.link.page())
		} else {
			facts, err = h.agent.store.ReadTargetUpdates(next, directPoll, directPoll+pollSlack)
		}
		h.agent.meters.storeReads.Inc(1)
		var expired *platform.ExpiredError
		switch {
		case errors.As(err, &expired):
			next = -1
			continue
		case err != nil:
			h.agent.storeFailed("targets' topic", err)
			sleep(h.ctx, retryPause)
			continue
		}
		h.agent.storeAnswered()
		next = facts.NextOffset
		h.applyTargets(facts.Updates, whole)
		if !sleep(h.ctx, targetsEvery) {
			return
		}
	}
}

func (h *Holder) applyTargets(facts []platform.Update, whole bool) {
	now := h.agent.clock.Now()
	h.mu.Lock()
	listed := make(map[work.TargetID]bool, len(facts))
	for _, f := range facts {
		switch f := f.(type) {
		case platform.TargetUpdate:
			h.table.UpsertTarget(f.Target, now)
			listed[f.Target.ID] = true
		case platform.TargetRemoval:
			if f.Malformed {
				// Another writer's entry is no news of the target.
				listed[f.ID] = true
				continue
			}
			h.table.RemoveTarget(f.ID)
		}
	}
	if whole {
		for _, t := range h.table.Targets() {
			if !listed[t.ID] {
				h.table.RemoveTarget(t.ID)
			}
		}
	}
	h.driversDue = true
	for id, d := range h.drivers {
		if listed[id] {
			// A new life has to see this holder's fence before an earlier one's orders come.
			signal(d.busy)
		}
	}
	h.mu.Unlock()
	h.poke()
}

// cause returns why the epoch ended, if it has.
func (h *Holder) cause() error { return context.Cause(h.ctx) }
