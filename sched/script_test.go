package sched

import (
	"fmt"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"

	"lavenderwing.example/lavenderwing/work"
)

// TestScripts runs the scripts of testdata on a table: each line is an event, a step or a check.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "scripts", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts found: %v", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range archive.Files {
			t.Run(filepath.Base(file)+"/"+f.Name, func(t *testing.T) { runScript(t, string(f.Data)) })
		}
	}
}

// scriptRunner runs one script.
type scriptRunner struct {
	*testing.T
	is     *is.I
	table  *Table
	now    time.Duration
	config *work.Config
	hosts  []work.Host
	orders []string
	line   string
	store  map[string][]byte
	jobs   []*work.Job
	token  int64
	node   string

	adviceRequests []AdviceRequest
	batch          *Batch
}

func runScript(t *testing.T, script string) {
	p := &scriptRunner{T: t, is: is.New(t), now: time.Second, config: &work.Config{}, store: map[string][]byte{}}
	p.restart()
	for n, line := range strings.Split(script, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		p.line = fmt.Sprintf("line %d: %s", n+1, strings.Join(words, " "))
		p.runCommand(words[0], words[1:])
	}
}

func testBounds() work.Bounds {
	return work.Bounds{
		MaxLease: 10 * time.Second, MaxStopTime: 900 * time.Millisecond, HostTakeoverDelay: 3 * time.Second,
		MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second, RemoteSlowdown: 3,
	}
}

// restart replaces the table with a new holder's, restored from the store.
func (p *scriptRunner) restart() {
	p.token++
	p.table = New(testBounds(), WithToken(p.token, p.now), WithNode(p.node))
	p.table.SetWallClock(1_700_000_000_000+p.now.Milliseconds(), p.now)
	p.table.Configure(p.config)
	for _, j := range p.jobs {
		var progress *work.JobProgress
		if value, ok := p.store[string(j.ID)]; ok {
			progress = &work.JobProgress{}
			p.is.NoErr(work.Decode(value, progress))
		}
		p.table.LoadJob(j, progress, p.now)
	}
	var keys []string
	for k := range p.store {
		if !IsJobKey(k) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		p.is.NoErr(p.table.LoadHostOrWave(k, p.store[k]))
	}
	p.orders = nil
}

