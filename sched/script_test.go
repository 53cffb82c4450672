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

// TestScripts runs the scripts in testdata/scripts on a table: each line is an event, an action or a check.
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
	sr := &scriptRunner{T: t, is: is.New(t), now: time.Second, config: &work.Config{}, store: map[string][]byte{}}
	sr.restart()
	for n, line := range strings.Split(script, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		sr.line = fmt.Sprintf("line %d: %s", n+1, strings.Join(words, " "))
		sr.runCommand(words[0], words[1:])
	}
}

func testBounds() work.Bounds {
	return work.Bounds{
		MaxLease: 10 * time.Second, MaxStopTime: 900 * time.Millisecond, HostTakeoverDelay: 3 * time.Second,
		MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second, RemoteSlowdown: 3,
	}
}

// restart replaces the table with a new holder's, restored from the store.
func (sr *scriptRunner) restart() {
	sr.token++
	sr.table = New(testBounds(), WithToken(sr.token, sr.now), WithNode(sr.node))
	sr.table.SetWallClock(1_700_000_000_000+sr.now.Milliseconds(), sr.now)
	sr.table.Configure(sr.config)
	for _, j := range sr.jobs {
		var progress *work.JobProgress
		if value, ok := sr.store[string(j.ID)]; ok {
			progress = &work.JobProgress{}
			sr.is.NoErr(work.Decode(value, progress))
		}
		sr.table.LoadJob(j, progress, sr.now)
	}
	var keys []string
	for k := range sr.store {
		if !IsJobKey(k) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		sr.is.NoErr(sr.table.LoadHostOrWave(k, sr.store[k]))
	}
	sr.orders = nil
}

