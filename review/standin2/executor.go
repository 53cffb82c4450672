//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"lavenderwing.example/lavenderwing/platform/stage"
)

// Times of an executor, as in the settings and the site files.
const (
	reportInterval = 1500 * time.Millisecond
	maxHold        = 10 * time.Second
	stopTime       = 100 * time.Millisecond
)

// order is the body of a call to an executor.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Ack        int64  `json:"ack_seq"`
	WaitMs     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
	Ticket     string `json:"ticket"`
}

// run is a run of a work item. Its work takes the time that the spec names.
type run struct {
	task     string
	run      int
	started  time.Time
	left     time.Duration
	measured time.Time
	percent  int
	stopAt   time.Time
	// gang is the number of members of the gang, 0 for a run by itself.
	gang int
	cpu  int64
}

// gangKey names one run of a gang.
type gangKey struct {
	step string
	run  int
}

// gang is one run of a gang: its members work only while all of them are present.
type gang struct {
	size    int
	present map[string]bool
	left    time.Duration
	worked  time.Time
	began   bool
	broken  bool
	done    bool
}

// gangs are the gangs of all executors.
type gangs struct {
	mu  sync.Mutex
	all map[gangKey]*gang
}

func newGangs() *gangs { return &gangs{all: map[gangKey]*gang{}} }

func gangKeyOf(task string, n int) gangKey {
	return gangKey{task[:strings.LastIndexByte(task, '.')], n}
}

// join adds a member.
func (g *gangs) join(task string, n, size int, left time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKeyOf(task, n)
	x := g.all[key]
	if x == nil {
		x = &gang{size: size, present: map[string]bool{}, left: left}
		g.all[key] = x
	}
	x.present[task] = true
	if len(x.present) == x.size && !x.broken {
		x.began, x.worked = true, time.Now()
	}
}

// leave removes a member that ended by itself.
func (g *gangs) leave(task string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.all[gangKeyOf(task, n)]
	if x == nil || x.done {
		return
	}
	delete(x.present, task)
	x.broken = x.broken || x.began
}

// step lets a gang work, and returns how a member ends now, or an empty text.
func (g *gangs) step(task string, n int, started time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.all[gangKeyOf(task, n)]
	now := time.Now()
	switch {
	case x == nil || x.broken:
		return "broken"
	case x.done:
		return "done"
	case !x.began && now.Sub(started) > gangTimeout:
		delete(x.present, task)
		return "alone"
	case x.began:
		x.left -= now.Sub(x.worked)
		x.worked = now
		if x.left <= 0 {
			x.done = true
			return "done"
		}
	}
	return ""
}

// gangTimeout is gang_timeout_ms in the settings.
const gangTimeout = 3 * time.Second

type end struct {
	n    int64
	task string
	run  int
	how  string
}

// executor is one executor. It follows the platform's pages; fault, if set, may take a call over.
type executor struct {
	rec     *record
	store   *stage.Store
	judge   *judge
	gangs   *gangs
	advisor *advisor
	address string
	service string
	machine string
	labels  []string
	cpu     int64
	memMB   int64

	mu    sync.Mutex
	id    string
	lives int
	boots int
	// keepID means that the executor starts again under its former id.
	keepID   bool
	born     time.Time
	up       bool
	upkeep   bool
	draining bool
	token    int64
	leaseMs  int64
	runs     map[string]*run
	highest  map[string]int
	ended    []end
	lastEnd  int64
	changed  chan struct{}
	seq      int
	server   *http.Server
	// fault may take a call over before it is carried out, and reports whether it did.
	fault func(path string, o *order, carryOut func()) bool
	// tail is the figure for the last half second that the executor reports of a run.
	tail func(task string) int64
}

func (e *executor) start() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.lives++
	if e.keepID && e.id != "" {
		e.lives--
		e.boots++
	} else {
		e.boots++
	}
	e.id = fmt.Sprintf("i-%s-%d", e.machine, e.lives)
	e.born, e.up, e.upkeep, e.token, e.leaseMs, e.lastEnd = time.Now(), true, false, 0, 0, 0
	e.runs, e.highest, e.ended, e.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	server, life := e.server, e.boots
	e.mu.Unlock()
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.rec.add("executor %s stopped serving: %v", e.machine, err)
		}
	}()
	e.rec.add("executor %s is up as %s at %s", e.machine, e.id, e.address)
	e.report()
	go e.loop(life)
	return nil
}

