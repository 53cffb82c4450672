//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times and limits of an executor, as in PROTOCOL.md.
const (
	heartbeat     = 1500 * time.Millisecond
	stopTime      = 100 * time.Millisecond
	maxHold       = 10 * time.Second
	maxListedEnds = 500
)

// activeRun is a run of a work item on an executor.
type activeRun struct {
	run    int
	endsAt time.Time
	stopAt time.Time
}

// endedRun is the end of a run that is not acknowledged yet.
type endedRun struct {
	number int64
	task   string
	run    int
	how    string
}

// executor runs work items, and keeps within the limits of PROTOCOL.md.
type executor struct {
	id, service, address, rack string
	cpu, memMB                 int64
	judge                      *judge
	store                      *store
	// duration says how long a run of a work item takes.
	duration func(task string) time.Duration
	// outcome says how a run ends that is not stopped; nil means done.
	outcome func(task string, run int) string
	born    time.Time
	// gone means that the executor has left.
	gone *atomic.Bool

	mu         sync.Mutex
	fence      int64
	deadlineMs int64
	lapsedMs   int64
	runs       map[string]*activeRun
	highest    map[string]int
	ended      []endedRun
	lastEnd    int64
	acked      int64
	changed    chan struct{}
	maxUnacked int
}

func newExecutor(e *executor) (*executor, error) {
	e.born, e.gone = time.Now(), &atomic.Bool{}
	e.runs, e.highest, e.changed = map[string]*activeRun{}, map[string]int{}, make(chan struct{})
	if err := serveHTTP(e.address, http.HandlerFunc(e.serve)); err != nil {
		return nil, err
	}
	go e.loop()
	return e, nil
}

func (e *executor) clockMs() int64 { return time.Since(e.born).Milliseconds() + 1 }

// loop reports the executor to the store and ends its runs.
func (e *executor) loop() {
	var reported time.Time
	for seq := 1; !e.gone.Load(); {
		if time.Since(reported) >= heartbeat && !e.store.down.Load() {
			reported = time.Now()
			b, _ := json.Marshal(map[string]any{
				"service": e.service, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
				"seq": seq, "born": e.born.UnixMilli(), "capacity": map[string]int64{"cpu": e.cpu, "mem_mb": e.memMB, "gpus": 0}, "labels": []string{"a", e.rack},
			})
			e.store.put("servers", e.id, b)
			seq++
		}
		e.endRuns()
		time.Sleep(2 * time.Millisecond)
	}
}

func (e *executor) endRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, listed := time.Now(), false
	// A lease lapses whether something runs or not; only an extension begins another one.
	lapsed := e.clockMs() > e.deadlineMs
	if lapsed && e.deadlineMs > e.lapsedMs {
		e.lapsedMs = e.deadlineMs
		e.judge.lapsed(e.id)
	}
	for task, r := range e.runs {
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case now.After(r.endsAt):
			how = "done"
			if e.outcome != nil {
				how = e.outcome(task, r.run)
			}
		}
		if how == "" {
			continue
		}
		delete(e.runs, task)
		e.lastEnd++
		e.ended = append(e.ended, endedRun{number: e.lastEnd, task: task, run: r.run, how: how})
		e.maxUnacked = max(e.maxUnacked, len(e.ended))
		e.judge.ended(e.id, task, r.run, how, e.lastEnd)
		listed = true
	}
	if listed {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// order is the body of a call to an executor.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	AckSeq     int64  `json:"ack_seq"`
	WaitMs     int64  `json:"wait_ms"`
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	var o order
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(b, &o)
	}
	switch {
	case e.gone.Load():
		resetConnection(w)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("X-Expected-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		e.reject(w, "fence")
		return
	}
	e.fence = o.Fence
	e.deadlineMs = max(e.deadlineMs, min(o.DeadlineMs, e.clockMs()+maxHold.Milliseconds()))
	switch r.URL.Path {
	case "/run-start":
		e.start(w, &o)
	case "/run-stop":
		if run, ok := e.runs[o.Task]; ok && run.run <= o.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clockMs()})
	case "/hold":
		e.hold(w, r, &o)
	case "/pace":
		writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clockMs()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) reject(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": e.clockMs(), "reason": reason})
}

func (e *executor) start(w http.ResponseWriter, o *order) {
	if r, ok := e.runs[o.Task]; ok && r.run == o.Run {
		writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clockMs()})
		return
	}
	switch {
	case o.Run <= e.highest[o.Task]:
		e.reject(w, "old")
		return
	case o.DeadlineMs < e.clockMs():
		e.reject(w, "late")
		return
	}
	e.highest[o.Task] = o.Run
	e.runs[o.Task] = &activeRun{run: o.Run, endsAt: time.Now().Add(e.duration(o.Task))}
	e.judge.started(e.id, o.Task, o.Run, o.Fence)
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clockMs()})
}

// hold forgets the acknowledged ends, waits for an end, and lists the runs and at most maxListedEnds ends; the caller holds the lock.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, o *order) {
	kept := e.ended[:0]
	for _, end := range e.ended {
		if end.number > o.AckSeq {
			kept = append(kept, end)
		}
	}
	e.ended = kept
	if o.AckSeq > e.acked {
		e.acked = o.AckSeq
		e.judge.acknowledged(e.id, o.AckSeq)
	}
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := o.WaitMs > 0; waiting && len(e.ended) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
	}
	if e.gone.Load() {
		resetConnection(w)
		return
	}
	running, finished := make([]any, 0, len(e.runs)), []any{}
	for task, r := range e.runs {
		running = append(running, []any{task, r.run, "", 100, 0})
	}
	for _, end := range e.ended[:min(len(e.ended), maxListedEnds)] {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clockMs(), "born": e.born.UnixMilli(), "running": running, "finished": finished})
}

func (e *executor) counts() (running, unacked, maxUnacked int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs), len(e.ended), e.maxUnacked
}

// listMachines lists one machine for each executor; there is one pool, so that no machine can be moved.
func listMachines(executors func() []*executor) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || !strings.HasPrefix(r.URL.Path, "/machines") {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		machines := []any{}
		for n, e := range executors() {
			machines = append(machines, map[string]any{
				"machine": fmt.Sprintf("m-%03d", n), "pool": e.service, "state": "up", "zone": "z1", "labels": []string{"a", e.rack}, "id": e.id,
				"capacity": map[string]int64{"cpu": e.cpu, "mem_mb": e.memMB, "gpus": 0},
			})
		}
		writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
	})
}
