package sched

import (
	"fmt"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/blame"
	"lavenderwing.example/lavenderwing/work"
)

// Crashes of targets. An item may crash each target that starts it, and a crash says nothing about its cause. The runs that were not seen active for crashWindow before the crash are suspects. A suspect is started again only in a trial: on a target that starts nothing else meanwhile, so that a second crash has one possible cause, and its job fails. Every crash also counts against all items that were seen to run there, since an item may crash its target later than crashWindow; after blame.IsolationCrashes it is tried on a target without other runs, until it ends. What a crash counts, and when an item is given up, is decided by package blame.

const (
	crashWindow = blame.ClearWindow
	maxCrashAge = blame.MaxAge
)

// crash is a crash of a target whose cause is not known.
type crash struct {
	involved []involvement
}

// involvement says that an item ran on a target that crashed, what that counts, and whether the item was a suspect.
type involvement struct {
	item      *item
	count     blame.Count
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
		count := t.countCrash(it, tgt, now)
		switch {
		case suspected && it.onTrial && it.crashes.Guilty(count):
			guilty = append(guilty, it)
		case it.crashes.UsedUp():
			usedUp = append(usedUp, it)
		}
		if suspected && count == blame.Unanswered {
			it.notBefore = max(it.notBefore, now+it.crashes.Pause())
		}
		if suspected || it.crashes.Isolated() {
			it.seenBeforeCrash = 0
			if it.seen() {
				it.seenBeforeCrash = max(tgt.answeredAt-it.confirmedAt, 0)
			}
			t.setSuspect(it, true)
		}
		if suspected || count != blame.None {
			c.involved = append(c.involved, involvement{item: it, count: count, suspected: suspected})
			it.unexplained = append(it.unexplained, c)
		}
	}
	first := ""
	if len(suspects) > 0 {
		first = fmt.Sprintf(" first=%s %s", suspects[0].id, suspects[0].crashText())
	}
	t.logEvent("crashed", string(tgt.ID), tgt.Pool, fmt.Sprintf("runs=%d suspects=%d trial=%t%s", len(tgt.runs), len(suspects), tgt.trial != nil, first))
	if len(guilty) == 0 {
		return usedUp
	}
	return guilty
}

// countCrash counts a crash against an item that was ordered to the target, and returns what it counts.
func (t *Table) countCrash(it *item, tgt *target, now time.Duration) blame.Count {
	run := blame.Run{Sent: it.sent, Seen: it.seen()}
	if run.Seen {
		run.Active = max(tgt.answeredAt-it.confirmedAt, 0)
		run.Silent = now - max(it.confirmedAt, tgt.answeredAt)
	}
	count := blame.Judge(run)
	if count != blame.None {
		it.crashes = it.crashes.Add(count)
		t.markDirty(it.step.job)
	}
	return count
}

// crashText describes the crashes that count against the item, for the log.
func (it *item) crashText() string {
	return fmt.Sprintf("crashes=%d late=%d unanswered=%d", it.crashes.Prompt, it.crashes.Late, it.crashes.Unanswered)
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
	t.logEvent("failed", it.id.String(), "crashes its targets", it.crashText())
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

// clearOf clears an item of a crash that another one has caused. One that has been a suspect of blame.GuiltyCrashes such crashes is tried all the same.
func (t *Table) clearOf(i involvement, c *crash) {
	it := i.item
	n := slices.Index(it.unexplained, c)
	if n < 0 {
		return
	}
	it.unexplained = slices.Delete(it.unexplained, n, n+1)
	it.crashes = it.crashes.Remove(i.count)
	if i.suspected && i.count == blame.Prompt {
		it.crashes.Explained++
	}
	t.markDirty(it.step.job)
	if len(it.unexplained) == 0 && it.crashes.Empty() && it.crashes.Explained < blame.GuiltyCrashes {
		t.setSuspect(it, false)
	}
}

// clearOfAll clears an item whose run ended otherwise, or was seen active for long, of all crashes.
func (t *Table) clearOfAll(it *item) {
	it.crashes, it.unexplained = blame.Tally{}, nil
	t.setSuspect(it, false)
}