// crash ends the executor: all runs end at once, and nobody is told.
func (e *executor) crash() {
	e.mu.Lock()
	id := e.id
	e.up = false
	tasks := []string{}
	for task, r := range e.runs {
		tasks = append(tasks, fmt.Sprintf("%s run %d", task, r.run))
		if r.gang > 0 {
			e.gangs.leave(task, r.run)
		}
		e.judge.ended(task, r.run, id, "lost with its executor")
	}
	sort.Strings(tasks)
	e.runs = map[string]*run{}
	close(e.changed)
	e.changed = make(chan struct{})
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.rec.add("executor %s crashes with %s", id, strings.Join(tasks, ", "))
}

// name returns the id of the present life.
func (e *executor) name() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// addLabel gives the executor one more label.
func (e *executor) addLabel(label string) {
	e.mu.Lock()
	e.labels = append(e.labels, label)
	e.mu.Unlock()
	e.report()
}

// setFault sets what may take calls over.
func (e *executor) setFault(fault func(path string, o *order, carryOut func()) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

// setQuiet sets whether starts are kept from the script's own check.
func (e *executor) setQuiet(quiet bool) {
	e.judge.mu.Lock()
	defer e.judge.mu.Unlock()
	e.judge.quiet = quiet
}

// forget removes the entry of a former life, as the platform does after three intervals of silence.
func (e *executor) forget(id string) { e.store.Put("servers", id, nil) }

func (e *executor) clockMs() int64 { return time.Since(e.born).Milliseconds() + 1 }

// report writes the executor's entry.
func (e *executor) report() {
	e.mu.Lock()
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"seq": e.seq, "born": e.born.UnixMilli(), "labels": e.labels, "capacity": map[string]int64{"cpu": e.cpu, "mem_mb": e.memMB, "gpus": 0},
	})
	id := e.id
	e.mu.Unlock()
	if err == nil {
		e.store.Put("servers", id, value)
	}
}

// loop ends runs and reports the executor until this life ends.
func (e *executor) loop(life int) {
	reported := time.Now()
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		if !e.up || e.boots != life {
			e.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range e.runs {
			how := ""
			if r.gang > 0 {
				how = e.gangs.step(r.task, r.run, r.started)
			} else {
				r.left -= now.Sub(r.measured) * time.Duration(r.percent) / 100
			}
			r.measured = now
			switch {
			case how != "":
				e.endRun(r, how)
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				e.endRun(r, "stopped")
			case e.clockMs() > e.leaseMs:
				e.endRun(r, "lapsed")
			case r.left <= 0:
				e.endRun(r, "done")
			}
		}
		e.mu.Unlock()
		if now.Sub(reported) >= reportInterval {
			reported = now
			e.report()
		}
	}
}