func (p *scriptRunner) runCommand(command string, args []string) {
	p.Helper()
	o := parseOptions(args)
	switch command {
	case "time":
		p.now = p.parseDuration(args[0])
	case "wait":
		p.now += p.parseDuration(args[0])
	case "pool":
		p.config.Pools = append(p.config.Pools, work.Pool{Name: args[0], Standby: o["standby"] != ""})
		p.configure()
	case "queue":
		p.config.Queues = append(p.config.Queues, work.Queue{
			Name: args[0], Pool: o["pool"], Priority: parseNumber(o["priority"]), MaxAttempts: max(parseNumber(o["attempts"]), 1),
			SlackFactor: 2, TargetDurationMs: int64(parseNumber(o["target"])), Advisor: parseAdvice(o["advice"]),
		})
		p.configure()
	case "team":
		p.config.Teams = append(p.config.Teams, work.Team{Name: args[0], Weight: float64(max(parseNumber(o["weight"]), 1)), Cap: parseAmount(o)})
		p.configure()
	case "target":
		p.table.UpsertTarget(work.Target{
			ID: work.TargetID(args[0]), Pool: o["pool"], Address: "address-" + args[0], Capacity: parseAmount(o),
			Labels: []string{o["label"], o["rack"]}, Draining: o["draining"] != "", StartedMs: int64(parseNumber(o["incarnation"])),
		}, p.now)
	case "removeTarget":
		p.table.RemoveTarget(work.TargetID(args[0]))
	case "listing":
		p.applyListing(args[0], o)
	case "callUnanswered":
		p.table.CallUnanswered(work.TargetID(args[0]))
	case "renewal":
		r := p.table.Renewal(work.TargetID(args[0]), p.now)
		if want, ok := o["shortPoll"]; ok {
			p.is.Equal(r.ShortPoll, want == "yes") // the target should answer soon
		}
		if want, ok := o["needed"]; ok {
			p.is.Equal(r.Needed, want == "yes") // the target is to be renewed
		}
	case "host":
		p.hosts = append(p.hosts, work.Host{Name: args[0], Pool: o["pool"], State: work.HostState(o["state"]), Target: work.TargetID(o["target"]), Capacity: parseAmount(o), Labels: []string{o["label"]}})
	case "hosts":
		p.table.ApplyHostList(p.hosts, p.now, p.now)
		p.hosts = nil
	case "wave":
		p.table.AddWave(work.Wave{Number: 1, Hosts: strings.Split(o["hosts"], ","), DeadlineS: float64(parseNumber(o["deadline"])), MaxConcurrent: parseNumber(o["cap"])}, p.now)
	case "hostRate":
		p.table.hostLimiter = newTokenBucket(float64(parseNumber(args[0])))
	case "hostOrderAnswered":
		p.answerHostOrder(args[0], o)
	case "job":
		p.acceptJob(args, o)
	case "cancel":
		waits := p.table.Cancel(padJobID(args[0]), p.now)
		if want, ok := o["waits"]; ok {
			p.is.Equal(waits, want == "yes") // a record is still to be written
		}
	case "startUnanswered":
		p.table.StartUnanswered(StartOrder{Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: p.parseItem(args[0]), Run: parseNumber(o["run"])}}, p.now)
	case "startAnswered":
		p.answerStart(args[0], o)
	case "stopAnswered":
		p.table.StopAnswered(StopOrder{Target: work.TargetID(o["target"]), Item: p.parseItem(args[0]), Run: parseNumber(o["run"]), Revokes: o["revokes"] != ""}, work.OrderReply{}, p.now)
	case "plan":
		p.plan()
	case "flush":
		p.flush()
		p.flushed()
	case "beginFlush":
		p.flush()
	case "endFlush":
		p.flushed()
	case "restart":
		p.node = o["node"]
		p.restart()
	case "want":
		p.takeOrder(strings.Join(args, " "))
	case "wantNone":
		if len(p.orders) > 0 {
			p.Fatalf("%s: got %q", p.line, p.orders)
		}
	case "discardOrders":
		p.orders = nil
	case "wantAdviceRequest": // JOB.OCCURRENCE.STEP TARGETS
		p.checkAdviceRequest(args[0], args[1])
	case "adviceAnswered":
		p.answerAdvice(args[0], o)
	case "state":
		_, state, known := p.table.Lookup(padJobID(args[0]))
		if !known || state.String() != args[1] {
			p.Fatalf("%s: got %v %v", p.line, known, state)
		}
	case "deposed":
		p.is.Equal(p.table.Deposed(), args[0] == "yes") // deposed
	case "pending":
		p.is.Equal(p.table.CountPendingJobs(args[0]), parseNumber(args[1])) // pending jobs
	case "acknowledged":
		p.is.Equal(p.table.Renewal(work.TargetID(args[0]), p.now).AcknowledgedEnd, int64(parseNumber(args[1]))) // acknowledged ends
	case "waveUpdates":
		p.is.Equal(fmt.Sprint(p.table.WaveUpdates()), strings.Join(args, " ")) // wave updates
	case "waveReported":
		for _, n := range p.table.WaveUpdates() {
			p.table.WaveReported(n)
		}
	default:
		p.Fatalf("%s: unknown command", p.line)
	}
	for _, order := range p.table.TakeOrders() {
		p.orders = append(p.orders, orderText(order))
	}
}

func (p *scriptRunner) configure() {
	c := *p.config
	p.config = &c
	p.config.Version++
	p.table.Configure(p.config)
}

// plan makes the table plan hosts regardless of their interval, and flushes.
func (p *scriptRunner) plan() {
	p.table.hostsPlannedAt = 0
	p.table.Plan(p.now)
	p.flush()
	p.flushed()
}

func (p *scriptRunner) flush() {
	b, err := p.table.Flush(p.now)
	p.is.NoErr(err)
	p.batch = b
}

func (p *scriptRunner) flushed() {
	for _, e := range p.batch.Entries {
		p.store[e.Key] = e.Value
	}
	p.table.Flushed(p.batch)
	for _, o := range p.batch.Orders {
		p.orders = append(p.orders, orderText(o))
	}
	for _, o := range p.batch.HostOrders {
		p.orders = append(p.orders, "host "+o.Host+" "+strings.ReplaceAll(orderName(o), " ", "-"))
	}
}

// takeOrder removes a wanted order from those that the table gave; a * in the text matches the rest of a word.
func (p *scriptRunner) takeOrder(text string) {
	p.Helper()
	for i, o := range p.orders {
		if matchesPattern(o, text) {
			p.orders = append(p.orders[:i:i], p.orders[i+1:]...)
			return
		}
	}
	p.Fatalf("%s: got %q", p.line, p.orders)
}

