package sched

import (
	"iter"
	"time"

	"lavenderwing.example/lavenderwing/blame"
	"lavenderwing.example/lavenderwing/learn"
	"lavenderwing.example/lavenderwing/shed"
	"lavenderwing.example/lavenderwing/work"
)

// itemState says whether an item waits, may be running or has ended.
type itemState int

const (
	// itemWaiting items have no active run.
	itemWaiting itemState = iota
	// itemOrdered items have a run that may be active and is charged to its target.
	itemOrdered
	// itemEnded items need no further run.
	itemEnded
)

// item is a work item and its latest run.
type item struct {
	id    work.ItemID
	step  *step
	state itemState
	// run is the number of the latest run, 0 before the first.
	run        int
	failures   int
	target     *target
	checkpoint string
	// confirmed means that the target has answered the start or reported the run in a renewal reply.
	confirmed   bool
	confirmedAt time.Duration
	// listedIn is the number of the target's last renewal reply that lists the run.
	listedIn int64
	// doubtful means that the answer to the start may have come from a later incarnation of the target than the one that it was sent to.
	doubtful  bool
	orderedAt time.Duration
	// timed means that nothing is known by which the time from orderedAt to the reported end would differ from the run time.
	timed bool
	// stopping means that a stop was ordered, at stopOrderedAt; stopConfirmedAt is when it was answered.
	stopping        bool
	stopOrderedAt   time.Duration
	stopConfirmedAt time.Duration
	// atFullSpeed means that the last renewal reply showed the run at full pace; a serving item counts as available only then.
	atFullSpeed bool
	// progressPercent is the part of the work that an item that is not serving had done at progressAt, by the last renewal reply; 0 if none has shown it.
	progressPercent int
	progressAt      time.Duration
	// metric is a serving item's tail latency in milliseconds, or the CPU that another item uses, from the last renewal reply.
	metric float64
	// pacePercent is the ordered pace of the run in percent of full speed.
	pacePercent int
	// lastFailedOn is the target on which the item failed last.
	lastFailedOn *target
	// delayedStartTarget is the target to which a start of the item, sent in an earlier incarnation, may still be delivered.
	delayedStartTarget *target
	// notBefore is the earliest time of the next run.
	notBefore time.Duration
	// sent means that the start of the latest run may have reached the target.
	sent bool
	// incarnation is the incarnation of the target when the latest run was ordered, 0 if it was not known.
	incarnation int64
	// crashes counts the targets that have crashed while they ran the item. The record does not tell late ones from others, so that the next holder counts them in full; of those that left the start unanswered only the present holder knows.
	crashes blame.Tally
	// unexplained holds the crashes in which the item is involved and whose cause is not known, and seenBeforeCrash for how long its run was seen active before the last one.
	unexplained     []*crash
	seenBeforeCrash time.Duration
	// suspect means that the item may have crashed a target by being started, and onTrial that the latest run is a trial.
	suspect bool
	onTrial bool
	// savedAt is when the run's last checkpoint was seen, or when it was ordered. evicted means that the run is stopped for urgent work, and evictedAt is when one was last.
	savedAt   time.Duration
	evicted   bool
	evictedAt time.Duration
	// endedOn is the target that has listed the last end of the item, with the number endNumber in its incarnation endIncarnation.
	endedOn                   *target
	endIncarnation, endNumber int64
}

// step is one step of one occurrence of a job.
type step struct {
	spec       *work.Step
	job        *job
	occurrence *occurrence
	index      int
	// items holds those items of the step that have been needed so far, by their indexes, nil while there are none; the others wait for their first run. touched counts them.
	items   []*item
	touched int
	// unfinished counts the items that have not ended.
	unfinished int
	// waiting counts the items that wait for a run.
	waiting int
	// noRoom means that the last attempt found no target with room for a waiting item.
	noRoom bool
	// noRoomSince is when attempts began to find no room, 0 if the last one found room.
	noRoomSince time.Duration
	// stranded counts the items on targets of evacuated zones that the disruption budget lets leave and for which no other target has room, and strandedSince is since when there have been any.
	stranded      int
	strandedSince time.Duration
	// class says whether the step's job is served in time in a pool that is full.
	class shed.Class
	// advice is nil until advice is requested.
	advice *adviceState
}

// occurrence is one execution of a job's steps; a scheduled job has several.
type occurrence struct {
	index int
	// due is the time of day in milliseconds since 1970, 0 for a job that runs at once.
	due        int64
	steps      []*step
	unfinished int
	// runsUntil is when the items that run now, and the steps after them, are expected to be complete, 0 if that is not known or none runs.
	runsUntil time.Duration
}

