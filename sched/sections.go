package sched

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strconv"
	"strings"

	"lavenderwing.example/lavenderwing/work"
)

// A job's items are divided by their position into sections of equal size, so that no record of the store outgrows its limit, however many items a job has and whatever they run on. The first section is part of the job's own record; each further one has a record of its own, which is written only when it has changed.

const (
	// sectionPrefix begins the keys of sections, which go on with the job's identifier and the section's number.
	sectionPrefix = "part/"
	// maxSectionItems bounds the items of a section, so that a record with the longest names leaves room for checkpoints of more than 1 kB in records of 256 kB.
	maxSectionItems = 128
	// headBytes bounds what a record holds beside its items, with its key.
	headBytes = 64
	// maxItemBytes bounds an item's progress without its checkpoint: eight numbers, three booleans, and the identifier of a target, which the store limits to 255 bytes because it is a key there.
	maxItemBytes = 352
)

// sectionSize returns how many items a section holds under the given limit for a record, 0 meaning that there is none.
func sectionSize(recordLimit int) int {
	if recordLimit <= 0 {
		return maxSectionItems
	}
	return min(max((recordLimit-headBytes)/maxItemBytes, 1), maxSectionItems)
}

func sectionKey(id work.JobID, number int) string {
	return sectionPrefix + string(id) + "/" + strconv.Itoa(number)
}

// parseSectionKey returns the job and the number of the section that a record's key names, if it names one.
func parseSectionKey(key string) (id work.JobID, number int, ok bool) {
	rest, ok := strings.CutPrefix(key, sectionPrefix)
	if !ok {
		return "", 0, false
	}
	job, digits, ok := strings.Cut(rest, "/")
	number, err := strconv.Atoi(digits)
	return work.JobID(job), number, ok && err == nil && number > 0
}

// sectionState is what the store holds of a section: whether it holds a record, and the hash of the last one that this holder has passed on to be written, 0 if there is none.
type sectionState struct {
	recorded bool
	hash     uint64
}

// sectionSeed makes the hashes of sections comparable within this process.
var sectionSeed = maphash.MakeSeed()

// encodeProgress encodes a job's progress into records, each of which fits the store's limit and tells the state of its items by itself. The records of a job that goes on end with the job's own one, and those of a job that has ended begin with it: if only the first of them get written, no item's run is forgotten, and no item of an ended job starts again.
func (t *Table) encodeProgress(j *job) ([]Entry, error) {
	head, rest := j.progress(sectionSize(t.recordLimit))
	value, err := t.encodeItems(j, string(j.record.ID), head.Items, func() ([]byte, error) { return work.Encode(head) })
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, 1+len(rest))
	for n, items := range rest {
		e, changed, err := t.encodeSection(j, n+1, items)
		if err != nil {
			return nil, err
		}
		if changed {
			entries = append(entries, e)
		}
	}
	own := Entry{Key: string(j.record.ID), Value: value}
	if j.state.Final() {
		return slices.Insert(entries, 0, own), nil
	}
	return append(entries, own), nil
}

// encodeSection encodes a section and reports whether its record has to be written. A section without items needs no record, and loses the one that it has.
func (t *Table) encodeSection(j *job, number int, items []work.ItemProgress) (e Entry, changed bool, err error) {
	for len(j.sections) < number {
		j.sections = append(j.sections, sectionState{})
	}
	s := &j.sections[number-1]
	e.Key = sectionKey(j.record.ID, number)
	if len(items) == 0 {
		changed = s.recorded
		*s = sectionState{}
		return e, changed, nil
	}
	e.Value, err = t.encodeItems(j, e.Key, items, func() ([]byte, error) { return work.Encode(&work.ProgressSection{Items: items}) })
	if err != nil {
		return e, false, err
	}
	hash := maphash.Bytes(sectionSeed, e.Value)
	changed = !s.recorded || s.hash != hash
	*s = sectionState{recorded: true, hash: hash}
	return e, changed, nil
}

// encodeItems encodes a record with the given items. If it exceeds the store's limit, the longest checkpoints are left out; their items begin anew after a takeover.
func (t *Table) encodeItems(j *job, key string, items []work.ItemProgress, encode func() ([]byte, error)) ([]byte, error) {
	value, err := encode()
	excess := 1 + len(key) + len(value) - t.recordLimit
	if err != nil || t.recordLimit == 0 || excess <= 0 {
		return value, err
	}
	order := make([]int, len(items))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(items[b].Checkpoint), len(items[a].Checkpoint)) })
	dropped := 0
	for _, n := range order {
		if excess <= 0 || items[n].Checkpoint == "" {
			break
		}
		excess -= len(items[n].Checkpoint)
		items[n].Checkpoint = ""
		dropped++
	}
	t.logEvent("progressTooLarge", string(j.record.ID), "checkpoints are left out", fmt.Sprintf("record=%s bytes=%d limit=%d dropped=%d", key, len(value), t.recordLimit, dropped))
	return encode()
}

// progress returns the job's progress record with the first section, and the items of the further sections. Items in their initial state, and those of an ended job that have no run, are left out.
func (j *job) progress(sectionSize int) (*work.JobProgress, [][]work.ItemProgress) {
	p := &work.JobProgress{State: j.state, Cancelled: j.cancelled, EndedMs: j.endedMs}
	rest := make([][]work.ItemProgress, len(j.sections))
	final := j.state.Final()
	perOccurrence := j.itemsPerOccurrence()
	for _, o := range j.occurrences {
		position := o.index * perOccurrence
		for _, s := range o.steps {
			for n, it := range s.items {
				if it == nil || it.run == 0 || (final && it.target == nil) {
					continue
				}
				section := (position + n) / sectionSize
				if section == 0 {
					p.Items = append(p.Items, it.progress())
					continue
				}
				for len(rest) < section {
					rest = append(rest, nil)
				}
				rest[section-1] = append(rest[section-1], it.progress())
			}
			position += s.spec.Count
		}
	}
	return p, rest
}