// applyListing applies a target's answer to a renewal: rows of running=ITEM/RUN/PERCENT/CHECKPOINT/METRIC and ended=NUMBER/ITEM/RUN/END/CHECKPOINT, separated by commas.
func (p *scriptRunner) applyListing(id string, o map[string]string) {
	l := work.RenewalReply{ClockMs: p.now.Milliseconds(), StartedMs: int64(parseNumber(o["incarnation"]))}
	for _, row := range splitList(o["running"]) {
		f := strings.Split(row, "/")
		r := work.ActiveRun{Item: p.parseItem(f[0]), Run: parseNumber(f[1]), SpeedPercent: 100}
		if len(f) > 2 {
			r.SpeedPercent = parseNumber(f[2])
		}
		if len(f) > 3 {
			r.Checkpoint = f[3]
		}
		if len(f) > 4 {
			r.Metric = float64(parseNumber(f[4]))
		}
		l.Running = append(l.Running, r)
	}
	for _, row := range splitList(o["ended"]) {
		f := strings.Split(row, "/")
		e := work.EndedRun{Sequence: int64(parseNumber(f[0])), Item: p.parseItem(f[1]), Run: parseNumber(f[2])}
		for end := work.RunDone; end <= work.RunGangIncomplete; end++ {
			if end.String() == f[3] {
				e.Outcome = end
			}
		}
		if len(f) > 4 {
			e.Checkpoint = f[4]
		}
		l.Ended = append(l.Ended, e)
	}
	switch o["answer"] {
	case "other":
		l.Status = work.OrderWrongTarget
	case "fenced":
		l.Status = work.OrderFenced
	case "unhealthy":
		l.Status = work.OrderUnhealthy
	}
	sent := p.now
	if o["sent"] != "" {
		sent = p.parseDuration(o["sent"])
	}
	p.table.RenewalAnswered(work.TargetID(id), l, sent, p.now)
}

func (p *scriptRunner) answerHostOrder(name string, o map[string]string) {
	order := HostOrder{Host: name, Pool: o["pool"], Wave: int64(parseNumber(o["wave"]))}
	answers := map[string]work.HostOrderStatus{"done": work.HostOrderDone, "busy": work.HostOrderBusy, "invalid": work.HostOrderInvalid, "later": work.HostOrderOverloaded}
	p.table.HostOrderAnswered(order, answers[o["answer"]], o["answer"] != "none", p.now)
}

// clockMs returns the target's clock in an answer, by default the script's time.
func (p *scriptRunner) clockMs(o map[string]string) int64 {
	if o["clock"] != "" {
		return int64(parseNumber(o["clock"]))
	}
	return p.now.Milliseconds()
}

func (p *scriptRunner) answerStart(item string, o map[string]string) {
	answers := map[string]work.OrderStatus{
		"done": work.OrderDone, "fenced": work.OrderFenced, "old": work.OrderSuperseded, "late": work.OrderLeaseExpired,
		"room": work.OrderNoCapacity, "unhealthy": work.OrderUnhealthy, "other": work.OrderWrongTarget, "ticket": work.OrderTicketInvalid,
	}
	p.table.StartAnswered(StartOrder{
		Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: p.parseItem(item), Run: max(parseNumber(o["run"]), 1)},
	}, work.OrderReply{Status: answers[o["answer"]], ClockMs: p.clockMs(o)}, p.now)
}

// checkAdviceRequest checks that the next request for advice is about the step and names the targets.
func (p *scriptRunner) checkAdviceRequest(step, targets string) {
	p.Helper()
	p.adviceRequests = append(p.adviceRequests, p.table.TakeAdviceRequests()...)
	if len(p.adviceRequests) == 0 {
		p.Fatalf("%s: no advice was requested", p.line)
	}
	q := p.adviceRequests[0]
	p.is.Equal(fmt.Sprintf("%s.%d.%d", strings.TrimLeft(string(q.Job), "0"), q.Occurrence, q.Step), step) // step of the request
	var names []string
	for _, t := range q.Targets {
		names = append(names, string(t))
	}
	p.is.Equal(strings.Join(names, ","), targets) // targets of the request
}

// answerAdvice answers the oldest request for advice: allowed=TARGET,TARGET valid=DURATION, or lost=yes for no answer.
func (p *scriptRunner) answerAdvice(_ string, o map[string]string) {
	q := p.adviceRequests[0]
	p.adviceRequests = p.adviceRequests[1:]
	var tickets []work.Ticket
	for _, t := range splitList(o["allowed"]) {
		tickets = append(tickets, work.Ticket{Target: work.TargetID(t), Value: "ticket-" + t})
	}
	valid := time.Second
	if o["valid"] != "" {
		valid = p.parseDuration(o["valid"])
	}
	p.table.AdviceAnswered(q, tickets, valid, o["lost"] == "", p.now)
}
