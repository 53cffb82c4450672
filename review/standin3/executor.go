//go:build review3

package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// reportInterval is how often an executor writes its entry, as in the settings.
	reportInterval = 1500 * time.Millisecond
	// networkTime is how long a call and its answer are on the way, 0.5 ms each, as between the zones of serra-lw.
	networkTime = time.Millisecond
	// orderTime is how long an executor takes for an order, a little more than the platform's store does (4 ms). Orders don't wait for each other.
	orderTime = 5 * time.Millisecond
	// stopTime is how long a stop takes, below stop_ms.
	stopTime = 100 * time.Millisecond
)

// executor is a stand-in of a server whose work items last until they are stopped.
type executor struct {
	b                          *bench
	id, machine, rack, address string
	born                       time.Time

	mu              sync.Mutex
	token, deadline int64
	runs            map[string]*lastingRun
	highest         map[string]int
	ended           []lastingEnd
	last            int64
	changed         chan struct{}
}

type lastingRun struct {
	number int
	stopAt time.Time
}

type lastingEnd struct {
	number int64
	task   string
	run    int
	how    string
}

func newExecutor(b *bench, id, machine, rack string) (*executor, error) {
	x := &executor{b: b, id: id, machine: machine, rack: rack, address: b.address(), born: time.Now(), runs: map[string]*lastingRun{}, highest: map[string]int{}, changed: make(chan struct{})}
	if err := b.serve(x.address, x); err != nil {
		return nil, err
	}
	go x.loop()
	return x, nil
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

// loop reports the executor, and ends runs that are stopped or whose lease has lapsed.
func (x *executor) loop() {
	var reported time.Time
	for seq := 1; ; time.Sleep(5 * time.Millisecond) {
		if time.Since(reported) >= reportInterval {
			reported = time.Now()
			value, _ := json.Marshal(map[string]any{
				"service": "corte", "address": x.address, "zone": "z-0", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
				"capacity": map[string]int64{"cpu": 16000, "mem_mb": 32768, "gpus": 0}, "labels": []string{"a", x.rack}, "clock_ms": x.clock(), "seq": seq, "born": x.born.UnixMilli(),
			})
			x.b.store.Put("servers", x.id, value)
			seq++
		}
		x.mu.Lock()
		ended := len(x.ended)
		for task, r := range x.runs {
			switch {
			case x.clock() > x.deadline:
				x.end(task, r, "lapsed")
			case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
				x.end(task, r, "stopped")
			}
		}
		if len(x.ended) > ended {
			close(x.changed)
			x.changed = make(chan struct{})
		}
		x.mu.Unlock()
	}
}

func (x *executor) end(task string, r *lastingRun, how string) {
	delete(x.runs, task)
	x.last++
	x.ended = append(x.ended, lastingEnd{x.last, task, r.number, how})
}

// count returns how many work items of a job run, and how many of them have been told to stop.
func (x *executor) count(job string) (running, stopping int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, r := range x.runs {
		if strings.HasPrefix(task, job+".") {
			running++
			if !r.stopAt.IsZero() {
				stopping++
			}
		}
	}
	return running, stopping
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Ack      int64  `json:"ack_seq"`
	Wait     int64  `json:"wait_ms"`
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expected-Instance") != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(networkTime)
	if r.URL.Path != "/hold" {
		time.Sleep(orderTime)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if o.Token < x.token {
		x.answer(w, http.StatusConflict, "fence")
		return
	}
	x.token = o.Token
	x.deadline = max(x.deadline, min(o.Deadline, x.clock()+10000))
	switch r.URL.Path {
	case "/hold":
		x.hold(w, &o)
	case "/run-start":
		x.start(w, &o)
	case "/run-stop":
		if n, ok := x.runs[o.Task]; ok && n.number <= o.Run && n.stopAt.IsZero() {
			n.stopAt = time.Now().Add(stopTime)
		}
		x.highest[o.Task] = max(x.highest[o.Task], o.Run)
		x.answer(w, http.StatusOK, "")
	default:
		x.answer(w, http.StatusOK, "")
	}
}

func (x *executor) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": x.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (x *executor) start(w http.ResponseWriter, o *order) {
	if r, ok := x.runs[o.Task]; ok && r.number == o.Run {
		x.answer(w, http.StatusOK, "")
		return
	}
	switch {
	case o.Run <= x.highest[o.Task]:
		x.answer(w, http.StatusConflict, "old")
	case o.Deadline < x.clock():
		x.answer(w, http.StatusConflict, "late")
	default:
		x.highest[o.Task] = o.Run
		x.runs[o.Task] = &lastingRun{number: o.Run}
		x.answer(w, http.StatusOK, "")
	}
}

// hold forgets the ends that are taken note of, and answers once there are others or the wait is over; the caller holds the lock.
func (x *executor) hold(w http.ResponseWriter, o *order) {
	until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for {
		for len(x.ended) > 0 && x.ended[0].number <= o.Ack {
			x.ended = x.ended[1:]
		}
		if len(x.ended) > 0 || !time.Now().Before(until) {
			break
		}
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		}
		x.mu.Lock()
	}
	running, finished := []any{}, []any{}
	for task, r := range x.runs {
		running = append(running, []any{task, r.number, "", 100, 0})
	}
	for _, e := range x.ended[:min(len(x.ended), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "running": running, "finished": finished})
}
