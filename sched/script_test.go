package sched

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"

	"lavenderwing.example/lavenderwing/work"
)

// TestScripts runs the scripts in testdata/scripts on a table: each section is a test, and each line of it an event, an action or a check (see runCommand).
// The titles and remarks of the sections say which failure they guard against.
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

// scriptRunner runs one section of a script.
type scriptRunner struct {
	*testing.T
	is     *is.I
	table  *Table
	now    time.Duration
	config *work.Config
	hosts  []work.Host
	orders []string
	// line is the present line with its number, counted from the start of the section.
	line  string
	store map[string][]byte
	jobs  []*work.Job
	token int64
	node  string
	// predecessor is what the next holder knows of an earlier holder's clock.
	predecessor PredecessorClock

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

// restart replaces the table with that of a new holder, restored from the store, and discards the orders that have not been checked. If hosts of wave 1 are given, the wave is read before the records.
func (sr *scriptRunner) restart(waveHosts ...string) {
	sr.token++
	sr.table = New(testBounds(), WithToken(sr.token, sr.now), WithNode(sr.node), WithPredecessor(sr.predecessor), WithProcessOrigin(processOriginMs))
	sr.setWallClock(0)
	sr.table.Configure(sr.config)
	if len(waveHosts) > 0 && waveHosts[0] != "" {
		sr.table.AddWave(work.Wave{Number: 1, Hosts: waveHosts, DeadlineS: 20, MaxConcurrent: 1}, sr.now)
	}
	stored := NewProgressSet()
	var keys []string
	for k, value := range sr.store {
		isProgress, err := stored.Add(k, value, 0)
		sr.is.NoErr(err)
		if !isProgress {
			keys = append(keys, k)
		}
	}
	for _, j := range sr.jobs {
		sr.table.LoadJob(j, stored.Job(j.ID), sr.now)
	}
	sort.Strings(keys)
	for _, k := range keys {
		sr.is.NoErr(sr.table.LoadHostOrWave(k, sr.store[k]))
	}
	sr.orders = nil
}

// processOriginMs is the process time of the scripts' holders at time 0.
const processOriginMs = 1_600_000_000_000

// setWallClock sets the time of day, which is ahead by the given time of what the scripts' callers believe.
func (sr *scriptRunner) setWallClock(ahead time.Duration) {
	sr.table.SetWallClock(1_700_000_000_000+(sr.now+ahead).Milliseconds(), sr.now)
}

// runCommand runs a line of a script. After each command, the orders that need no record are taken from the table and can be checked by want; the comments show the arguments, the optional ones in brackets.
func (sr *scriptRunner) runCommand(command string, args []string) {
	sr.Helper()
	o := parseOptions(args)
	switch command {
	case "time": // DURATION: sets the time
		sr.now = sr.parseDuration(args[0])
	case "wait": // DURATION: lets time pass
		sr.now += sr.parseDuration(args[0])
	case "pool": // NAME [standby=yes]
		sr.config.Pools = append(sr.config.Pools, work.Pool{Name: args[0], Standby: o["standby"] != ""})
		sr.configure()
	case "dropQueues": // a configuration names no queues
		sr.config.Queues = nil
		sr.configure()
	case "dropPools": // a configuration names no pools and queues
		sr.config.Pools, sr.config.Queues = nil, nil
		sr.configure()
	case "queue": // NAME pool=NAME [priority=N] [attempts=N] [target=MS] [advice=yes]
		sr.config.Queues = append(sr.config.Queues, work.Queue{
			Name: args[0], Pool: o["pool"], Priority: parseNumber(o["priority"]), MaxAttempts: max(parseNumber(o["attempts"]), 1),
			SlackFactor: 2, FixedSlackMs: int64(parseNumber(o["target"])), Advisor: parseAdvice(o["advice"]),
		})
		sr.configure()
	case "team": // NAME [weight=N] [cpu=N] [mem=N] [gpus=N]: the resources are the team's cap
		sr.config.Teams = append(sr.config.Teams, work.Team{Name: args[0], Weight: float64(max(parseNumber(o["weight"]), 1)), Cap: parseAmount(o)})
		sr.configure()
	case "cap": // TEAM [cpu=N] [mem=N] [gpus=N]: a configuration changes a team's cap
		teams := slices.Clone(sr.config.Teams)
		for n := range teams {
			if teams[n].Name == args[0] {
				teams[n].Cap = parseAmount(o)
			}
		}
		sr.config.Teams = teams
		sr.configure()
	case "target": // NAME pool=NAME cpu=N mem=N [gpus=N] [label=L] [rack=R] [draining=yes] [incarnation=N] [address=A] [zone=Z]: the store's entry of a target
		sr.table.UpsertTarget(work.Target{
			ID: work.TargetID(args[0]), Pool: o["pool"], Address: cmp.Or(o["address"], "address-"+args[0]), Capacity: parseAmount(o),
			Labels: []string{o["label"], o["rack"]}, Draining: o["draining"] != "", Zone: o["zone"], StartedMs: int64(parseNumber(o["incarnation"])),
		}, sr.now)
	case "listed": // NAME,NAME: a complete read of the store holds entries of just these targets
		sr.removeUnlisted(strings.Split(args[0], ","))
	case "called": // NAME:POOL,NAME:POOL|none: checks which targets are called, in the order of their names
		sr.is.Equal(sr.calledTargets(), strings.Join(args, ""))
	case "logged": // KIND SUBJECT N: checks how often the event has been logged since the last restart
		sr.is.Equal(sr.countEvents(args[0], args[1]), parseNumber(args[2]))
	case "removeTarget": // NAME: the entry has been removed from the store
		sr.table.RemoveTarget(work.TargetID(args[0]))
	case "renewalAnswered": // TARGET [running=LIST] [ended=LIST] [moreEnds=yes] [incarnation=N] [answer=other|fenced|unhealthy] [sent=DURATION] [acknowledged=N]
		sr.answerRenewal(args[0], o)
	case "callUnanswered": // TARGET
		sr.table.CallUnanswered(work.TargetID(args[0]), sr.now)
	case "renewal": // TARGET [shortPoll=yes|no] [needed=yes|no] [unreachable=yes|no]: prepares a renewal, which extends the lease, and checks it
		r := sr.table.PrepareRenewal(work.TargetID(args[0]), sr.now)
		if want, ok := o["shortPoll"]; ok {
			sr.is.Equal(r.ShortPoll, want == "yes") // the target should answer soon
		}
		if want, ok := o["unreachable"]; ok {
			sr.is.Equal(r.Unreachable, want == "yes") // the target is asked without a poll
		}
		if want, ok := o["needed"]; ok {
			sr.is.Equal(r.Needed, want == "yes") // the target is to be renewed
		}
	case "host": // NAME pool=NAME state=STATE target=NAME cpu=N mem=N [gpus=N] [label=L] [zone=Z]: an entry of the next host list
		sr.hosts = append(sr.hosts, work.Host{Name: args[0], Pool: o["pool"], State: work.HostState(o["state"]), Target: work.TargetID(o["target"]), Capacity: parseAmount(o), Labels: []string{o["label"]}, Zone: o["zone"]})
	case "hosts": // [sent=DURATION]: applies the host list, which was requested now or at the given time, and begins an empty one
		sent := sr.now
		if o["sent"] != "" {
			sent = sr.parseDuration(o["sent"])
		}
		sr.table.ApplyHostList(sr.hosts, sent, sr.now)
		sr.hosts = nil
	case "wave": // hosts=NAME,NAME deadline=SECONDS cap=N: announces wave 1
		sr.table.AddWave(work.Wave{Number: 1, Hosts: strings.Split(o["hosts"], ","), DeadlineS: float64(parseNumber(o["deadline"])), MaxConcurrent: parseNumber(o["cap"])}, sr.now)
	case "evacuate": // ZONE,ZONE|none: the zones that operators have evacuated
		sr.table.SetEvacuated(slices.DeleteFunc(strings.Split(args[0], ","), func(zone string) bool { return zone == "none" }), sr.now)
	case "evacuationBound": // DURATION: no start may reach an evacuated zone later than this after the confirmation
		sr.table.bounds.EvacuationApply = sr.parseDuration(args[0])
	case "operatorsRead": // the operators' records have been read to their end
		sr.table.ConfirmOperatorRecords(sr.now)
	case "hostRate": // N: limits the host orders a second
		sr.table.hostLimiter = newTokenBucket(float64(parseNumber(args[0])))
	case "hostOrderAnswered": // HOST pool=NAME|wave=N answer=done|busy|invalid|later|none
		sr.answerHostOrder(args[0], o)
	case "job": // JOB QUEUE STEP... [team=NAME] [times=N every=MS first=MS]: for the form of steps see acceptJob
		sr.acceptJob(args, o)
	case "cancel": // JOB [waits=yes|no]: checks whether the cancellation waits for a record
		waits := sr.table.Cancel(padJobID(args[0]), sr.now)
		if want, ok := o["waits"]; ok {
			sr.is.Equal(waits, want == "yes") // a record is still to be written
		}
	case "sendStart": // ITEM target=NAME run=N: the start is about to be sent again
		sr.table.PrepareStart(StartOrder{Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: sr.parseItem(args[0]), Run: parseNumber(o["run"])}}, sr.now)
	case "startUnanswered": // ITEM target=NAME run=N
		sr.table.StartUnanswered(StartOrder{Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: sr.parseItem(args[0]), Run: parseNumber(o["run"])}}, sr.now)
	case "startOutstanding": // ITEM target=NAME run=N: one of several attempts is unanswered
		sr.table.StartOutstanding(StartOrder{Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: sr.parseItem(args[0]), Run: parseNumber(o["run"])}}, sr.now)
	case "startSettled": // ITEM target=NAME run=N: all attempts have been answered
		sr.table.StartSettled(StartOrder{Target: work.TargetID(o["target"]), Start: work.StartRequest{Item: sr.parseItem(args[0]), Run: parseNumber(o["run"])}})
	case "startAnswered": // ITEM target=NAME [run=N] answer=done|fenced|old|late|room|unhealthy|other|ticket [clock=MS]
		sr.answerStart(args[0], o)
	case "stopAnswered": // ITEM target=NAME run=N [revokes] [answer=unhealthy]
		reply := work.OrderReply{}
		if o["answer"] == "unhealthy" {
			reply.Status = work.OrderUnhealthy
		}
		sr.table.StopAnswered(StopOrder{Target: work.TargetID(o["target"]), Item: sr.parseItem(args[0]), Run: parseNumber(o["run"]), Revokes: o["revokes"] != ""}, reply, sr.now)
	case "plan": // plans and flushes, see plan
		sr.plan()
	case "step": // plans without taking a batch
		sr.table.hostsPlannedAt = 0
		sr.table.Plan(sr.now)
	case "flush": // takes a batch and stores it
		sr.beginFlush()
		sr.endFlush()
	case "beginFlush": // takes a batch; the store does not hold it yet
		sr.beginFlush()
	case "endFlush": // stores the batch
		sr.endFlush()
	case "endedJobs": // [JOB...]: checks the jobs whose callers learn from the last batch that they have ended
		var want []work.JobID
		for _, a := range args {
			want = append(want, padJobID(a))
		}
		sr.is.Equal(sr.batch.EndedJobs(), want) // ended jobs
	case "restart": // [node=NAME] [waveHosts=NAME,NAME]: a new holder takes over, which reads wave 1 before the records of earlier holders if its hosts are given
		sr.node = o["node"]
		sr.restart(strings.Split(o["waveHosts"], ",")...)
	case "heartbeat": // epoch=N [fencedAgo=DURATION]: the process that takes over next has heard the holder of the epoch
		sr.predecessor = PredecessorClock{Epoch: int64(parseNumber(o["epoch"])), ReadingMs: processOriginMs + sr.now.Milliseconds(), ReadAt: sr.now}
		if o["fencedAgo"] != "" {
			sr.predecessor.FencedMs = sr.predecessor.ReadingMs - sr.parseDuration(o["fencedAgo"]).Milliseconds()
		}
	case "fenced": // the store begins to reject earlier holders' records
		sr.table.RecordFence(sr.now)
	case "wallClock": // ahead=DURATION: the time of day jumps
		sr.setWallClock(sr.parseDuration(o["ahead"]))
	case "want": // ORDER: an order matches, see takeOrder
		sr.takeOrder(strings.Join(args, " "))
	case "wantNone": // no order is left
		if len(sr.orders) > 0 {
			sr.Fatalf("%s: got %q", sr.line, sr.orders)
		}
	case "discardOrders": // drops the orders without a check
		sr.orders = nil
	case "wantAdviceRequest": // JOB.OCCURRENCE.STEP TARGET,TARGET
		sr.checkAdviceRequest(args[0], args[1])
	case "adviceAnswered": // JOB.OCCURRENCE.STEP [allowed=TARGET,TARGET] [valid=DURATION] [lost=yes]
		sr.answerAdvice(args[0], o)
	case "state": // JOB STATE: checks the state that is shown for the job
		_, state, known := sr.table.Lookup(padJobID(args[0]))
		if !known || state.String() != args[1] {
			sr.Fatalf("%s: got %v %v", sr.line, known, state)
		}
	case "deposed": // yes|no: checks whether the holder knows that it was replaced
		sr.is.Equal(sr.table.Deposed(), args[0] == "yes") // whether the table counts as deposed
	case "unknown": // JOB: checks that the job is not known
		sr.is.True(!sr.table.Known(padJobID(args[0]))) // the job is unknown
	case "resubmitted": // JOB: a caller submits the job again
		sr.table.Resubmitted(padJobID(args[0]), sr.now)
	case "removable": // JOB...|none: a sweep begins, and checks the jobs that it removes
		sr.checkRemovable(args)
	case "removed", "removalFailed": // JOB: the store has removed the job's own records, or has not
		ids := []work.JobID{padJobID(args[0])}
		if command == "removed" {
			sr.table.JobRecordsRemoved(ids)
		} else {
			sr.table.RemovalFailed(ids)
		}
	case "stored": // KEY yes|no: checks whether the store holds a record
		_, ok := sr.store[args[0]]
		sr.is.Equal(ok, args[1] == "yes") // the store holds the record
	case "pending": // QUEUE N: checks the number of jobs without a start
		sr.is.Equal(sr.table.CountPendingJobs(args[0]), parseNumber(args[1])) // pending jobs
	case "acknowledged": // TARGET SEQUENCE: checks the last end that the next renewal acknowledges
		sr.is.Equal(sr.table.PrepareRenewal(work.TargetID(args[0]), sr.now).AcknowledgedEnd, int64(parseNumber(args[1]))) // sequence number of the acknowledged end
	case "waveUpdates": // TEXT: checks the changes of waves that have not been reported
		sr.is.Equal(fmt.Sprint(sr.table.WaveUpdates()), strings.Join(args, " ")) // wave updates
	case "waveReported": // marks these changes as reported
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

