package sched

import (
	"fmt"

	"lavenderwing.example/lavenderwing/work"
)

// Sizes of the parts of a job's progress record in bytes, at their largest.
const (
	// progressBytes is the part that does not depend on the items, with the job's identifier as the key.
	progressBytes = 64
	// itemProgressBytes is an item without its target's name and its checkpoint.
	itemProgressBytes = 39
)

// MaxProgressBytes returns how large the record of a job's progress may become while all its items run on the targets known now. Checkpoints do not count, since a record without them will do.
func (t *Table) MaxProgressBytes(record *work.Job) int {
	items := 0
	for i := range record.Steps {
		items += record.Steps[i].Count
	}
	longest := 0
	for _, tgt := range t.sortedTargets {
		longest = max(longest, len(tgt.ID))
	}
	return progressBytes + items*max(record.Occurrences, 1)*(itemProgressBytes+longest)
}

// encodeProgress encodes a job's progress. If the record exceeds the store's limit, it leaves the checkpoints out, without which items begin anew.
func (t *Table) encodeProgress(j *job) ([]byte, error) {
	p := j.progress()
	value, err := work.Encode(p)
	if err != nil || t.recordLimit == 0 || 1+len(j.record.ID)+len(value) <= t.recordLimit {
		return value, err
	}
	t.logEvent("progressTooLarge", string(j.record.ID), "checkpoints are left out", fmt.Sprintf("bytes=%d limit=%d", len(value), t.recordLimit))
	for i := range p.Items {
		p.Items[i].Checkpoint = ""
	}
	return work.Encode(p)
}