// job is an accepted job and its progress.
type job struct {
	record *work.Job
	queue  *work.Queue
	// acceptedAt is when the job was accepted, by the clock of this process.
	acceptedAt time.Duration
	state      work.State
	// recordedState is the state that the store holds.
	recordedState work.State
	cancelled     bool
	// recordedCancelled means that the store holds the cancellation.
	recordedCancelled bool
	// invalid means that the job was stored although it is not valid; it has no occurrences.
	invalid bool
	// setAside means that this program cannot handle the job.
	setAside bool
	started  bool
	dirty    bool
	// recordAfter is when progress is recorded again that the store has refused, 0 if it was not refused, and heldOrders are the starts that wait for it.
	recordAfter time.Duration
	heldOrders  []Order
	endedMs     int64
	// endedAt is when the job ended or was submitted again after that, by the clock of this process, and removing means that its records are being removed from the store.
	endedAt  time.Duration
	removing bool
	// sections holds the state of the sections of the job's progress beyond the first.
	sections []sectionState
	// storedDirectly means that a direct partition holds a record of the job.
	storedDirectly bool
	// nextOccurrence is the number of occurrences that have been added.
	nextOccurrence int
	occurrences    []*occurrence
	serving        bool
	// refusedFor is how long before its acceptance the job was first refused, 0 if it was not.
	refusedFor time.Duration
	// suspects counts the items that are suspects. They are tried on trialTarget, nil until one is reserved; trialWantedAt is when the first attempt to reserve one was made.
	suspects      int
	trialTarget   *target
	trialWantedAt time.Duration
	// noTrialBefore is when a job whose trial target was given to others, because it started nothing there, may reserve one again.
	noTrialBefore time.Duration
	// criticalPathsMs holds the expected time from each step's start to the job's end, computed when the queue had criticalPathsAtRuns finished runs.
	criticalPathsMs     []float64
	criticalPathsAtRuns float64
	// stats are those of the queue, nil until they are first used; they are kept as long as a job of the queue is active.
	stats *runStats
	// expectations holds what was learned of each step's run time when criticalPathsMs was computed.
	expectations []learn.Expectation
}

func newJob(record *work.Job, queue *work.Queue, acceptedAt time.Duration) *job {
	j := &job{record: record, queue: queue, acceptedAt: acceptedAt}
	for i := range record.Steps {
		j.serving = j.serving || record.Steps[i].Serving
	}
	if record.Occurrences == 0 {
		j.addOccurrence(0, 0)
		j.nextOccurrence = 1
	}
	return j
}

// occurrenceCount is how often the job's steps are executed.
func (j *job) occurrenceCount() int { return max(j.record.Occurrences, 1) }

// addOccurrence adds an occurrence with its steps and items.
func (j *job) addOccurrence(index int, due int64) *occurrence {
	o := &occurrence{index: index, due: due}
	for i := range j.record.Steps {
		spec := &j.record.Steps[i]
		s := &step{spec: spec, job: j, occurrence: o, index: i, unfinished: spec.Count, waiting: spec.Count}
		o.steps = append(o.steps, s)
		o.unfinished += spec.Count
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// item returns the item with the index.
func (s *step) item(index int) *item {
	if s.items == nil {
		s.items = make([]*item, s.spec.Count)
	}
	if s.items[index] == nil {
		s.items[index] = &item{id: work.ItemID{Job: s.job.record.ID, Occurrence: s.occurrence.index, Step: s.index, Index: index}, step: s}
		s.touched++
	}
	return s.items[index]
}

// peek returns the item with the index, nil if it has not been needed so far.
func (s *step) peek(index int) *item {
	if s.items == nil {
		return nil
	}
	return s.items[index]
}

// known yields the items that have been needed so far. The others wait and have never had a run.
func (s *step) known() iter.Seq[*item] {
	return func(yield func(*item) bool) {
		for _, it := range s.items {
			if it != nil && !yield(it) {
				return
			}
		}
	}
}

// all yields all items.
func (s *step) all() iter.Seq[*item] {
	return func(yield func(*item) bool) {
		for n := range s.spec.Count {
			if !yield(s.item(n)) {
				return
			}
		}
	}
}

// find returns the item, or nil if its occurrence has not been added.
func (j *job) find(id work.ItemID) *item {
	for _, o := range j.occurrences {
		if o.index != id.Occurrence {
			continue
		}
		if id.Step >= len(o.steps) || id.Index >= o.steps[id.Step].spec.Count {
			return nil
		}
		return o.steps[id.Step].item(id.Index)
	}
	return nil
}

// dependenciesDone reports whether all steps that the step depends on have ended.
func (s *step) dependenciesDone() bool {
	for _, dependency := range s.spec.After {
		if s.occurrence.steps[dependency].unfinished > 0 {
			return false
		}
	}
	return true
}

// active reports whether items of the job may still be started.
func (j *job) active() bool { return !j.cancelled && !j.setAside && !j.state.Final() }