// endRun ends a run; the caller holds the lock.
func (e *executor) endRun(r *run, how string) {
	delete(e.runs, r.task)
	if r.gang > 0 {
		e.gangs.leave(r.task, r.run)
	}
	e.lastEnd++
	e.ended = append(e.ended, end{e.lastEnd, r.task, r.run, how})
	e.judge.ended(r.task, r.run, e.id, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) serve(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	id, fault := e.id, e.fault
	e.mu.Unlock()
	if req.Header.Get("X-Expected-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	path := req.URL.Path
	if fault != nil && fault(path, &o, func() { e.carryOutLate(path, &o, id) }) {
		// No answer: the connection is closed after the caller has given up.
		time.Sleep(2 * time.Second)
		panic(http.ErrAbortHandler)
	}
	status, body := e.carryOut(path, &o)
	if path == "/hold" && status == http.StatusOK && o.WaitMs > 0 {
		e.waitForEnd(time.Duration(o.WaitMs) * time.Millisecond)
	}
	if path == "/hold" && status == http.StatusOK {
		body = e.lists()
	}
	b, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// waitForEnd returns once an end is listed or the time is over.
func (e *executor) waitForEnd(wait time.Duration) {
	deadline := time.After(wait)
	for {
		e.mu.Lock()
		listed, changed := len(e.ended) > 0, e.changed
		e.mu.Unlock()
		if listed {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		}
	}
}

// lists returns the answer to a renewal.
func (e *executor) lists() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, finished := []any{}, []any{}
	for _, r := range e.runs {
		tail := int64(0)
		if e.tail != nil {
			tail = e.tail(r.task)
		}
		percent := r.percent
		if time.Since(r.started) < 100*time.Millisecond {
			percent = 0
		}
		running = append(running, []any{r.task, r.run, "", percent, tail})
	}
	for n, x := range e.ended {
		if n == 500 {
			break
		}
		finished = append(finished, []any{x.n, x.task, x.run, x.how, ""})
	}
	return map[string]any{"clock_ms": e.clockMs(), "born": e.born.UnixMilli(), "running": running, "finished": finished}
}

// carryOutLate carries a call out that got no answer, unless the executor has another name by now.
func (e *executor) carryOutLate(path string, o *order, id string) {
	if e.name() == id {
		e.carryOut(path, o)
	}
}

// carryOut does what a call asks for.
func (e *executor) carryOut(path string, o *order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := map[string]any{"clock_ms": e.clockMs()}
	refuse := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if !e.up {
		return http.StatusServiceUnavailable, answer
	}
	if o.Token < e.token {
		return refuse("fence")
	}
	e.token = o.Token
	e.leaseMs = max(e.leaseMs, min(o.DeadlineMs, e.clockMs()+maxHold.Milliseconds()))
	switch path {
	case "/hold":
		kept := e.ended[:0]
		for _, x := range e.ended {
			if x.n > o.Ack {
				kept = append(kept, x)
			} else {
				e.judge.noted(x.task, x.run)
			}
		}
		e.ended = kept
	case "/run-start":
		r := e.runs[o.Task]
		switch {
		case r != nil && r.run == o.Run:
			return http.StatusOK, answer
		case o.Run <= e.highest[o.Task] || r != nil:
			return refuse("old")
		case o.DeadlineMs < e.clockMs():
			return refuse("late")
		case strings.HasPrefix(o.Task, advisedPrefix) && !e.advisor.valid(o.Ticket, o.Task, e.id, e.boots):
			e.rec.add("%s run %d is refused on %s for its ticket %q", o.Task, o.Run, e.id, o.Ticket)
			return refuse("ticket")
		}
		e.highest[o.Task] = o.Run
		now := time.Now()
		r = &run{
			task: o.Task, run: o.Run, started: now, measured: now, percent: 100,
			left: time.Duration(specNumber(o.Spec, "work", 1000)) * time.Millisecond, gang: int(specNumber(o.Spec, "gang", 0)), cpu: specNumber(o.Spec, "cpu", 1000),
		}
		used := r.cpu
		for _, other := range e.runs {
			used += other.cpu
		}
		if used > e.cpu {
			e.rec.violate("LIMIT: %s brings %s to %d of %d millicores", o.Task, e.id, used, e.cpu)
		}
		e.runs[o.Task] = r
		if r.gang > 0 {
			e.gangs.join(o.Task, o.Run, r.gang, r.left)
		}
		e.judge.started(o.Task, o.Run, e, o)
	case "/run-stop":
		if r := e.runs[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	case "/pace":
		if r := e.runs[o.Task]; r != nil && r.run == o.Run {
			r.percent = o.Percent
			e.rec.add("%s run %d on %s works at %d percent", o.Task, o.Run, e.id, o.Percent)
		}
	}
	return http.StatusOK, answer
}

// specNumber returns the number that a spec gives under a name, as in work=800.
func specNumber(spec, name string, missing int64) int64 {
	for _, word := range strings.Fields(spec) {
		if text, ok := strings.CutPrefix(word, name+"="); ok {
			if n, err := strconv.ParseInt(text, 10, 64); err == nil {
				return n
			}
		}
	}
	return missing
}