// plan plans and stores the batch that follows. It plans the hosts too, whether or not hostPlanInterval has passed.
func (sr *scriptRunner) plan() {
	sr.table.hostsPlannedAt = 0
	sr.table.Plan(sr.now)
	sr.beginFlush()
	sr.endFlush()
}

// beginFlush takes a batch from the table.
func (sr *scriptRunner) beginFlush() {
	b, err := sr.table.Flush(sr.now)
	sr.is.NoErr(err)
	sr.batch = b
}

// endFlush stores the batch and adds its orders to those that want checks.
func (sr *scriptRunner) endFlush() {
	for _, e := range sr.batch.Entries {
		if e.Value == nil {
			delete(sr.store, e.Key)
			continue
		}
		sr.store[e.Key] = e.Value
	}
	sr.table.Flushed(sr.batch)
	for _, o := range sr.batch.Orders {
		if start, ok := o.(StartOrder); ok {
			if _, ok := sr.table.PrepareStart(start, sr.now); !ok {
				continue
			}
		}
		sr.orders = append(sr.orders, orderText(o))
	}
	for _, o := range sr.batch.HostOrders {
		sr.orders = append(sr.orders, "host "+o.Host+" "+strings.ReplaceAll(orderName(o), " ", "-"))
	}
}

// takeOrder removes the first order that matches the text from those that the table has issued, or fails the test. The text may leave out the last words of the order, and a word that ends with * stands for any word that begins with the part before it.
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
	l := work.RenewalReply{ClockMs: sr.now.Milliseconds(), StartedMs: int64(parseNumber(o["incarnation"])), MoreEnds: o["moreEnds"] != ""}
	for _, entry := range splitList(o["running"]) {
		f := strings.Split(entry, "/")
		r := work.ActiveRun{Item: sr.parseItem(f[0]), Run: parseNumber(f[1]), Percent: 100}
		if len(f) > 2 {
			r.Percent = parseNumber(f[2])
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
	// The renewal acknowledged what was recorded when it was sent, unless the script says otherwise.
	acknowledged := int64(0)
	if tgt := sr.table.targets[work.TargetID(id)]; tgt != nil {
		acknowledged = tgt.lastRecordedEnd
	}
	if o["acknowledged"] != "" {
		acknowledged = int64(parseNumber(o["acknowledged"]))
	}
	sr.table.RenewalAnswered(work.TargetID(id), l, acknowledged, sent, sr.now)
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