// itemsPerOccurrence returns the number of items in one occurrence of the job.
func (j *job) itemsPerOccurrence() int {
	items := 0
	for i := range j.record.Steps {
		items += j.record.Steps[i].Count
	}
	return items
}

// progress returns the item's progress as it is stored.
func (it *item) progress() work.ItemProgress {
	p := work.ItemProgress{
		Occurrence: it.id.Occurrence, Step: it.id.Step, Index: it.id.Index,
		Done: it.state == itemEnded, Run: it.run, Failures: it.failures,
	}
	p.Crashes, p.Explained, p.Suspect = it.crashes.Seen(), it.crashes.Explained, it.suspect
	if it.target != nil {
		p.Target, p.Incarnation, p.OnTrial = it.target.ID, it.incarnation, it.onTrial
	}
	if it.step.spec.Checkpointing && it.state != itemEnded {
		p.Checkpoint = it.checkpoint
	}
	return p
}

// ProgressSet collects the records of jobs' progress that the store holds.
type ProgressSet struct {
	heads    map[work.JobID]*work.JobProgress
	offsets  map[work.JobID]int64
	sections map[work.JobID]map[int]storedSection
}

// storedSection is a section of a job and the offset of its record.
type storedSection struct {
	items  []work.ItemProgress
	offset int64
}

// NewProgressSet returns an empty set.
func NewProgressSet() *ProgressSet {
	return &ProgressSet{heads: map[work.JobID]*work.JobProgress{}, offsets: map[work.JobID]int64{}, sections: map[work.JobID]map[int]storedSection{}}
}

// Add decodes the record of a job or of a section with its offset in the store, and reports whether the key is of that kind.
func (s *ProgressSet) Add(key string, value []byte, offset int64) (bool, error) {
	if IsJobKey(key) {
		p := &work.JobProgress{}
		if err := work.Decode(value, p); err != nil {
			return true, err
		}
		s.heads[work.JobID(key)], s.offsets[work.JobID(key)] = p, offset
		return true, nil
	}
	id, number, ok := parseSectionKey(key)
	if !ok {
		return false, nil
	}
	var section work.ProgressSection
	if err := work.Decode(value, &section); err != nil {
		return true, err
	}
	if s.sections[id] == nil {
		s.sections[id] = map[int]storedSection{}
	}
	s.sections[id][number] = storedSection{items: section.Items, offset: offset}
	return true, nil
}

// Heads returns the progress records of the jobs without their further sections.
func (s *ProgressSet) Heads() map[work.JobID]*work.JobProgress { return s.heads }

// Job returns the progress of a job with all its sections, nil if there is none. If two records hold one item, as after an upgrade that was interrupted, the later one counts.
func (s *ProgressSet) Job(id work.JobID) *work.JobProgress {
	head, sections := s.heads[id], s.sections[id]
	if len(sections) == 0 {
		return head
	}
	type position struct{ occurrence, step, index int }
	type version struct {
		item   work.ItemProgress
		offset int64
	}
	newest := map[position]version{}
	add := func(items []work.ItemProgress, offset int64) {
		for _, it := range items {
			at := position{it.Occurrence, it.Step, it.Index}
			if known, ok := newest[at]; !ok || offset >= known.offset {
				newest[at] = version{it, offset}
			}
		}
	}
	// A job whose own record is missing was begun by a holder that ended before it had written all of them.
	p := &work.JobProgress{State: work.Running}
	if head != nil {
		p = &work.JobProgress{State: head.State, Cancelled: head.Cancelled, EndedMs: head.EndedMs}
		add(head.Items, s.offsets[id])
	}
	for number, section := range sections {
		add(section.items, section.offset)
		p.Sections = append(p.Sections, number)
	}
	for _, v := range newest {
		p.Items = append(p.Items, v.item)
	}
	slices.SortFunc(p.Items, func(a, b work.ItemProgress) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	slices.Sort(p.Sections)
	return p
}

// Take returns the progress of a job like Job and removes it from the set.
func (s *ProgressSet) Take(id work.JobID) *work.JobProgress {
	p := s.Job(id)
	delete(s.heads, id)
	delete(s.offsets, id)
	delete(s.sections, id)
	return p
}

// Sections returns the keys of the sections that are left in the set of a job.
func (s *ProgressSet) Sections(id work.JobID) []string {
	var keys []string
	for _, number := range slices.Sorted(maps.Keys(s.sections[id])) {
		keys = append(keys, sectionKey(id, number))
	}
	return keys
}

// SectionedJobs returns the jobs of which sections are left in the set.
func (s *ProgressSet) SectionedJobs() []work.JobID { return slices.Sorted(maps.Keys(s.sections)) }

// RemoveRecords has records of the progress topic removed with the next batch.
func (t *Table) RemoveRecords(keys []string) { t.removedKeys = append(t.removedKeys, keys...) }

// loadSections notes which sections of a job the store holds. The records of a job that has ended and runs nothing are removed with the next batch.
func (t *Table) loadSections(j *job, numbers []int) {
	for _, number := range numbers {
		for len(j.sections) < number {
			j.sections = append(j.sections, sectionState{})
		}
		j.sections[number-1].recorded = true
	}
	if len(numbers) > 0 && j.state.Final() && !t.hasRuns(j) {
		t.markDirty(j)
	}
}
