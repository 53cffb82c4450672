//go:build review2

package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// playSoak submits jobs of several kinds while executors crash and the holder is killed, and checks that each accepted job completes.
func playSoak(rec *record, dir string, trouble bool) (bool, error) {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewSource(seed))
	s, err := newSite(rec, dir, 8, 16000)
	if err != nil {
		return false, err
	}
	defer s.stop()
	for _, e := range s.executors[:3] {
		e.mu.Lock()
		e.labels = append(e.labels, "b")
		e.mu.Unlock()
		e.report()
	}
	if err := s.startProcesses(4); err != nil {
		return false, err
	}
	accepted := []string{}
	stop := time.Now().Add(30 * time.Second)
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		for trouble && time.Now().Before(stop) {
			time.Sleep(time.Duration(300+r.Intn(1500)) * time.Millisecond)
			s.soakFault(r)
		}
	}()
	jr := rand.New(rand.NewSource(seed + 1))
	for n := 0; time.Now().Before(stop); n++ {
		id := fmt.Sprintf("%016x", 0x5c0e000000000000+n)
		job, after := soakJob(jr)
		if jr.Intn(2) == 0 && !strings.Contains(fmt.Sprint(job), "anti_affinity") {
			id = fmt.Sprintf("ad%014x", 0x5c0e0000000000+n)
		}
		s.judge.mu.Lock()
		s.judge.after[id] = after
		s.judge.mu.Unlock()
		if s.submit(id, job) {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Duration(jr.Intn(400)) * time.Millisecond)
	}
	<-faults
	time.Sleep(20 * time.Second)
	for _, id := range accepted {
		status, state := 0, ""
		for range 10 {
			status, state = s.state(s.fronts[0], id)
			if status == 200 {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		if status != http.StatusOK || state != "completed" {
			rec.violate("LOST: job %s is %d %q at the end", id, status, state)
		}
	}
	rec.add("%d jobs accepted", len(accepted))
	return true, nil
}

func soakJob(r *rand.Rand) (map[string]any, func(string) []string) {
	count := 1 + r.Intn(5)
	work := 200 + r.Intn(2500)
	switch r.Intn(4) {
	case 0:
		return map[string]any{"spec": fmt.Sprintf("work=%d gang=%d", work, count+1), "phases": []any{map[string]any{"count": count + 1, "cpu": 1000, "mem_mb": 200, "estimate_ms": work, "gang": true}}}, nil
	case 1:
		return map[string]any{"spec": fmt.Sprintf("work=%d gang=%d", work, count+1), "phases": []any{
			map[string]any{"count": count + 1, "cpu": 1000, "mem_mb": 200, "estimate_ms": work, "gang": true, "anti_affinity": 1},
			map[string]any{"count": count + 1, "cpu": 1000, "mem_mb": 200, "estimate_ms": work, "gang": true, "after": []int{0}, "checkpointing": true},
		}}, func(task string) []string {
			return nil
		}
	case 2:
		return map[string]any{"spec": fmt.Sprintf("work=%d", work), "phases": []any{
			map[string]any{"count": count, "cpu": 1000, "mem_mb": 200, "estimate_ms": work, "requirements": "b"},
			map[string]any{"count": count, "cpu": 1000, "mem_mb": 200, "estimate_ms": work, "after": []int{0}},
		}}, func(task string) []string {
			if strings.Split(task, ".")[2] == "0" {
				return nil
			}
			var all []string
			for n := range count {
				all = append(all, itemName(jobOf(task), 0, n))
			}
			return all
		}
	default:
		return map[string]any{"spec": fmt.Sprintf("work=%d", work/3), "first_run_ms": time.Now().UnixMilli() + 500, "interval_ms": 700, "repeat_count": 3, "phases": []any{map[string]any{"count": count, "cpu": 1000, "mem_mb": 200, "estimate_ms": work / 3}}}, nil
	}
}

// soakFault plays one fault.
func (s *site) soakFault(r *rand.Rand) {
	e := s.executors[r.Intn(len(s.executors))]
	switch k := r.Intn(6); {
	case k < 2:
		id := e.name()
		e.mu.Lock()
		up := e.up
		e.keepID = r.Intn(2) == 0
		keep := e.keepID
		e.mu.Unlock()
		if !up {
			return
		}
		e.crash()
		time.Sleep(time.Duration(100+r.Intn(900)) * time.Millisecond)
		if err := e.start(); err != nil {
			s.rec.add("executor %s does not come back: %v", e.machine, err)
		}
		if !keep {
			e.forget(id)
		}
	case k < 4:
		d := time.Duration(500+r.Intn(4500)) * time.Millisecond
		s.rec.add("executor %s leaves half of its orders unanswered and carries them out late for %s", e.name(), d)
		fr := rand.New(rand.NewSource(r.Int63()))
		until := time.Now().Add(d)
		e.mu.Lock()
		e.fault = func(path string, o *order, carryOut func()) bool {
			e.mu.Lock()
			hit := time.Now().Before(until) && path != "/hold" && fr.Intn(2) == 0
			delay := time.Duration(2000+fr.Intn(10000)) * time.Millisecond
			e.mu.Unlock()
			if hit {
				s.rec.add("%s run %d at %s will be carried out %s later: %s", o.Task, o.Run, e.machine, delay, path)
				time.AfterFunc(delay, carryOut)
			}
			return hit
		}
		e.mu.Unlock()
	default:
		n := s.holder()
		if n < 0 {
			return
		}
		s.rec.add("process %d, the holder, is killed", n+1)
		if err := s.restartProcess(n, time.Duration(200+r.Intn(2000))*time.Millisecond); err != nil {
			s.rec.add("process does not start: %v", err)
		}
	}
}