func (sr *scriptRunner) runCommand(command string, args []string) {
	sr.Helper()
	o := parseOptions(args)
	switch command {
	case "time":
		sr.now = sr.parseDuration(args[0])
	case "wait":
		sr.now += sr.parseDuration(args[0])
	case "pool":
		sr.config.Pools = append(sr.config.Pools, work.Pool{Name: args[0], Standby: o["standby"] != ""})
		sr.configure()
	case "queue":
		sr.config.Queues = append(sr.config.Queues, work.Queue{
			Name: args[0], Pool: o["pool"], Priority: parseNumber(o["priority"]), MaxAttempts: max(parseNumber(o["attempts"]), 1),
			SlackFactor: 2, FixedSlackMs: int64(parseNumber(o["target"])), Advisor: parseAdvice(o["advice"]),
		})
		sr.configure()
	case "team":
		sr.config.Teams = append(sr.config.Teams, work.Team{Name: args[0], Weight: float64(max(parseNumber(o["weight"]), 1)), Cap: parseAmount(o)})
		sr.configure()
	case "target":
		sr.table.UpsertTarget(work.Target{
			ID: work.TargetID(args[0]), Pool: o["pool"], Address: "address-" + args[0], Capacity: parseAmount(o),
			Labels: []string{o["label"], o["rack"]}, Draining: o["draining"] != "", StartedMs: int64(parseNumber(o["incarnation"])),
		}, sr.now)
	case "removeTarget":
		sr.table.RemoveTarget(work.TargetID(args[0]))
	case "renewalAnswered":
		sr.answerRenewal(args[0], o)
	case "callUnanswered":
		sr.table.CallUnanswered(work.TargetID(args[0]))
	case "renewal":
		r := sr.table.PrepareRenewal(work.TargetID(args[0]), sr.now)
		if want, ok := o["shortPoll"]; ok {
			sr.is.Equal(r.ShortPoll, want == "yes") // the target should answer soon
		}
		if want, ok := o["needed"]; ok {
			sr.is.Equal(r.Needed, want == "yes") // the target is to be renewed
		}
	case "host":
		sr.hosts = append(sr.hosts, work.Host{Name: args[0], Pool: o["pool"], State: work.HostState(o["state"]), Target: work.TargetID(o["target"]), Capacity: parseAmount(o), Labels: []string{o["label"]}})
	case "hosts":
		sr.table.ApplyHostList(sr.hosts, sr.now, sr.now)
		sr.hosts = nil
	case "wave":
		sr.table.AddWave(work.Wave{Number: 1, Hosts: strings.Split(o["hosts"], ","), DeadlineS: float64(parseNumber(o["deadline"])), MaxConcurrent: parseNumber(o["cap"])}, sr.now)
	case "hostRate":
		sr.table.hostLimiter = newTokenBucket(float64(parseNumber(args[0])))
	case "hostOrderAnswered":
		sr.answerHostOrder(args[0], o)
	case "job":
		sr.acceptJob(args, o)
	case "cancel":
		waits := sr.table.Cancel(padJobID(args[0]), sr.now)
		if want, ok := o["waits"]; ok {
			sr.is.Equal(waits, want == "yes") // a record is still to be written
		}
	case "startUnanswered":
		sr.table.StartUnanswered(StartOrder{Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: sr.parseItem(args[0]), Run: parseNumber(o["run"])}}, sr.now)
	case "startAnswered":
		sr.answerStart(args[0], o)
	case "stopAnswered":
		sr.table.StopAnswered(StopOrder{Target: work.TargetID(o["target"]), Item: sr.parseItem(args[0]), Run: parseNumber(o["run"]), Revokes: o["revokes"] != ""}, work.OrderReply{}, sr.now)
	case "plan":
		sr.plan()
	case "flush":
		sr.flush()
		sr.flushed()
	case "beginFlush":
		sr.flush()
	case "endFlush":
		sr.flushed()
	case "restart":
		sr.node = o["node"]
		sr.restart()
	case "want":
		sr.takeOrder(strings.Join(args, " "))
	case "wantNone":
		if len(sr.orders) > 0 {
			sr.Fatalf("%s: got %q", sr.line, sr.orders)
		}
	case "discardOrders":
		sr.orders = nil
	case "wantAdviceRequest": // JOB.OCCURRENCE.STEP TARGETS
		sr.checkAdviceRequest(args[0], args[1])
	case "adviceAnswered":
		sr.answerAdvice(args[0], o)
	case "state":
		_, state, known := sr.table.Lookup(padJobID(args[0]))
		if !known || state.String() != args[1] {
			sr.Fatalf("%s: got %v %v", sr.line, known, state)
		}
	case "deposed":
		sr.is.Equal(sr.table.Deposed(), args[0] == "yes") // deposed
	case "pending":
		sr.is.Equal(sr.table.CountPendingJobs(args[0]), parseNumber(args[1])) // pending jobs
	case "acknowledged":
		sr.is.Equal(sr.table.PrepareRenewal(work.TargetID(args[0]), sr.now).AcknowledgedEnd, int64(parseNumber(args[1]))) // acknowledged ends
	case "waveUpdates":
		sr.is.Equal(fmt.Sprint(sr.table.WaveUpdates()), strings.Join(args, " ")) // wave updates
	case "waveReported":
		for _, u := range sr.table.WaveUpdates() {
			sr.table.MarkWaveReported(u)
		}
	default:
		sr.Fatalf("%s: unknown command", sr.line)
	}
	for _, order := range sr.table.TakeOrders() {
		sr.orders = append(sr.orders, orderText(order))
	}
}

func (sr *scriptRunner) configure() {
	c := *sr.config
	sr.config = &c
	sr.config.Version++
	sr.table.Configure(sr.config)
}

// plan plans with the table, hosts too although their interval has not passed, and flushes.
func (sr *scriptRunner) plan() {
	sr.table.hostsPlannedAt = 0
	sr.table.Plan(sr.now)
	sr.flush()
	sr.flushed()
}

func (sr *scriptRunner) flush() {
	b, err := sr.table.Flush(sr.now)
	sr.is.NoErr(err)
	sr.batch = b
}

func (sr *scriptRunner) flushed() {
	for _, e := range sr.batch.Entries {
		sr.store[e.Key] = e.Value
	}
	sr.table.Flushed(sr.batch)
	for _, o := range sr.batch.Orders {
		sr.orders = append(sr.orders, orderText(o))
	}
	for _, o := range sr.batch.HostOrders {
		sr.orders = append(sr.orders, "host "+o.Host+" "+strings.ReplaceAll(orderName(o), " ", "-"))
	}
}

// takeOrder removes the wanted order from those that the table has issued, or fails the test; a * at the end of a word matches any rest of it.
func (sr *scriptRunner) takeOrder(text string) {
	sr.Helper()
	for i, o := range sr.orders {
		if matchesPattern(o, text) {
			sr.orders = append(sr.orders[:i:i], sr.orders[i+1:]...)
			return
		}
	}
	sr.Fatalf("%s: got %q", sr.line, sr.orders)
}

