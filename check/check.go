package check

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Option adds a source to a check.
type Option func(*checker)

// WithInForce compares the configuration with the version in force.
func WithInForce(c *work.Config) Option { return func(k *checker) { k.old = c } }

// WithSettings checks the configuration against the settings of a process.
func WithSettings(s work.Settings) Option { return func(k *checker) { k.settings = &s } }

// WithUnread reports parts of the configuration that processes do not use as they are written.
func WithUnread(fields []work.UnreadField) Option { return func(k *checker) { k.unread = fields } }

// Config returns the findings about a configuration, the most severe ones first.
func Config(c *work.Config, opts ...Option) []Finding {
	k := &checker{config: c}
	for _, o := range opts {
		o(k)
	}
	k.checkWhole()
	k.checkQueues()
	k.checkPools()
	k.checkTeams()
	if k.old != nil {
		k.compare()
	}
	return k.sorted()
}

// checker holds the sources of a check.
type checker struct {
	report
	config   *work.Config
	old      *work.Config
	settings *work.Settings
	unread   []work.UnreadField
}

// What numbers are allowed.
const (
	atLeast0 = "a number of at least 0"
	atLeast1 = "a number of at least 1"
	unique   = "a name of its own"
)

// maxObjectiveMs is the longest time in milliseconds that a time.Duration can hold.
const maxObjectiveMs = math.MaxInt64 / int64(time.Millisecond)

func (k *checker) checkWhole() {
	c := k.config
	if c.Version < 1 {
		k.add(Error, Whole, "", Version, atLeast1, "is %d, which processes do not put in force", c.Version)
	}
	if c.MaxBodyBytes < 0 {
		k.add(Error, Whole, "", MaxBodyBytes, atLeast0, "is %d", c.MaxBodyBytes)
	}
	k.checkUnread()
	if len(c.Queues) == 0 {
		k.add(Warning, Whole, "", "", "at least one queue", "has no queues, so that every request is refused")
	}
}

// listIndex matches the place of an entry in a list, as in routes[3].
var listIndex = regexp.MustCompile(`\[\d+\]`)

// checkUnread reports values that are not used as they are written, and once for each name those that are not known: platforms add such names to every entry of a list.
func (k *checker) checkUnread() {
	count := map[string]int{}
	var first []work.UnreadField
	for _, f := range k.unread {
		if f.Want != "" {
			k.add(Warning, Whole, "", Field(f.Path), f.Want, "is not used as it is written")
			continue
		}
		name := listIndex.ReplaceAllString(f.Path, "")
		if count[name] == 0 {
			first = append(first, f)
		}
		count[name]++
	}
	for _, f := range first {
		more := ""
		if n := count[listIndex.ReplaceAllString(f.Path, "")] - 1; n > 0 {
			more = fmt.Sprintf(", here and in %d more entries", n)
		}
		k.add(Note, Whole, "", Field(f.Path), "", "is not known and has no effect%s", more)
	}
}

// checkNames reports names that are empty or not unique. Only the first entry of a name is found by it.
func (k *checker) checkNames(kind Kind, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		switch {
		case seen[name]:
			k.add(Error, kind, name, Name, unique, "is also the name of an earlier %s", kind)
		case name == "" && !(kind == Team && k.servesPublicJobs(&k.config.Teams[i])):
			k.add(Error, kind, name, Name, "not empty", "is empty")
		case name == "":
			k.add(Note, kind, name, Name, "", "is empty, so that the weight and the cap apply to jobs of public queues")
		}
		seen[name] = true
	}
}

// servesPublicJobs reports whether the team is the one without a name that jobs of public queues belong to.
func (k *checker) servesPublicJobs(t *work.Team) bool {
	return t.Name == "" && len(t.Keys) == 0 && slices.ContainsFunc(k.config.Queues, func(q work.Queue) bool { return q.Public })
}

