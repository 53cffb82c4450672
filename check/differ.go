package check

import (
	"slices"
	"strconv"
	"strings"

	"lavenderwing.example/lavenderwing/work"
)

// value is a field of an entry with its text.
type value struct {
	field Field
	text  string
}

// compare reports what differs from the version in force. Of entries with the same name the first one counts, as in processes.
func (k *checker) compare() {
	if k.config.Version <= k.old.Version {
		k.add(Error, Whole, "", Version, "a number above "+strconv.FormatInt(k.old.Version, 10), "is %d and not higher than %d, which is in force, so that processes ignore the configuration", k.config.Version, k.old.Version)
	}
	k.compareFields(Whole, "", wholeValues(k.old), wholeValues(k.config))
	compareEntries(k, Queue, k.old.Queues, k.config.Queues, func(q *work.Queue) string { return q.Name }, queueValues,
		"is removed; accepted jobs keep its priority, attempts, objective and advisor")
	compareEntries(k, Pool, k.old.Pools, k.config.Pools, func(p *work.Pool) string { return p.Name }, poolValues, "is removed")
	compareEntries(k, Team, k.old.Teams, k.config.Teams, func(t *work.Team) string { return t.Name }, teamValues,
		"is removed; accepted jobs continue without a cap and with a weight of 1")
	for i := range k.config.Teams {
		t := &k.config.Teams[i]
		if old, ok := k.old.Team(t.Name); ok {
			k.compareKeys(old, t)
		}
	}
	for i := range k.old.Teams {
		t := &k.old.Teams[i]
		if _, ok := k.config.Team(t.Name); !ok {
			k.compareKeys(t, &work.Team{Name: t.Name})
		}
	}
}

// compareEntries reports the entries of a kind that are added, changed or removed.
func compareEntries[E any](k *checker, kind Kind, before, after []E, name func(*E) string, values func(*E) []value, removed string) {
	old, current := firstByName(before, name), firstByName(after, name)
	for i := range after {
		e := &after[i]
		was, ok := old[name(e)]
		switch {
		case current[name(e)] != e:
		case !ok:
			k.add(Note, kind, name(e), "", "", "is added")
		default:
			k.compareFields(kind, name(e), values(was), values(e))
		}
	}
	for i := range before {
		e := &before[i]
		if current[name(e)] == nil && old[name(e)] == e {
			k.add(Note, kind, name(e), "", "", "%s", removed)
		}
	}
}

// firstByName returns the first entry of each name.
func firstByName[E any](entries []E, name func(*E) string) map[string]*E {
	first := make(map[string]*E, len(entries))
	for i := range entries {
		if first[name(&entries[i])] == nil {
			first[name(&entries[i])] = &entries[i]
		}
	}
	return first
}

// compareFields reports the fields whose texts differ.
func (k *checker) compareFields(kind Kind, name string, before, after []value) {
	for i, v := range after {
		if was := before[i].text; was != v.text {
			k.add(Note, kind, name, v.field, "", "changes from %s to %s", was, v.text)
			last := &k.findings[len(k.findings)-1]
			last.Old, last.New = was, v.text
			if kind == Queue && v.field == PoolName {
				last.Problem += "; it also applies to accepted jobs"
			}
		}
	}
}

// compareKeys reports the keys of a team that are added or removed.
func (k *checker) compareKeys(before, after *work.Team) {
	for _, key := range slices.Compact(slices.Sorted(slices.Values(after.Keys))) {
		if !slices.Contains(before.Keys, key) {
			k.add(Note, Team, after.Name, Keys, "", "gains %s", Mask(key))
		}
	}
	for _, key := range slices.Compact(slices.Sorted(slices.Values(before.Keys))) {
		if slices.Contains(after.Keys, key) {
			continue
		}
		if owner, ok := k.config.TeamByKey(key); ok {
			k.add(Note, Team, after.Name, Keys, "", "loses %s to team %s", Mask(key), printable(owner.Name))
			continue
		}
		k.add(Note, Team, after.Name, Keys, "", "loses %s, whose requests are refused from then on", Mask(key))
	}
}

func wholeValues(c *work.Config) []value {
	return []value{{MaxBodyBytes, strconv.Itoa(c.MaxBodyBytes)}}
}

func queueValues(q *work.Queue) []value {
	values := []value{
		{Host, printable(q.Host)},
		{PathPrefix, printable(q.PathPrefix)},
		{PoolName, printable(q.Pool)},
		{Public, strconv.FormatBool(q.Public)},
		{Priority, strconv.Itoa(q.Priority)},
		{MaxAttempts, strconv.Itoa(q.MaxAttempts)},
		{SlackFactor, number(q.SlackFactor)},
		{FixedSlackMs, strconv.FormatInt(q.FixedSlackMs, 10)},
		{TimeoutMs, strconv.FormatInt(q.TimeoutMs, 10)},
	}
	base, perTarget, validity := "none", "none", "none"
	if a := q.Advisor; a != nil {
		base, perTarget, validity = number(a.BaseLatencyMs), number(a.PerTargetLatencyMs), strconv.FormatInt(a.TicketValidityMs, 10)
	}
	return append(values, value{BaseLatencyMs, base}, value{PerTargetLatencyMs, perTarget}, value{TicketValidityMs, validity})
}

func poolValues(p *work.Pool) []value {
	return []value{
		{EnforcesCapacity, strconv.FormatBool(p.EnforcesCapacity)},
		{Standby, strconv.FormatBool(p.Standby)},
		{HealthPath, printable(p.HealthPath)},
	}
}

func teamValues(t *work.Team) []value {
	values := []value{{Weight, number(t.Weight)}}
	for _, d := range capsOf(t) {
		text := strconv.FormatInt(d.value, 10)
		if d.value == 0 {
			text = "no limit"
		}
		values = append(values, value{d.field, text})
	}
	return values
}

// String returns the part of the configuration that the finding is about, such as "queue orders".
func (f Finding) String() string { return strings.TrimSpace(string(f.Kind) + " " + f.shownName()) }

func (f Finding) shownName() string {
	if f.Kind == Whole {
		return ""
	}
	return printable(f.Name)
}
