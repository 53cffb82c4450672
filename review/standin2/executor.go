//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sort"
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
}

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
}

func (e *executor) start() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.lives++
	e.id = fmt.Sprintf("i-%s-%d", e.machine, e.lives)
	e.born, e.up, e.upkeep, e.token, e.leaseMs, e.lastEnd = time.Now(), true, false, 0, 0, 0
	e.runs, e.highest, e.ended, e.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	server, life := e.server, e.lives
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
		e.judge.ended(task, r.run, id, lostRun)
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

// setFault sets what may take calls over.
func (e *executor) setFault(fault func(path string, o *order, carryOut func()) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
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
		if !e.up || e.lives != life {
			e.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range e.runs {
			r.left -= now.Sub(r.measured) * time.Duration(r.percent) / 100
			r.measured = now
			switch {
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
		percent := r.percent
		if time.Since(r.started) < 100*time.Millisecond {
			percent = 0
		}
		running = append(running, []any{r.task, r.run, "", percent, 0})
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
		}
		e.highest[o.Task] = o.Run
		now := time.Now()
		e.runs[o.Task] = &run{task: o.Task, run: o.Run, started: now, measured: now, percent: 100, left: workOf(o.Spec)}
		e.judge.started(o.Task, o.Run, e, o)
	case "/run-stop":
		if r := e.runs[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	case "/pace":
		if r := e.runs[o.Task]; r != nil && r.run == o.Run {
			r.percent = o.Percent
		}
	}
	return http.StatusOK, answer
}

// workOf returns how long the work of an item takes, as its spec says: work=MILLISECONDS.
func workOf(spec string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(spec, "work=%d", &ms); err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}