func (k *checker) checkQueues() {
	names := make([]string, len(k.config.Queues))
	for i := range k.config.Queues {
		names[i] = k.config.Queues[i].Name
	}
	k.checkNames(Queue, names)
	type place struct{ host, prefix string }
	first := map[place]string{}
	for i := range k.config.Queues {
		q := &k.config.Queues[i]
		k.checkRoute(q)
		at := place{q.Host, q.PathPrefix}
		if name, ok := first[at]; ok {
			k.add(Warning, Queue, q.Name, PathPrefix, "a host and prefix of its own", "never matches, because queue %s has the same host and prefix %s", printable(name), printable(q.PathPrefix))
		} else {
			first[at] = q.Name
		}
		k.checkQueuePool(q)
		k.checkTerms(q)
		if q.Advisor != nil {
			k.checkAdvisor(q)
		}
	}
}

// checkRoute reports a host or path prefix that no request has. Processes compare with the host in lower case without its port, and with the normalized path.
func (k *checker) checkRoute(q *work.Queue) {
	switch {
	case q.Host == "":
		k.add(Warning, Queue, q.Name, Host, "a host name", "is empty and never matches")
	case q.Host != asciiLower(q.Host):
		k.add(Warning, Queue, q.Name, Host, "lower case", "never matches, because it is compared with the request's host in lower case")
	case strings.Contains(q.Host, ":") && !strings.HasPrefix(q.Host, "["):
		k.add(Warning, Queue, q.Name, Host, "a host name without a port", "never matches, because the port is removed from the request's host")
	case strings.ContainsAny(q.Host, " \t\r\n/"):
		k.add(Warning, Queue, q.Name, Host, "a host name", "never matches, because no host contains a space or a slash")
	}
	switch {
	case q.PathPrefix == "":
		k.add(Warning, Queue, q.Name, PathPrefix, "a path that begins with a slash", "is empty and never matches a job, because the rest of a path must be the job's identifier")
	case q.PathPrefix[0] != '/':
		k.add(Warning, Queue, q.Name, PathPrefix, "a path that begins with a slash", "never matches, because paths begin with a slash")
	case strings.Contains(q.PathPrefix, "//"), strings.Contains(q.PathPrefix, "/./"), strings.Contains(q.PathPrefix, "/../"):
		k.add(Warning, Queue, q.Name, PathPrefix, "a normalized path", "never matches, because paths are normalized before they are compared")
	}
}

// asciiLower returns the text with the letters A to Z in lower case, as the HTTP server does with the request's host.
func asciiLower(text string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'A' && r <= 'Z' {
			return r + 'a' - 'A'
		}
		return r
	}, text)
}

func (k *checker) checkQueuePool(q *work.Queue) {
	const allowed = "the name of a pool that is not a standby pool"
	p, ok := k.config.Pool(q.Pool)
	switch {
	case !ok:
		k.add(Error, Queue, q.Name, PoolName, allowed, "is %s, which does not exist, so that no hosts are moved to it", printable(q.Pool))
	case p.Standby:
		k.add(Error, Queue, q.Name, PoolName, allowed, "is the standby pool %s, whose hosts are powered off", printable(q.Pool))
	}
}

