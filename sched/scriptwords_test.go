package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

func orderText(o Order) string {
	switch o := o.(type) {
	case StartOrder:
		text := fmt.Sprintf("start %s run=%d target=%s", shortName(o.Start.Item), o.Start.Run, o.Target)
		if o.Start.Ticket != "" {
			text += " " + o.Start.Ticket
		}
		if o.Start.Checkpoint != "" {
			text += " checkpoint=" + o.Start.Checkpoint
		}
		return text
	case StopOrder:
		text := fmt.Sprintf("stop %s run=%d target=%s", shortName(o.Item), o.Run, o.Target)
		if o.Revokes {
			text += " revokes"
		}
		return text
	case PaceOrder:
		return fmt.Sprintf("pace %s run=%d target=%s percent=%d", shortName(o.Item), o.Run, o.Target, o.Percent)
	}
	return "unknown order"
}

func matchesPattern(order, pattern string) bool {
	have, want := strings.Fields(order), strings.Fields(pattern)
	if len(have) < len(want) {
		return false
	}
	for i, w := range want {
		if prefix, wildcard := strings.CutSuffix(w, "*"); wildcard && strings.HasPrefix(have[i], prefix) {
			continue
		}
		if have[i] != w {
			return false
		}
	}
	return true
}

// acceptJob accepts a job. Its steps are written as COUNTxCPU[/MEM[/ESTIMATE]], with CPU in millicores, MEM in MB (1 by default) and ESTIMATE in milliseconds, followed by marks after colons (see parseStep).
func (sr *scriptRunner) acceptJob(args []string, o map[string]string) {
	j := &work.Job{ID: padJobID(args[0]), Queue: args[1], Team: o["team"], Spec: "spec", AcceptedMs: 1_700_000_000_000 + sr.now.Milliseconds()}
	if q, ok := sr.config.Queue(j.Queue); ok {
		j.Pool, j.Terms = q.Pool, q.Terms()
	}
	for _, a := range args[2:] {
		if !strings.Contains(a, "x") || strings.Contains(a, "=") && !strings.Contains(strings.SplitN(a, "=", 2)[0], "x") {
			continue
		}
		j.Steps = append(j.Steps, sr.parseStep(a))
	}
	if o["times"] != "" {
		j.Occurrences, j.IntervalMs, j.FirstRunMs = parseNumber(o["times"]), int64(parseNumber(o["every"])), 1_700_000_000_000+int64(parseNumber(o["first"]))
	}
	sr.is.NoErr(j.Validate())
	sr.jobs = append(sr.jobs, j)
	sr.table.Accept(j, sr.now)
}

// checkRemovable begins a sweep and checks which jobs it removes.
func (sr *scriptRunner) checkRemovable(want []string) {
	sr.Helper()
	sr.table.PruneIdle(sr.now)
	ids, _ := sr.table.RemovalCandidates(10, sr.now)
	got := make([]string, len(ids))
	for n, id := range ids {
		got[n] = strings.TrimLeft(string(id), "0")
	}
	slices.Sort(got)
	if text := cmp.Or(strings.Join(got, " "), "none"); text != strings.Join(want, " ") {
		sr.Fatalf("%s: got %s", sr.line, text)
	}
}

func (sr *scriptRunner) parseStep(text string) work.Step {
	parts := strings.Split(text, ":")
	count, rest, _ := strings.Cut(parts[0], "x")
	f := strings.Split(rest, "/")
	s := work.Step{Count: parseNumber(count), Demand: work.Resources{CPU: int64(parseNumber(f[0])), MemMB: 1}}
	if len(f) > 1 {
		s.Demand.MemMB = int64(parseNumber(f[1]))
	}
	if len(f) > 2 {
		s.EstimateMs = int64(parseNumber(f[2]))
	}
	for _, mark := range parts[1:] {
		name, value, _ := strings.Cut(mark, "=")
		switch name {
		case "after":
			s.After = append(s.After, parseNumber(value))
		case "gang":
			s.Gang = true
		case "rackSensitive":
			s.RackSensitive = true
		case "checkpointing":
			s.Checkpointing = true
		case "serving":
			s.Serving = true
		case "speculative":
			s.Speculative = true
		case "bestEffort":
			s.BestEffort = true
		case "maxUnavailable":
			s.MaxUnavailable = parseNumber(value)
		case "maxPerTarget":
			s.MaxPerTarget = parseNumber(value)
		case "rack":
			s.DataRack = value
		case "label":
			s.RequiredLabel = value
		case "image":
			s.Image = value
		case "tailMs":
			s.MaxTailLatencyMs = int64(parseNumber(value))
		default:
			sr.Fatalf("%s: unknown mark %q", sr.line, name)
		}
	}
	return s
}

func parseAdvice(text string) *work.AdvisorConfig {
	if text == "" {
		return nil
	}
	return &work.AdvisorConfig{BaseLatencyMs: 1, PerTargetLatencyMs: 1, TicketValidityMs: 1000}
}

func (sr *scriptRunner) parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	sr.is.NoErr(err)
	return d
}

func (sr *scriptRunner) parseItem(text string) work.ItemID {
	head, tail, _ := strings.Cut(text, ".")
	id, err := work.ParseItemID(string(padJobID(head)) + "." + tail)
	sr.is.NoErr(err)
	return id
}

func padJobID(text string) work.JobID { return work.JobID(fmt.Sprintf("%016s", text)) }

func shortName(id work.ItemID) string {
	name := id.String()
	return strings.TrimLeft(name[:16], "0") + name[16:]
}

func parseOptions(args []string) map[string]string {
	o := map[string]string{}
	for _, a := range args {
		name, value, found := strings.Cut(a, "=")
		if !found {
			value = "yes"
		}
		o[name] = value
	}
	return o
}

func parseAmount(o map[string]string) work.Resources {
	return work.Resources{CPU: int64(parseNumber(o["cpu"])), MemMB: int64(parseNumber(o["mem"])), GPUs: int64(parseNumber(o["gpus"]))}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func parseNumber(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// removeUnlisted applies a complete list that holds just the given targets.
func (sr *scriptRunner) removeUnlisted(names []string) {
	listed := map[work.TargetID]bool{}
	for _, name := range names {
		listed[work.TargetID(name)] = true
	}
	sr.table.RemoveUnlisted(listed)
}

// calledTargets returns the targets that are called, with their pools.
func (sr *scriptRunner) calledTargets() string {
	var names []string
	for _, tgt := range sr.table.Targets() {
		names = append(names, string(tgt.ID)+":"+tgt.Pool)
	}
	return cmp.Or(strings.Join(names, ","), "none")
}

func (sr *scriptRunner) countEvents(kind, subject string) int {
	n := 0
	for _, e := range sr.table.events {
		if e.Kind == kind && e.Subject == subject {
			n++
		}
	}
	return n
}
