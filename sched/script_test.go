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

// TestScripts plays the scripts of testdata on a table: each line is an event, a step or a check.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "scripts", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range archive.Files {
			t.Run(filepath.Base(file)+"/"+f.Name, func(t *testing.T) { play(t, string(f.Data)) })
		}
	}
}

// player runs one script.
type player struct {
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

	questions []AdviceRequest
	batch     *Batch
}

func play(t *testing.T, script string) {
	p := &player{T: t, is: is.New(t), now: time.Second, config: &work.Config{}, store: map[string][]byte{}}
	p.restart()
	for n, line := range strings.Split(script, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		p.line = fmt.Sprintf("line %d: %s", n+1, strings.Join(words, " "))
		p.run(words[0], words[1:])
	}
}

func testBounds() work.Bounds {
	return work.Bounds{
		MaxLease: 10 * time.Second, MaxStopTime: 900 * time.Millisecond, HostTakeoverDelay: 3 * time.Second,
		MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second, RemoteSlowdown: 3,
	}
}

// restart begins a new holder's table from what the store holds.
func (p *player) restart() {
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

func (p *player) run(verb string, args []string) {
	p.Helper()
	o := options(args)
	switch verb {
	case "time":
		p.now = p.duration(args[0])
	case "wait":
		p.now += p.duration(args[0])
	case "pool":
		p.config.Pools = append(p.config.Pools, work.Pool{Name: args[0], Standby: o["standby"] != ""})
		p.configure()
	case "queue":
		p.config.Queues = append(p.config.Queues, work.Queue{
			Name: args[0], Pool: o["pool"], Priority: number(o["priority"]), MaxAttempts: max(number(o["attempts"]), 1),
			SlackFactor: 2, TargetDurationMs: int64(number(o["target"])), Advisor: advice(o["advice"]),
		})
		p.configure()
	case "team":
		p.config.Teams = append(p.config.Teams, work.Team{Name: args[0], Weight: float64(max(number(o["weight"]), 1)), Cap: amount(o)})
		p.configure()
	case "target":
		p.table.UpsertTarget(work.Target{
			ID: work.TargetID(args[0]), Pool: o["pool"], Address: "address-" + args[0], Capacity: amount(o),
			Labels: []string{o["label"], o["rack"]}, Draining: o["draining"] != "", StartedMs: int64(number(o["born"])),
		}, p.now)
	case "unlist":
		p.table.RemoveTarget(work.TargetID(args[0]))
	case "held":
		p.held(args[0], o)
	case "silent":
		p.table.CallUnanswered(work.TargetID(args[0]))
	case "renew":
		r := p.table.Renewal(work.TargetID(args[0]), p.now)
		if want, ok := o["hurry"]; ok {
			p.is.Equal(r.ShortPoll, want == "yes") // the answer should not wait
		}
		if want, ok := o["needed"]; ok {
			p.is.Equal(r.Needed, want == "yes") // the target is to be renewed
		}
	case "host":
		p.hosts = append(p.hosts, work.Host{Name: args[0], Pool: o["pool"], State: work.HostState(o["state"]), Target: work.TargetID(o["target"]), Capacity: amount(o), Labels: []string{o["label"]}})
	case "hosts":
		p.table.ApplyHostList(p.hosts, p.now, p.now)
		p.hosts = nil
	case "wave":
		p.table.AddWave(work.Wave{Number: 1, Hosts: strings.Split(o["hosts"], ","), DeadlineS: float64(number(o["deadline"])), MaxConcurrent: number(o["cap"])}, p.now)
	case "hostRate":
		p.table.hostBucket = newBucket(float64(number(args[0])))
	case "hostAnswer":
		p.hostAnswer(args[0], o)
	case "job":
		p.job(args, o)
	case "cancel":
		waits := p.table.Cancel(jobID(args[0]), p.now)
		if want, ok := o["waits"]; ok {
			p.is.Equal(waits, want == "yes") // a record is still to be written
		}
	case "unanswered":
		p.table.StartUnanswered(StartOrder{Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: p.item(args[0]), Run: number(o["run"])}}, p.now)
	case "answer":
		p.answer(args[0], o)
	case "stopped":
		p.table.StopAnswered(StopOrder{Target: work.TargetID(o["target"]), Item: p.item(args[0]), Run: number(o["run"]), Revokes: o["voids"] != ""}, work.OrderReply{}, p.now)
	case "plan":
		p.plan()
	case "flush":
		p.flush()
		p.flushed()
	case "record":
		p.flush()
	case "recorded":
		p.flushed()
	case "restart":
		p.node = o["node"]
		p.restart()
	case "want":
		p.want(strings.Join(args, " "))
	case "nothing":
		if len(p.orders) > 0 {
			p.Fatalf("%s: got %q", p.line, p.orders)
		}
	case "drop":
		p.orders = nil
	case "asked": // JOB.OCCURRENCE.STEP TARGETS
		p.asked(args[0], args[1])
	case "advised":
		p.advised(args[0], o)
	case "state":
		_, state, known := p.table.Lookup(jobID(args[0]))
		if !known || state.String() != args[1] {
			p.Fatalf("%s: got %v %v", p.line, known, state)
		}
	case "deposed":
		p.is.Equal(p.table.Deposed(), args[0] == "yes") // deposed
	case "pending":
		p.is.Equal(p.table.CountPendingJobs(args[0]), number(args[1])) // pending jobs
	case "acknowledged":
		p.is.Equal(p.table.Renewal(work.TargetID(args[0]), p.now).AcknowledgedEnd, int64(number(args[1]))) // acknowledged ends
	case "news":
		p.is.Equal(fmt.Sprint(p.table.WaveUpdates()), strings.Join(args, " ")) // news of waves
	case "told":
		for _, n := range p.table.WaveUpdates() {
			p.table.WaveReported(n)
		}
	default:
		p.Fatalf("%s: no such verb", p.line)
	}
	for _, order := range p.table.TakeOrders() {
		p.orders = append(p.orders, orderText(order))
	}
}

