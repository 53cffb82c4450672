package sched

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

func orderText(o Order) string {
	switch o := o.(type) {
	case StartOrder:
		text := fmt.Sprintf("start %s run=%d target=%s", short(o.Start.Item), o.Start.Run, o.Target)
		if o.Start.Ticket != "" {
			text += " " + o.Start.Ticket
		}
		if o.Start.Checkpoint != "" {
			text += " checkpoint=" + o.Start.Checkpoint
		}
		return text
	case StopOrder:
		text := fmt.Sprintf("stop %s run=%d target=%s", short(o.Item), o.Run, o.Target)
		if o.Revokes {
			text += " voids"
		}
		return text
	case PaceOrder:
		return fmt.Sprintf("pace %s run=%d target=%s percent=%d", short(o.Item), o.Run, o.Target, o.Percent)
	}
	return "unknown order"
}

func matches(order, pattern string) bool {
	have, want := strings.Fields(order), strings.Fields(pattern)
	if len(have) < len(want) {
		return false
	}
	for i, w := range want {
		if prefix, open := strings.CutSuffix(w, "*"); open && strings.HasPrefix(have[i], prefix) {
			continue
		}
		if have[i] != w {
			return false
		}
	}
	return true
}

// job accepts a job whose steps are written as COUNTxCPU/MEM/ESTIMATE with further marks after colons.
func (p *player) job(args []string, o map[string]string) {
	j := &work.Job{ID: jobID(args[0]), Queue: args[1], Team: o["team"], Spec: "spec", AcceptedMs: 1_700_000_000_000 + p.now.Milliseconds()}
	for _, a := range args[2:] {
		if !strings.Contains(a, "x") || strings.Contains(a, "=") && !strings.Contains(strings.SplitN(a, "=", 2)[0], "x") {
			continue
		}
		j.Steps = append(j.Steps, p.step(a))
	}
	if o["times"] != "" {
		j.Occurrences, j.IntervalMs, j.FirstRunMs = number(o["times"]), int64(number(o["every"])), 1_700_000_000_000+int64(number(o["first"]))
	}
	p.is.NoErr(j.Validate())
	p.jobs = append(p.jobs, j)
	p.table.Accept(j, p.now)
}

func (p *player) step(text string) work.Step {
	parts := strings.Split(text, ":")
	count, rest, _ := strings.Cut(parts[0], "x")
	f := strings.Split(rest, "/")
	s := work.Step{Count: number(count), Demand: work.Resources{CPU: int64(number(f[0])), MemMB: 1}}
	if len(f) > 1 {
		s.Demand.MemMB = int64(number(f[1]))
	}
	if len(f) > 2 {
		s.EstimateMs = int64(number(f[2]))
	}
	for _, mark := range parts[1:] {
		name, value, _ := strings.Cut(mark, "=")
		switch name {
		case "after":
			s.After = append(s.After, number(value))
		case "gang":
			s.Gang = true
		case "tight":
			s.RackSensitive = true
		case "saves":
			s.Checkpointing = true
		case "serving":
			s.Serving = true
		case "speculative":
			s.Speculative = true
		case "fills":
			s.BestEffort = true
		case "away":
			s.MaxUnavailable = number(value)
		case "apart":
			s.MaxPerTarget = number(value)
		case "rack":
			s.DataRack = value
		case "label":
			s.RequiredLabel = value
		case "image":
			s.Image = value
		case "tail":
			s.MaxTailLatencyMs = int64(number(value))
		default:
			p.Fatalf("%s: no mark %q", p.line, name)
		}
	}
	return s
}

func advice(text string) *work.AdvisorConfig {
	if text == "" {
		return nil
	}
	return &work.AdvisorConfig{BaseLatencyMs: 1, PerTargetLatencyMs: 1, TicketValidityMs: 1000}
}

func (p *player) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	p.is.NoErr(err)
	return d
}

func (p *player) item(text string) work.ItemID {
	head, tail, _ := strings.Cut(text, ".")
	id, err := work.ParseItemID(string(jobID(head)) + "." + tail)
	p.is.NoErr(err)
	return id
}

func jobID(text string) work.JobID { return work.JobID(fmt.Sprintf("%016s", text)) }

func short(id work.ItemID) string {
	name := id.String()
	return strings.TrimLeft(name[:16], "0") + name[16:]
}

func options(args []string) map[string]string {
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

func amount(o map[string]string) work.Resources {
	return work.Resources{CPU: int64(number(o["cpu"])), MemMB: int64(number(o["mem"])), GPUs: int64(number(o["gpus"]))}
}

func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}