func (k *checker) checkTerms(q *work.Queue) {
	if q.Priority < 0 {
		k.add(Error, Queue, q.Name, Priority, atLeast0, "is %d", q.Priority)
	}
	switch {
	case q.MaxAttempts < 0:
		k.add(Error, Queue, q.Name, MaxAttempts, atLeast1, "is %d", q.MaxAttempts)
	case q.MaxAttempts == 0:
		k.add(Warning, Queue, q.Name, MaxAttempts, atLeast1, "is 0 and counts as 1")
	}
	switch {
	case q.SlackFactor < 0:
		k.add(Error, Queue, q.Name, SlackFactor, atLeast1, "is %s", number(q.SlackFactor))
	case q.SlackFactor < 1 && q.FixedSlackMs <= 0:
		k.add(Warning, Queue, q.Name, SlackFactor, atLeast1, "is %s without a fixed objective, so that every job is late", number(q.SlackFactor))
	case q.SlackFactor < 1:
		k.add(Warning, Queue, q.Name, SlackFactor, atLeast1, "is %s, so that jobs with a critical path above %s ms are late", number(q.SlackFactor), number(math.Round(float64(q.FixedSlackMs)/(1-q.SlackFactor))))
	}
	if q.FixedSlackMs < 0 || q.FixedSlackMs > maxObjectiveMs {
		k.add(Error, Queue, q.Name, FixedSlackMs, "a number from 0 to "+strconv.FormatInt(maxObjectiveMs, 10), "is %d", q.FixedSlackMs)
	}
	switch {
	case q.TimeoutMs < 0:
		k.add(Error, Queue, q.Name, TimeoutMs, atLeast0, "is %d", q.TimeoutMs)
	case q.TimeoutMs > 0 && q.TimeoutMs < q.FixedSlackMs:
		k.add(Warning, Queue, q.Name, TimeoutMs, "at least the fixed objective", "is %d ms, below the fixed objective of %d ms", q.TimeoutMs, q.FixedSlackMs)
	}
}

func (k *checker) checkAdvisor(q *work.Queue) {
	a := q.Advisor
	if a.BaseLatencyMs < 0 {
		k.add(Error, Queue, q.Name, BaseLatencyMs, atLeast0, "is %s", number(a.BaseLatencyMs))
	}
	if a.PerTargetLatencyMs < 0 {
		k.add(Error, Queue, q.Name, PerTargetLatencyMs, atLeast0, "is %s", number(a.PerTargetLatencyMs))
	}
	if a.TicketValidityMs < 0 {
		k.add(Error, Queue, q.Name, TicketValidityMs, atLeast0, "is %d", a.TicketValidityMs)
	}
	if k.settings != nil && k.settings.AdvisorAddress == "" {
		k.add(Error, Queue, q.Name, Advisor, "an advisor only where the settings name its address", "is required, but the settings name no address, so that the queue's steps get no tickets")
	}
	// An answer takes at least as long as one for a single target. Its time comes out of a job's slack, (SlackFactor-1) x critical path + FixedSlackMs.
	fixed, latency := float64(max(q.FixedSlackMs, 0)), a.BaseLatencyMs+a.PerTargetLatencyMs
	if latency <= fixed {
		return
	}
	const allowed = "a decision time within the fixed objective"
	if q.SlackFactor <= 1 {
		k.add(Warning, Queue, q.Name, BaseLatencyMs, allowed, "is beyond the objective: a decision takes %s ms of a slack of at most %s ms, so that every job is late", number(latency), number(fixed))
		return
	}
	shortest := number(math.Ceil((latency - fixed) / (q.SlackFactor - 1)))
	if fixed == 0 {
		// A purely relative objective is below any decision time for jobs that are short enough.
		k.add(Note, Queue, q.Name, BaseLatencyMs, "", "is %s ms, so that jobs with a critical path below %s ms are late", number(latency), shortest)
		return
	}
	k.add(Warning, Queue, q.Name, BaseLatencyMs, allowed, "is beyond the fixed objective of %s ms: a decision takes %s ms, so that jobs with a critical path below %s ms are late", number(fixed), number(latency), shortest)
}

func (k *checker) checkPools() {
	names := make([]string, len(k.config.Pools))
	var standby []string
	fed := map[string]bool{}
	for i := range k.config.Queues {
		fed[k.config.Queues[i].Pool] = true
	}
	for i := range k.config.Pools {
		p := &k.config.Pools[i]
		names[i] = p.Name
		switch {
		case p.Standby:
			standby = append(standby, p.Name)
		case !fed[p.Name]:
			k.add(Note, Pool, p.Name, "", "", "is fed by no queue")
		}
	}
	k.checkNames(Pool, names)
	// Without settings it is not known whether there is a cloud that moves hosts.
	movesHosts := len(names) > 0 && (k.settings == nil || k.settings.Cloud.Address != "")
	switch {
	case len(standby) == 0 && movesHosts && k.settings != nil:
		k.add(Warning, Whole, "", Standby, "one standby pool", "is set for no pool, so that hosts that no pool needs stay where they are")
	case len(standby) == 0 && movesHosts:
		k.add(Note, Whole, "", Standby, "", "is set for no pool; if hosts are to be moved, those that no pool needs stay where they are")
	case len(standby) > 1:
		k.add(Warning, Pool, standby[1], Standby, "one standby pool", "is set for several pools, of which one receives the hosts that no pool needs")
	}
}