func (p *player) configure() {
	c := *p.config
	p.config = &c
	p.config.Version++
	p.table.Configure(p.config)
}

// plan steps the table twice, because hosts are planned at intervals.
func (p *player) plan() {
	p.table.hostsAt = 0
	p.table.Plan(p.now)
	p.flush()
	p.flushed()
}

func (p *player) flush() {
	b, err := p.table.Flush(p.now)
	p.is.NoErr(err)
	p.batch = b
}

func (p *player) flushed() {
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

// want takes an order out of those that came, where * in the wanted text stands for any word's rest.
func (p *player) want(text string) {
	p.Helper()
	for i, o := range p.orders {
		if matches(o, text) {
			p.orders = append(p.orders[:i:i], p.orders[i+1:]...)
			return
		}
	}
	p.Fatalf("%s: got %q", p.line, p.orders)
}

// held applies a target's listing: rows of running=ITEM/run/percent and ended=number/ITEM/run/end, each separated by commas.
func (p *player) held(id string, o map[string]string) {
	l := work.RenewalReply{ClockMs: p.now.Milliseconds(), StartedMs: int64(number(o["born"]))}
	for _, row := range split(o["running"]) {
		f := strings.Split(row, "/")
		r := work.ActiveRun{Item: p.item(f[0]), Run: number(f[1]), SpeedPercent: 100}
		if len(f) > 2 {
			r.SpeedPercent = number(f[2])
		}
		if len(f) > 3 {
			r.Checkpoint = f[3]
		}
		if len(f) > 4 {
			r.Metric = float64(number(f[4]))
		}
		l.Running = append(l.Running, r)
	}
	for _, row := range split(o["ended"]) {
		f := strings.Split(row, "/")
		e := work.EndedRun{Sequence: int64(number(f[0])), Item: p.item(f[1]), Run: number(f[2])}
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
		sent = p.duration(o["sent"])
	}
	p.table.RenewalAnswered(work.TargetID(id), l, sent, p.now)
}

func (p *player) hostAnswer(name string, o map[string]string) {
	order := HostOrder{Host: name, Pool: o["pool"], Wave: int64(number(o["wave"]))}
	answers := map[string]work.HostOrderStatus{"done": work.HostOrderDone, "busy": work.HostOrderBusy, "invalid": work.HostOrderInvalid, "later": work.HostOrderOverloaded}
	p.table.HostOrderAnswered(order, answers[o["answer"]], o["answer"] != "none", p.now)
}

// clock is what a target's clock shows in an answer, the script's time unless it says otherwise.
func (p *player) clock(o map[string]string) int64 {
	if o["clock"] != "" {
		return int64(number(o["clock"]))
	}
	return p.now.Milliseconds()
}

func (p *player) answer(item string, o map[string]string) {
	answers := map[string]work.OrderStatus{
		"done": work.OrderDone, "fenced": work.OrderFenced, "old": work.OrderSuperseded, "late": work.OrderLeaseExpired,
		"room": work.OrderNoCapacity, "unhealthy": work.OrderUnhealthy, "other": work.OrderWrongTarget, "ticket": work.OrderTicketInvalid,
	}
	p.table.StartAnswered(StartOrder{
		Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: p.item(item), Run: max(number(o["run"]), 1)},
	}, work.OrderReply{Status: answers[o["answer"]], ClockMs: p.clock(o)}, p.now)
}

// asked checks that the next question is about the step and names the targets.
func (p *player) asked(step, targets string) {
	p.Helper()
	p.questions = append(p.questions, p.table.TakeAdviceRequests()...)
	if len(p.questions) == 0 {
		p.Fatalf("%s: no question", p.line)
	}
	q := p.questions[0]
	p.is.Equal(fmt.Sprintf("%s.%d.%d", strings.TrimLeft(string(q.Job), "0"), q.Occurrence, q.Step), step) // step asked for
	var names []string
	for _, t := range q.Targets {
		names = append(names, string(t))
	}
	p.is.Equal(strings.Join(names, ","), targets) // targets asked for
}

// advised answers the oldest question: allowed=TARGET,TARGET valid=DURATION, or nothing.
func (p *player) advised(_ string, o map[string]string) {
	q := p.questions[0]
	p.questions = p.questions[1:]
	var tickets []work.Ticket
	for _, t := range split(o["allowed"]) {
		tickets = append(tickets, work.Ticket{Target: work.TargetID(t), Value: "ticket-" + t})
	}
	valid := time.Second
	if o["valid"] != "" {
		valid = p.duration(o["valid"])
	}
	p.table.AdviceAnswered(q, tickets, valid, o["lost"] == "", p.now)
}
