package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// itemState is where a work item stands.
type itemState int

const (
	// itemWaiting items have no run under way.
	itemWaiting itemState = iota
	// itemOrdered items have a run that may be under way and is charged to its target.
	itemOrdered
	// itemEnded items need no further run.
	itemEnded
)

// item is one work item.
type item struct {
	id    work.ItemID
	step  *step
	state itemState
	// run is the highest number that a start was given.
	run        int
	failures   int
	target     *target
	checkpoint string
	// confirmed means that the target has answered the start or listed the run.
	confirmed   bool
	confirmedAt time.Duration
	orderedAt   time.Duration
	// stopping means that a stop was ordered, at stopOrderedAt; stopConfirmedAt is when it was answered.
	stopping        bool
	stopOrderedAt   time.Duration
	stopConfirmedAt time.Duration
	atWork          bool
	// figure is the tail in milliseconds of a serving item, or the CPU that another one uses, from the last listing.
	figure float64
	// paced is the share of its speed at which the run was ordered to work, in percent.
	paced int
	// avoid is the target where the item failed last.
	avoid *target
	// doubt is the target whose former life may have left a start of the item on its way.
	doubt *target
	// notBefore delays the next run.
	notBefore time.Duration
}

// step is one step of one occurrence of a job.
type step struct {
	spec  *work.Step
	job   *job
	occ   *occurrence
	index int
	items []*item
	// left counts the items that have not ended.
	left int
	// waiting counts the items that wait for a run.
	waiting int
	// noRoom means that no target had room for a waiting item when it was looked for last.
	noRoom bool
	// stuckSince is since when no target has had room, 0 if the last look found one.
	stuckSince time.Duration
	// permits is nil until advice is asked for.
	permits *permits
}

// occurrence is one run of a job's steps.
type occurrence struct {
	index int
	// due is the time of day in milliseconds since 1970, 0 for a job that runs at once.
	due   int64
	steps []*step
	left  int
}

// job is one accepted job.
type job struct {
	rec   *work.Job
	queue *work.Queue
	// acceptedAt is when this process learnt of the job.
	acceptedAt time.Duration
	state      work.State
	// shown is the state that the store holds.
	shown     work.State
	cancelled bool
	begun     bool
	dirty     bool
	endedMs   int64
	// next is the number of occurrences that have been unfolded.
	next    int
	occs    []*occurrence
	serving bool
	// chain holds the expected time from each step's start to the job's end, as of chainAt ended runs of its queue.
	chain   []float64
	chainAt float64
}

func newJob(rec *work.Job, queue *work.Queue, now time.Duration) *job {
	j := &job{rec: rec, queue: queue, acceptedAt: now}
	for i := range rec.Steps {
		j.serving = j.serving || rec.Steps[i].Serving
	}
	if rec.Occurrences == 0 {
		j.unfold(0, 0)
		j.next = 1
	}
	return j
}

// occurrences is how often the job's steps run.
func (j *job) occurrences() int { return max(j.rec.Occurrences, 1) }

// unfold adds an occurrence's steps and items.
func (j *job) unfold(index int, due int64) *occurrence {
	o := &occurrence{index: index, due: due}
	for i := range j.rec.Steps {
		spec := &j.rec.Steps[i]
		s := &step{spec: spec, job: j, occ: o, index: i, left: spec.Count, waiting: spec.Count}
		all := make([]item, spec.Count)
		s.items = make([]*item, spec.Count)
		for n := range all {
			all[n] = item{id: work.ItemID{Job: j.rec.ID, Occurrence: index, Step: i, Index: n}, step: s}
			s.items[n] = &all[n]
		}
		o.steps = append(o.steps, s)
		o.left += spec.Count
	}
	j.occs = append(j.occs, o)
	return o
}

// find returns the item of the identifier if its occurrence is unfolded.
func (j *job) find(id work.ItemID) *item {
	for _, o := range j.occs {
		if o.index != id.Occurrence {
			continue
		}
		if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].items) {
			return nil
		}
		return o.steps[id.Step].items[id.Index]
	}
	return nil
}

// ready reports whether all steps that the step waits for have ended.
func (s *step) ready() bool {
	for _, a := range s.spec.After {
		if s.occ.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// active reports whether items of the job may still be started.
func (j *job) active() bool { return !j.cancelled && !j.state.Final() }