func (k *checker) checkTeams() {
	names := make([]string, len(k.config.Teams))
	for i := range k.config.Teams {
		names[i] = k.config.Teams[i].Name
	}
	k.checkNames(Team, names)
	owner := map[string]int{}
	for i := range k.config.Teams {
		t := &k.config.Teams[i]
		k.checkLimits(t)
		if len(t.Keys) == 0 && !k.servesPublicJobs(t) {
			k.add(Warning, Team, t.Name, Keys, "at least one key", "has none, so that no request belongs to the team; requests to public queues belong to no team")
		}
		for _, key := range t.Keys {
			first, seen := owner[key]
			if !seen {
				owner[key] = i
			}
			switch {
			case key == "":
				k.add(Error, Team, t.Name, Keys, "strings that are not empty", "contains a key that is empty or no string")
			case seen && first != i:
				k.add(Error, Team, t.Name, Keys, "keys of one team", "contains %s, which belongs to team %s", Mask(key), printable(k.config.Teams[first].Name))
			case seen:
				k.add(Warning, Team, t.Name, Keys, "keys listed once", "contains %s twice", Mask(key))
			case !fitsHeader(key):
				k.add(Warning, Team, t.Name, Keys, "printable characters, the last one not a space", "contains %s, which no request header can carry", Mask(key))
			}
		}
	}
}

// fitsHeader reports whether a request header can end in the key: header values have no control characters, and spaces at their end are removed.
func fitsHeader(key string) bool {
	return strings.TrimRight(key, " \t") == key && !strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// capUnitFactor is the ratio of the old to the new cap from which on the new one looks as if it were in another unit: a core is 1,000 millicores, and a GB is at least 1,000 MB.
const capUnitFactor = 1000

func (k *checker) checkLimits(t *work.Team) {
	dimensions := capsOf(t)
	limited := false
	for _, d := range dimensions {
		limited = limited || d.value != 0
		if d.value < 0 {
			k.add(Error, Team, t.Name, d.field, atLeast0, "is %d, so that nothing of the team starts", d.value)
		}
	}
	switch {
	case t.Weight < 0:
		k.add(Error, Team, t.Name, Weight, "a number above 0", "is %s and counts as 1", number(t.Weight))
	case t.Weight == 0 && limited:
		k.add(Warning, Team, t.Name, Weight, "a number above 0", "is 0 beside a cap; it counts as 1, so that the team is served up to its cap")
	case t.Weight == 0:
		k.add(Note, Team, t.Name, Weight, "", "is 0 and counts as 1")
	}
	if k.old == nil {
		return
	}
	old, ok := k.old.Team(t.Name)
	if !ok {
		return
	}
	for i, was := range capsOf(old)[:2] {
		if d := dimensions[i]; d.value > 0 && was.value/capUnitFactor >= d.value {
			k.add(Warning, Team, t.Name, d.field, "millicores and MB", "is %d after %d, which looks like another unit", d.value, was.value)
		}
	}
}

// capacity is one dimension of a team's cap.
type capacity struct {
	field Field
	value int64
}

// capsOf returns the dimensions of the team's cap: CPU, memory, GPUs.
func capsOf(t *work.Team) []capacity {
	return []capacity{{CapCPU, t.Cap.CPU}, {CapMemMB, t.Cap.MemMB}, {CapGPUs, t.Cap.GPUs}}
}
