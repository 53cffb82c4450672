package sched

import (
	"maps"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Retention of ended jobs. A job is removed in two steps, so that a crash between them never makes a holder take an ended job for a new one: first its records in the jobs topic, then, once the store has removed these, its progress.

const (
	// minRetention keeps a job longer than a repeated submission, a late write or a late order may take to arrive.
	minRetention = 30 * time.Second
	// retentionMargin covers the difference between the times of day of two holders.
	retentionMargin = 15 * time.Second
)

// JobSet is a set of jobs that takes little memory for each.
type JobSet struct {
	keys map[jobKey]bool
}

// NewJobSet returns an empty set.
func NewJobSet() *JobSet { return &JobSet{keys: map[jobKey]bool{}} }

// Add adds a job to the set; an identifier that is not valid is left out.
func (s *JobSet) Add(id work.JobID) {
	if work.ValidJobID(string(id)) {
		s.keys[newJobKey(id)] = false
	}
}

// Remove removes a job from the set.
func (s *JobSet) Remove(id work.JobID) { delete(s.keys, newJobKey(id)) }

// Contains reports whether the set contains the job.
func (s *JobSet) Contains(id work.JobID) bool {
	if !work.ValidJobID(string(id)) {
		return false
	}
	_, ok := s.keys[newJobKey(id)]
	return ok
}

// Len returns the number of jobs.
func (s *JobSet) Len() int { return len(s.keys) }

// HasEnded reports whether the progress is that of a job that has ended and of which nothing runs.
func HasEnded(p *work.JobProgress) bool {
	for i := range p.Items {
		if p.Items[i].Target != "" {
			return false
		}
	}
	return p.State.Final()
}

// HasExpired reports whether a job with the progress ended so long ago, by the time of day in milliseconds since 1970, that its records may be removed.
func HasExpired(p *work.JobProgress, retention time.Duration, nowMs int64) bool {
	return HasEnded(p) && p.EndedMs > 0 && nowMs-p.EndedMs >= retention.Milliseconds()
}

// jobKey holds a job identifier in less memory than a string.
type jobKey [16]byte

// newJobKey returns the key of an identifier, which must be valid.
func newJobKey(id work.JobID) (k jobKey) {
	copy(k[:], id)
	return k
}

// retention is how long the state of an ended job is kept.
func (t *Table) retention() time.Duration { return Retention(t.bounds.StatusRetention) }

// Retention returns how long the state of an ended job is kept if the platform requires it for the given time.
func Retention(required time.Duration) time.Duration {
	return max(required, minRetention) + retentionMargin
}

// RemovalCandidates returns at most limit jobs whose records may be removed from the jobs topic, and reports whether there are more. Until their removal ends or fails, submissions of these jobs have to wait. Jobs that an earlier version left in the store come after those that ended lately.
func (t *Table) RemovalCandidates(limit int, now time.Duration) (ids []work.JobID, more bool) {
	busy := t.jobsWithLateOrders(now)
	for id, j := range t.jobs {
		switch {
		case j.removing || busy[id] || !t.mayRemove(j, now):
		case len(ids) == limit:
			return ids, true
		default:
			j.removing = true
			ids = append(ids, id)
		}
	}
	for key, removing := range t.expired {
		switch {
		case removing:
		case len(ids) == limit:
			return ids, true
		default:
			t.expired[key] = true
			ids = append(ids, work.JobID(key[:]))
		}
	}
	return ids, false
}

// mayRemove reports whether the store holds the job's final state, nothing of the job runs, and its retention is over.
func (t *Table) mayRemove(j *job, now time.Duration) bool {
	recorded := j.recordedState.Final() && !j.dirty && (j.recordedCancelled || !j.cancelled)
	return recorded && now-j.endedAt >= t.retention() && !t.hasRuns(j)
}

// jobsWithLateOrders returns the jobs of which a start may still be delivered, or a run is active that the holder does not expect.
func (t *Table) jobsWithLateOrders(now time.Duration) map[work.JobID]bool {
	busy := map[work.JobID]bool{}
	for _, tgt := range t.sortedTargets {
		for _, list := range [][]delayedStart{tgt.revoked, tgt.unanswered} {
			for _, start := range list {
				if now < start.deliverableUntil {
					busy[start.item.Job] = true
				}
			}
		}
		for run := range tgt.unexpected {
			busy[run.item.Job] = true
		}
	}
	return busy
}

// RemovalFailed makes jobs candidates again whose records could not be removed.
func (t *Table) RemovalFailed(ids []work.JobID) {
	for _, id := range ids {
		if j, ok := t.jobs[id]; ok {
			j.removing = false
		}
		if _, ok := t.expired[newJobKey(id)]; ok {
			t.expired[newJobKey(id)] = false
		}
	}
}

// MarkStoredDirectly notes that a direct partition holds a record of the job.
func (t *Table) MarkStoredDirectly(id work.JobID) {
	if j, ok := t.jobs[id]; ok {
		j.storedDirectly = true
	}
}

// MayBeStoredDirectly reports whether a direct partition may hold a record of the job. Where an expired job was stored is not known.
func (t *Table) MayBeStoredDirectly(id work.JobID) bool {
	j, ok := t.jobs[id]
	return !ok || j.storedDirectly
}

// JobRecordsRemoved has the progress of jobs removed with the next batch, because the store no longer holds the jobs themselves.
func (t *Table) JobRecordsRemoved(ids []work.JobID) {
	for _, id := range ids {
		t.removedKeys = append(t.removedKeys, string(id))
	}
}

// LoadExpired sets the jobs whose retention was over before this holder took over, so that their records are removed and never taken for new jobs. The table takes the set over.
func (t *Table) LoadExpired(jobs *JobSet) { t.expired = jobs.keys }

// IsBeingRemoved reports whether the records of the job are being removed or are about to be, so that it can be submitted as a new job only later.
func (t *Table) IsBeingRemoved(id work.JobID) bool {
	if j, ok := t.jobs[id]; ok {
		return j.removing
	}
	if !work.ValidJobID(string(id)) {
		return false
	}
	_, ok := t.expired[newJobKey(id)]
	return ok
}

// Resubmitted keeps an ended job for its retention again, because a caller has submitted it once more.
func (t *Table) Resubmitted(id work.JobID, now time.Duration) {
	if j, ok := t.jobs[id]; ok && j.state.Final() && !j.removing {
		j.endedAt = now
	}
}

// forgetRemoved forgets the jobs whose last records a batch has removed.
func (t *Table) forgetRemoved(keys []string) {
	for _, key := range keys {
		id := work.JobID(key)
		if j, ok := t.jobs[id]; ok && j.removing {
			delete(t.jobs, id)
		}
		if work.ValidJobID(key) {
			delete(t.expired, newJobKey(id))
		}
	}
}

// CountExpired counts the jobs whose retention is over and whose records the store still holds.
func (t *Table) CountExpired(now time.Duration) int {
	n := len(t.expired)
	for _, j := range t.jobs {
		if t.mayRemove(j, now) {
			n++
		}
	}
	return n
}

// CountJobs counts the jobs in the table by their state, and those that have ended by their recorded one.
func (t *Table) CountJobs() map[work.State]int {
	counts := map[work.State]int{}
	for _, j := range t.jobs {
		counts[j.state]++
	}
	return counts
}

// PruneIdle removes what the table holds of hosts, queues, pools and teams that are gone for longer than the retention of a job.
func (t *Table) PruneIdle(now time.Duration) {
	queues, pools, teams := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range t.config.Queues {
		queues[t.config.Queues[i].Name] = true
	}
	maps.Copy(pools, t.poolNames)
	for _, j := range t.activeJobs {
		queues[j.queue.Name], pools[j.queue.Pool], teams[j.record.Team] = true, true, true
	}
	for _, tgt := range t.sortedTargets {
		pools[tgt.Pool] = true
	}
	for _, h := range t.sortedHosts {
		pools[h.Pool] = true
	}
	maps.DeleteFunc(t.runStatsByQueue, func(name string, _ *runStats) bool {
		unused := t.isUnused("queue/"+name, queues[name], now)
		if unused && t.learned != nil {
			t.learned.Drop(name)
		}
		return unused
	})
	maps.DeleteFunc(t.pools, func(name string, _ *poolState) bool { return t.isUnused("pool/"+name, pools[name], now) })
	maps.DeleteFunc(t.usage, func(name string, used work.Resources) bool {
		return t.isUnused("team/"+name, teams[name] || used != work.Resources{}, now)
	})
	for name := range t.hostRecords {
		if t.isUnused("host/"+name, t.hosts[name] != nil || !t.hostsListed, now) {
			delete(t.hostRecords, name)
			t.removedKeys = append(t.removedKeys, hostPrefix+name)
		}
	}
	if len(t.rejectedMoves) > maxRejectedMoves {
		clear(t.rejectedMoves)
	}
}

// maxRejectedMoves bounds the memory for moves that the cloud rejected; it rejects one again at most once after they are forgotten.
const maxRejectedMoves = 4096

// isUnused reports whether something has not been in use for the retention of a job.
func (t *Table) isUnused(name string, used bool, now time.Duration) bool {
	if used {
		delete(t.unusedSince, name)
		return false
	}
	since, known := t.unusedSince[name]
	if !known {
		t.unusedSince[name] = now
		return false
	}
	if now-since < t.retention() {
		return false
	}
	delete(t.unusedSince, name)
	return true
}