// answerRenewal applies a target's reply to a renewal. It lists active runs as running=ITEM/RUN/PERCENT/CHECKPOINT/METRIC and ended ones as ended=SEQUENCE/ITEM/RUN/OUTCOME/CHECKPOINT, both separated by commas.
func (sr *scriptRunner) answerRenewal(id string, o map[string]string) {
	l := work.RenewalReply{ClockMs: sr.now.Milliseconds(), StartedMs: int64(parseNumber(o["incarnation"]))}
	for _, entry := range splitList(o["running"]) {
		f := strings.Split(entry, "/")
		r := work.ActiveRun{Item: sr.parseItem(f[0]), Run: parseNumber(f[1]), SpeedPercent: 100}
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
	for _, entry := range splitList(o["ended"]) {
		f := strings.Split(entry, "/")
		e := work.EndedRun{Sequence: int64(parseNumber(f[0])), Item: sr.parseItem(f[1]), Run: parseNumber(f[2])}
		for outcome := work.RunDone; outcome <= work.RunGangIncomplete; outcome++ {
			if outcome.String() == f[3] {
				e.Outcome = outcome
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
	sent := sr.now
	if o["sent"] != "" {
		sent = sr.parseDuration(o["sent"])
	}
	sr.table.RenewalAnswered(work.TargetID(id), l, sent, sr.now)
}

func (sr *scriptRunner) answerHostOrder(name string, o map[string]string) {
	order := HostOrder{Host: name, Pool: o["pool"], Wave: int64(parseNumber(o["wave"]))}
	answers := map[string]work.HostOrderStatus{"done": work.HostOrderDone, "busy": work.HostOrderBusy, "invalid": work.HostOrderInvalid, "later": work.HostOrderOverloaded}
	sr.table.HostOrderAnswered(order, answers[o["answer"]], o["answer"] != "none", sr.now)
}

// clockMs returns the target's clock in an answer, by default the script's time.
func (sr *scriptRunner) clockMs(o map[string]string) int64 {
	if o["clock"] != "" {
		return int64(parseNumber(o["clock"]))
	}
	return sr.now.Milliseconds()
}

func (sr *scriptRunner) answerStart(item string, o map[string]string) {
	answers := map[string]work.OrderStatus{
		"done": work.OrderDone, "fenced": work.OrderFenced, "old": work.OrderSuperseded, "late": work.OrderLeaseExpired,
		"room": work.OrderNoCapacity, "unhealthy": work.OrderUnhealthy, "other": work.OrderWrongTarget, "ticket": work.OrderTicketInvalid,
	}
	sr.table.StartAnswered(StartOrder{
		Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: sr.parseItem(item), Run: max(parseNumber(o["run"]), 1)},
	}, work.OrderReply{Status: answers[o["answer"]], ClockMs: sr.clockMs(o)}, sr.now)
}

// checkAdviceRequest checks that the next request for advice is about the step and names the targets.
func (sr *scriptRunner) checkAdviceRequest(step, targets string) {
	sr.Helper()
	sr.adviceRequests = append(sr.adviceRequests, sr.table.TakeAdviceRequests()...)
	if len(sr.adviceRequests) == 0 {
		sr.Fatalf("%s: no advice was requested", sr.line)
	}
	request := sr.adviceRequests[0]
	sr.is.Equal(fmt.Sprintf("%s.%d.%d", strings.TrimLeft(string(request.Job), "0"), request.Occurrence, request.Step), step) // step of the request
	var names []string
	for _, t := range request.Targets {
		names = append(names, string(t))
	}
	sr.is.Equal(strings.Join(names, ","), targets) // targets of the request
}

// answerAdvice answers the oldest request for advice: allowed=TARGET,TARGET valid=DURATION, or lost=yes for no answer.
func (sr *scriptRunner) answerAdvice(_ string, o map[string]string) {
	request := sr.adviceRequests[0]
	sr.adviceRequests = sr.adviceRequests[1:]
	var tickets []work.Ticket
	for _, t := range splitList(o["allowed"]) {
		tickets = append(tickets, work.Ticket{Target: work.TargetID(t), Value: "ticket-" + t})
	}
	valid := time.Second
	if o["valid"] != "" {
		valid = sr.parseDuration(o["valid"])
	}
	sr.table.AdviceAnswered(request, tickets, valid, o["lost"] == "", sr.now)
}
