package sched

import (
	"fmt"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Crashes of targets. An item may crash each target that starts it, and a crash says nothing about its cause. The runs that were not seen active for crashWindow before the crash are suspects. A suspect is started again only in a trial: on a target that starts nothing else meanwhile, so that a second crash has one possible cause, and its job fails. Every crash also counts against all items that ran there, since an item may crash its target later than crashWindow; after isolationCrashes it is tried on a target without other runs, until it ends.

const (
	// crashWindow is how long a run has to be seen active to be cleared of a crash; an item that crashes its target usually does so within milliseconds of the start.
	crashWindow = 250 * time.Millisecond
	// maxCrashAge is how long a run has to be seen active to be cleared of all crashes.
	maxCrashAge = 2 * time.Second
	// guiltyCrashes is the number of crashes under an item after which a trial that ends with a crash fails its job, if the target was seen to run the item and the crash showed within promptCrash.
	guiltyCrashes = 2
	// promptCrash is how long after a target's last sign of life its crash may show to be attributed to a start before. One that shows later may have come after a cut.
	promptCrash = 2 * time.Second
	// isolationCrashes is the number of crashes after which an item is tried on a target of its own, and after which its job fails also if a target was never seen to run it or the crash showed late.
	isolationCrashes = 3
	// maxCrashes is the number of crashes after which an item is not started again, with or without a trial.
	maxCrashes = 4
)

// crash is a crash of a target whose cause is not known.
type crash struct {
	involved []involvement
}

// involvement says that an item ran on a target that crashed, whether that counts in item.crashes, and whether the item was a suspect.
type involvement struct {
	item      *item
	counted   bool
	suspected bool
}

// provenOn reports whether the item's run was seen active for crashWindow after its start.
func (it *item) provenOn(tgt *target) bool { return it.provenFor(tgt, crashWindow) }

// provenFor reports whether the item's run was seen active for the given time.
func (it *item) provenFor(tgt *target, d time.Duration) bool {
	return it.seen() && tgt.answeredAt-it.confirmedAt >= d
}

// setSuspect marks or clears the item as a suspect; a suspect is started in a trial.
func (t *Table) setSuspect(it *item, suspect bool) {
	if it.suspect == suspect {
		return
	}
	it.suspect = suspect
	if suspect {
		it.step.job.suspects++
	} else {
		it.step.job.suspects--
		it.onTrial = false
	}
	t.markDirty(it.step.job)
}

// recordCrash counts a target's crash against the items that ran there, and marks the suspects. It returns the items that caused the crash for certain or, if there are none, those that must not be started again. The caller requeues the items afterwards.
func (t *Table) recordCrash(tgt *target, now time.Duration) []*item {
	if len(tgt.runs) == 0 {
		return nil
	}
	suspects := tgt.crashSuspects()
	c := &crash{}
	var guilty, usedUp []*item
	for _, it := range tgt.runs {
		suspected := slices.Contains(suspects, it)
		counted := t.countCrash(it, tgt)
		switch {
		case suspected && it.onTrial && it.isGuilty(tgt, now):
			guilty = append(guilty, it)
		case it.crashes >= maxCrashes:
			usedUp = append(usedUp, it)
		}
		if suspected || it.crashes >= isolationCrashes {
			it.seenBeforeCrash = 0
			if it.seen() {
				it.seenBeforeCrash = max(tgt.answeredAt-it.confirmedAt, 0)
			}
			t.setSuspect(it, true)
		}
		if suspected || counted {
			c.involved = append(c.involved, involvement{item: it, counted: counted, suspected: suspected})
			it.unexplained = append(it.unexplained, c)
		}
	}
	first := ""
	if len(suspects) > 0 {
		first = fmt.Sprintf(" first=%s crashes=%d", suspects[0].id, suspects[0].crashes)
	}
	t.logEvent("crashed", string(tgt.ID), tgt.Pool, fmt.Sprintf("runs=%d suspects=%d trial=%t%s", len(tgt.runs), len(suspects), tgt.trial != nil, first))
	if len(guilty) == 0 {
		return usedUp
	}
	return guilty
}

// countCrash counts a crash against an item that ran on the target, and reports whether it does. One of which only an earlier holder or nobody knows whether it ran is not counted the first time.
func (t *Table) countCrash(it *item, tgt *target) bool {
	if !it.sent || (!it.seen() && !it.suspect) || it.provenFor(tgt, maxCrashAge) {
		return false
	}
	it.crashes++
	t.markDirty(it.step.job)
	return true
}

// isGuilty reports whether an item whose trial ended with a crash has caused it. Crashes that another item explains count here too, since both may crash their targets.
func (it *item) isGuilty(tgt *target, now time.Duration) bool {
	prompt := it.seen() && now-max(it.confirmedAt, tgt.answeredAt) <= promptCrash
	return it.crashes >= isolationCrashes || (it.crashes+it.explained >= guiltyCrashes && prompt)
}

// seen reports whether the target has confirmed the run to this holder, in the incarnation to which it was ordered.
func (it *item) seen() bool { return it.confirmed && it.confirmedAt > 0 && !it.doubtful }

// crashSuspects returns the runs that may have crashed the target. A trial begins when all other runs have been seen active for crashWindow, so that during a trial only the items on trial are suspects.
func (t *target) crashSuspects() []*item {
	var suspects []*item
	if t.trial != nil {
		for _, it := range t.runs {
			if it.onTrial && it.sent && !it.cleared(t) {
				suspects = append(suspects, it)
			}
		}
	}
	if len(suspects) > 0 {
		return suspects
	}
	for _, it := range t.runs {
		if it.sent && !it.provenOn(t) {
			suspects = append(suspects, it)
		}
	}
	return suspects
}

// failGuilty fails the jobs of items that have crashed several targets, and clears the others that ran there.
func (t *Table) failGuilty(items []*item, now time.Duration) {
	for _, it := range items {
		if it.step.job.active() {
			t.failJobOf(it, now)
		}
	}
}

// failJobOf fails the job of an item that crashes its targets, and clears the items of other jobs of the crashes that it is involved in.
func (t *Table) failJobOf(it *item, now time.Duration) {
	t.logEvent("failed", it.id.String(), "crashes its targets", fmt.Sprintf("crashes=%d", it.crashes))
	for _, c := range it.unexplained {
		for _, other := range c.involved {
			if other.item.step.job != it.step.job {
				t.clearOf(other, c)
			}
		}
	}
	t.finishJob(it.step.job, work.Failed, now)
	t.stopRuns(it.step.job, (*item).outlivesFailure, now)
}

// outlivesFailure reports whether the item's run goes on when its job fails, until the caller cancels the job: its callers are promised that only MaxUnavailable items are stopped at once, and the guilty one is away already.
func (it *item) outlivesFailure() bool {
	return it.step.spec.Serving && it.step.spec.MaxUnavailable > 0
}

// clearOf clears an item of a crash that another one has caused. One that has been a suspect of guiltyCrashes such crashes is tried all the same.
func (t *Table) clearOf(i involvement, c *crash) {
	it := i.item
	n := slices.Index(it.unexplained, c)
	if n < 0 {
		return
	}
	it.unexplained = slices.Delete(it.unexplained, n, n+1)
	if i.counted && it.crashes > 0 {
		it.crashes--
	}
	if i.suspected {
		it.explained++
	}
	t.markDirty(it.step.job)
	if len(it.unexplained) == 0 && it.crashes == 0 && it.explained < guiltyCrashes {
		t.setSuspect(it, false)
	}
}

// clearOfAll clears an item whose run ended otherwise, or was seen active for long, of all crashes.
func (t *Table) clearOfAll(it *item) {
	it.crashes, it.explained, it.unexplained = 0, 0, nil
	t.setSuspect(it, false)
}
