package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// The traffic of a week: a job every weekStep, from a team and through a queue that are replaced every hour, on a target whose host is replaced every hour.
const (
	weekStep   = 10 * time.Second
	weekLength = 7 * 24 * time.Hour
	// weekWarmUp is the time after which nothing may grow any more.
	weekWarmUp = 2 * time.Hour
)

// week plays the traffic against a table and a store.
type week struct {
	is      *is.I
	table   *Table
	store   map[string][]byte
	jobs    map[work.JobID]bool
	now     time.Duration
	version int64
	ends    int64
	target  work.TargetID
}

// TestNothingGrowsInAWeek guards against a holder or a store that grows with all jobs, teams, queues and hosts that ever were.
func TestNothingGrowsInAWeek(t *testing.T) {
	w := &week{is: is.New(t), table: New(testBounds(), WithToken(1, 0)), store: map[string][]byte{}, jobs: map[work.JobID]bool{}}
	most := map[string]int{}
	for w.now = weekStep; w.now < weekLength; w.now += weekStep {
		w.table.SetWallClock(1_700_000_000_000+w.now.Milliseconds(), w.now)
		if w.now%time.Hour == weekStep {
			w.replace()
		}
		w.serveJob()
		w.sweep()
		for name, size := range w.sizes() {
			if w.now < weekWarmUp {
				most[name] = max(most[name], size)
			} else if size > most[name] {
				t.Fatalf("at %v: %s has %d entries, more than %d in the first %v", w.now, name, size, most[name], weekWarmUp)
			}
		}
	}
	w.is.True(most["jobs"] > 0)
}

// replace has a new configuration with another team and queue, and a new host.
func (w *week) replace() {
	w.version++
	name := fmt.Sprintf("%d", w.version)
	w.table.Configure(&work.Config{
		Version: w.version, Pools: []work.Pool{{Name: "p" + name}},
		Queues: []work.Queue{{Name: "q" + name, Pool: "p" + name, MaxAttempts: 1, SlackFactor: 2}},
		Teams:  []work.Team{{Name: "team" + name, Weight: 1}},
	})
	former := w.target
	w.target, w.ends = work.TargetID("i-"+name), 0
	w.table.UpsertTarget(work.Target{ID: w.target, Pool: "p" + name, Address: "address" + name, Capacity: work.Resources{CPU: 1000, MemMB: 100}, StartedMs: w.version}, w.now)
	w.table.RemoveTarget(former)
	w.table.ApplyHostList([]work.Host{{Name: "m" + name, Pool: "p" + name, State: work.HostUp, Target: w.target, Capacity: work.Resources{CPU: 1000, MemMB: 100}}}, w.now, w.now)
	w.table.hosts["m"+name].lastIssued = work.HostOrderRecord{FencingToken: 1}
	w.store[hostPrefix+"m"+name] = nil
	w.renew(nil, nil)
}

// renew applies a reply of the target.
func (w *week) renew(running []work.ActiveRun, ended []work.EndedRun) {
	r := w.table.PrepareRenewal(w.target, w.now)
	w.table.RenewalAnswered(w.target, work.RenewalReply{ClockMs: w.now.Milliseconds(), StartedMs: w.version, Running: running, Ended: ended}, r.AcknowledgedEnd, w.now, w.now)
}

// serveJob accepts a job, starts its item and ends it.
func (w *week) serveJob() {
	name := fmt.Sprintf("%d", w.version)
	id := work.JobID(fmt.Sprintf("%016x", int64(w.now)))
	w.jobs[id] = true
	w.table.Accept(&work.Job{ID: id, Queue: "q" + name, Pool: "p" + name, Team: "team" + name, Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 100, MemMB: 1}, EstimateMs: 100}}, AcceptedMs: 1_700_000_000_000 + w.now.Milliseconds()}, w.now)
	w.renew(nil, nil)
	w.flush()
	item := work.ItemID{Job: id}
	w.now += time.Second
	w.renew([]work.ActiveRun{{Item: item, Run: 1}}, nil)
	w.now += time.Second
	w.ends++
	w.renew(nil, []work.EndedRun{{Sequence: w.ends, Item: item, Run: 1, Outcome: work.RunDone}})
	w.flush()
	w.renew(nil, nil)
	w.now -= 2 * time.Second
	_, state, _ := w.table.Lookup(id)
	w.is.Equal(state, work.Completed)
}

// flush plans, and stores what has changed.
func (w *week) flush() {
	w.table.Plan(w.now)
	b, err := w.table.Flush(w.now)
	w.is.NoErr(err)
	for _, e := range b.Entries {
		if e.Value == nil {
			delete(w.store, e.Key)
			continue
		}
		w.store[e.Key] = e.Value
	}
	w.table.Flushed(b)
	w.table.TakeOrders()
	w.table.TakeEvents()
	w.table.TakeAdviceRequests()
}

// sweep removes the jobs whose retention is over.
func (w *week) sweep() {
	w.table.PruneIdle(w.now)
	ids, _ := w.table.RemovalCandidates(10, w.now)
	for _, id := range ids {
		delete(w.jobs, id)
	}
	w.table.JobRecordsRemoved(ids)
	w.flush()
}

// sizes returns how much the store and the table hold.
func (w *week) sizes() map[string]int {
	t := w.table
	return map[string]int{
		"stored jobs": len(w.jobs), "stored progress": len(w.store), "jobs": len(t.jobs), "activeJobs": len(t.activeJobs), "expired": len(t.expired),
		"targets": len(t.targets), "sortedTargets": len(t.sortedTargets), "targetByAddress": len(t.targetByAddress), "heldEntries": len(t.heldEntries),
		"usage": len(t.usage), "runStatsByQueue": len(t.runStatsByQueue), "hosts": len(t.hosts), "sortedHosts": len(t.sortedHosts), "hostRecords": len(t.hostRecords),
		"pools": len(t.pools), "trialQueues": len(t.trialQueues), "rejectedMoves": len(t.rejectedMoves), "unusedSince": len(t.unusedSince), "poolNames": len(t.poolNames),
		"trialTargets": len(t.trialTargets),
	}
}
