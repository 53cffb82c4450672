//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The wave and the times of unseenWave.
const (
	waveNumber     = 1
	waveCap        = 1
	waveMachines   = 4
	waveDeadlineS  = 24
	upkeepTime     = 2 * time.Second
	silence        = 3500 * time.Millisecond
	announcedAfter = 1500 * time.Millisecond
	waveWait       = 30 * time.Second
)

// path is a machine's path to the store, on which the store can leave calls without an answer.
type path struct {
	store  *store
	silent atomic.Bool
	// silences counts how often the store began to be silent.
	silences atomic.Int64
}

func (p *path) setSilent(silent bool) {
	if silent {
		p.silences.Add(1)
	}
	p.silent.Store(silent)
}

// ServeHTTP passes a call to the store. While the store is silent, calls are not carried out, and those that wait get no answer either.
func (p *path) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.silent.Load() {
		<-r.Context().Done()
		return
	}
	before := p.silences.Load()
	answer := httptest.NewRecorder()
	p.store.serve(answer, r)
	if p.silences.Load() != before {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// host is a machine of executors in the cloud.
type host struct {
	name    string
	state   string
	exec    *executor
	upkeeps map[int]bool
}

// cloud lists and maintains the hosts of a cluster.
type cloud struct {
	cluster *cluster

	mu     sync.Mutex
	hosts  []*host
	lives  int
	waves  map[int][]string
	judged bool
}

func (d *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Method == http.MethodGet {
		machines := []any{}
		for _, h := range d.hosts {
			machines = append(machines, map[string]any{
				"machine": h.name, "pool": pool, "state": h.state, "zone": "z1", "labels": []string{"a", h.exec.rack}, "id": h.exec.id,
				"capacity": map[string]int64{"cpu": h.exec.cpu, "mem_mb": h.exec.memMB, "gpus": 0},
			})
		}
		writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
		return
	}
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	b, _ := io.ReadAll(r.Body)
	if json.Unmarshal(b, &o) != nil || r.URL.Path != "/machine-upkeep" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := d.upkeep(o.Machine, o.Wave)
	d.cluster.judge.note("cloud: upkeep of %s for wave %d by %s, fence %s: %d %s", o.Machine, o.Wave, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"), status, reason)
	writeJSON(w, status, map[string]any{"reason": reason})
}

// upkeep begins the upkeep of a host; the caller holds the lock.
func (d *cloud) upkeep(name string, wave int) (status int, reason string) {
	for _, h := range d.hosts {
		switch {
		case h.name != name:
			continue
		case !slices.Contains(d.waves[wave], name):
			return http.StatusConflict, "wave"
		case h.upkeeps[wave]:
			return http.StatusOK, "done"
		case h.state != "up":
			return http.StatusConflict, "busy"
		}
		h.upkeeps[wave], h.state = true, "upkeep"
		h.exec.leave()
		time.AfterFunc(upkeepTime, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if err := d.newLife(h); err != nil {
				d.cluster.judge.note("cloud: %s has no new executor: %v", h.name, err)
			}
		})
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// newLife starts the next executor of a host; the caller holds the lock.
func (d *cloud) newLife(h *host) error {
	d.lives++
	former := h.exec
	e, err := newExecutor(&executor{
		id: fmt.Sprintf("i-%010x", 0x7f3a91c000+d.lives), service: pool, address: fmt.Sprintf("%s.%d:8688", d.cluster.net, 100+d.lives), rack: former.rack,
		cpu: former.cpu, memMB: former.memMB, judge: former.judge, store: former.store, duration: former.duration,
	})
	if err != nil {
		return err
	}
	h.exec, h.state = e, "up"
	return nil
}

// announce writes a wave as the operator does.
func (d *cloud) announce(number int, machines []string) {
	d.mu.Lock()
	d.waves[number] = machines
	d.mu.Unlock()
	b, _ := json.Marshal(map[string]any{"wave": number, "machines": machines, "deadline_s": waveDeadlineS, "cap": waveCap})
	d.cluster.judge.note("operator: wave %d of %s is confirmed", number, strings.Join(machines, " "))
	d.cluster.store.put("op", "wave/"+strconv.Itoa(number), b)
}

// checkWave breaks the rule if the wave is said to be completed while a machine of it has not begun its upkeep, and reports whether it is said to be completed.
func (d *cloud) checkWave(number int) bool {
	status := string(d.cluster.store.get("status", 0, "wave/"+strconv.Itoa(number)))
	if !strings.Contains(status, `"completed"`) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var left []string
	for _, h := range d.hosts {
		if slices.Contains(d.waves[number], h.name) && !h.upkeeps[number] {
			left = append(left, h.name)
		}
	}
	if len(left) > 0 && !d.judged {
		d.judged = true
		d.cluster.judge.breakRule("MIXED: status/wave/%d is %s, and %s have not begun their upkeep", number, status, strings.Join(left, " "))
	}
	return true
}

// leave ends an executor: its runs end with it, its entry is removed, and its connections are reset from now on.
func (e *executor) leave() {
	e.mu.Lock()
	e.gone.Store(true)
	e.runs = map[string]*activeRun{}
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	e.store.put("servers", e.id, nil)
}

// unseenWave lets the store turn a machine away while a wave is announced. The machine is the successor of the one that schedules, which is restarted next in a rolling restart.
func unseenWave(j *judge, trouble bool) error {
	c, err := newCluster(j, 8, func(string) time.Duration { return time.Second })
	if err != nil {
		return err
	}
	d := &cloud{cluster: c, lives: 20, waves: map[int][]string{}}
	var wave []string
	for n, e := range c.executors {
		h := &host{name: fmt.Sprintf("m-%05x", 0xa0e10+n), state: "up", exec: e, upkeeps: map[int]bool{}}
		d.hosts = append(d.hosts, h)
		if n < waveMachines {
			wave = append(wave, h.name)
		}
	}
	c.cloud = d
	c.configure(1)
	if err := c.startMachines(3); err != nil {
		return err
	}
	defer c.close()
	if !c.waitReady(10 * time.Second) {
		return errors.New("the machines are not ready")
	}
	time.Sleep(2 * time.Second)
	first := c.holder()
	next := c.machines[0]
	if next == first {
		next = c.machines[1]
	}
	j.note("platform: %s gets SIGTERM, the first of a rolling restart", next.name)
	c.terminate(next)
	time.Sleep(4 * time.Second)
	if !c.waitReady(10 * time.Second) {
		return errors.New("the machines are not ready after a restart")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		j.note("platform: the store does not answer %s", next.name)
		next.path.setSilent(true)
	}
	time.Sleep(announcedAfter)
	d.announce(waveNumber, wave)
	time.Sleep(silence - announcedAfter)
	if trouble {
		next.path.setSilent(false)
		j.note("platform: the store answers %s again", next.name)
	}
	time.Sleep(100 * time.Millisecond)
	first = c.holder()
	j.note("platform: %s gets SIGTERM, the next of the rolling restart", first.name)
	c.terminate(first)
	for began := time.Now(); time.Since(began) < waveWait && !d.checkWave(waveNumber); time.Sleep(50 * time.Millisecond) {
	}
	if !d.checkWave(waveNumber) {
		j.note("operator: the wave is not said to be completed after %s", waveWait)
		return nil
	}
	time.Sleep(8 * time.Second)
	for _, h := range d.hosts {
		j.note("cloud: %s of the wave: %t, has begun its upkeep: %t", h.name, slices.Contains(wave, h.name), h.upkeeps[waveNumber])
	}
	return nil
}
