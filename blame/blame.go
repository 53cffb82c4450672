package blame

import "time"

const (
	// ClearWindow is how long a run has to be seen active to be no suspect of a crash; an item that crashes its target usually does so within milliseconds of the start (docs/incidents/deadly-items.md).
	ClearWindow = 250 * time.Millisecond
	// MaxAge is how long a run has to be seen active for a crash not to count at all.
	MaxAge = 2 * time.Second
	// promptTime is how long after a target's last sign of life its crash shows if the target was not cut off before: the cloud's list shows it within 250 ms and lags by less than a second.
	promptTime = 2 * time.Second
	// GuiltyCrashes is the number of prompt crashes after which a trial that ends with one gives the item up.
	GuiltyCrashes = 2
	// IsolationCrashes is the number of crashes of any kind after which an item is tried on a target of its own, and of seen ones after which a trial gives it up although some showed late.
	IsolationCrashes = 3
	// MaxCrashes is the number of seen crashes after which an item is given up with or without a trial.
	MaxCrashes = 4
	// firstPause is the pause after the third crash that left a start unanswered. It doubles with each further one up to maxPause, when the item costs about two targets a minute.
	firstPause = time.Second
	maxPause   = 32 * time.Second
)

// Run is what is known of an item's latest run on a target that has crashed.
type Run struct {
	// Sent means that the start may have reached the target.
	Sent bool
	// Seen means that the target has answered the start or reported the run, to this holder and in the incarnation that crashed.
	Seen bool
	// Active is the time from when the run was first seen to the target's last sign of life.
	Active time.Duration
	// Silent is the time from the target's last sign of life to when its crash showed.
	Silent time.Duration
}

// Count is what a crash counts against an item.
type Count int

const (
	// None counts nothing.
	None Count = iota
	// Unanswered counts only towards isolation and pauses: it is unknown whether the run began.
	Unanswered
	// Late counts only as one of IsolationCrashes: the target may have been cut off and have started anew for another cause.
	Late
	// Prompt counts in full.
	Prompt
)

// Judge returns what a crash counts against an item with the given run. A crash that shows late counts only if the target fell silent right after the start; otherwise it was most likely cut off first.
func Judge(r Run) Count {
	switch {
	case !r.Sent:
		return None
	case !r.Seen:
		return Unanswered
	case r.Active >= MaxAge:
		return None
	case r.Silent <= promptTime:
		return Prompt
	case r.Active < ClearWindow:
		return Late
	}
	return None
}

// Tally is an item's crashes by what they count. Explained are those Prompt ones of which it was a suspect and another item was found guilty; they are in no other number.
type Tally struct {
	Prompt, Late, Unanswered, Explained int
}

// Add returns the tally with one more crash.
func (t Tally) Add(c Count) Tally { return t.add(c, 1) }

// Remove returns the tally with one crash less, down to none.
func (t Tally) Remove(c Count) Tally { return t.add(c, -1) }

func (t Tally) add(c Count, n int) Tally {
	switch c {
	case Prompt:
		t.Prompt = max(t.Prompt+n, 0)
	case Late:
		t.Late = max(t.Late+n, 0)
	case Unanswered:
		t.Unanswered = max(t.Unanswered+n, 0)
	}
	return t
}

// Empty reports whether no crash counts.
func (t Tally) Empty() bool { return t.Prompt == 0 && t.Late == 0 && t.Unanswered == 0 }

// Guilty reports whether an item is given up whose trial has ended with a crash that counts c and is in the tally. At least two targets have then crashed under runs of the item that were seen on them. Crashes that another item explains count, since both may crash their targets.
func (t Tally) Guilty(c Count) bool {
	switch c {
	case Prompt:
		return t.Prompt+t.Explained >= GuiltyCrashes || t.Seen() >= IsolationCrashes
	case Late:
		return t.Seen() >= IsolationCrashes
	}
	return false
}

// Seen is the number of unexplained crashes under runs that were seen.
func (t Tally) Seen() int { return t.Prompt + t.Late }

// UsedUp reports whether an item is given up without a trial.
func (t Tally) UsedUp() bool { return t.Seen() >= MaxCrashes }

// Isolated reports whether an item is tried on a target of its own.
func (t Tally) Isolated() bool { return t.Seen()+t.Unanswered >= IsolationCrashes }

// Pause returns how long an item waits for its next trial after a crash that left its start unanswered. Such crashes never give an item up, so the pauses bound what it costs.
func (t Tally) Pause() time.Duration {
	if t.Unanswered < IsolationCrashes {
		return 0
	}
	pause := firstPause
	for n := IsolationCrashes; n < t.Unanswered && pause < maxPause; n++ {
		pause *= 2
	}
	return pause
}
