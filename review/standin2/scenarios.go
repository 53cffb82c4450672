//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const jobID = "5c0e7a21d94b36f8"

// playEntry writes an entry of another writer, with fields missing, beside the executors' own. By the platform's pages such an entry names no executor to use, and the others hold.
func playEntry(rec *record, dir string, trouble bool) (bool, error) {
	s, err := newSite(rec, dir, 4, 16000)
	if err != nil {
		return false, err
	}
	defer s.stop()
	if err := s.startProcesses(3); err != nil {
		return false, err
	}
	if !s.submit(jobID, map[string]any{"spec": "work=12000", "phases": []any{map[string]any{"count": 4, "cpu": 1000, "mem_mb": 500, "estimate_ms": 12000}}}) {
		return false, nil
	}
	time.Sleep(3 * time.Second)
	id := s.judge.where(itemName(jobID, 0, 0))
	if id == "" {
		return false, nil
	}
	if trouble {
		for _, e := range s.executors {
			if e.name() != id {
				continue
			}
			// Of the fields that an entry has, version, slots, zone, cold_remaining_ms, seq and labels are missing.
			value, err := json.Marshal(map[string]any{
				"service": e.service, "address": e.address, "state": "ready", "born": time.Now().UnixMilli(),
				"capacity": map[string]int64{"cpu": e.cpu, "mem_mb": e.memMB, "gpus": 0},
			})
			if err != nil {
				return false, err
			}
			rec.add("another writer writes servers/agent-7: %s", value)
			s.store.Put("servers", "agent-7", value)
		}
	}
	awaitState(s, jobID, "completed", 40*time.Second)
	return true, nil
}

// awaitState asks for a job's state until it is as wanted or final, or the time is over.
func awaitState(s *site, id, wanted string, limit time.Duration) {
	last := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		status, state := s.state(s.fronts[0], id)
		if state != last || status != http.StatusOK {
			s.rec.add("GET %s: %d %s", id, status, state)
			last = state
		}
		if state == wanted || state == "failed" || state == "cancelled" {
			return
		}
	}
}

const (
	// crashAfterStart is how long the first run is active before its executor crashes, and crashAfterOrder how long after an unanswered start its executor crashes.
	crashAfterStart = 100 * time.Millisecond
	crashAfterOrder = 950 * time.Millisecond
	// downTime is how long a crashed executor is down, and lateBy how much later an unanswered start is carried out.
	downTime = 800 * time.Millisecond
	lateBy   = 8 * time.Second
)

// playCrashes lets three executors crash one after the other. A work item runs on the first one only: the other two leave its start unanswered, to be carried out late, and crash before that.
func playCrashes(rec *record, dir string, trouble bool) (bool, error) {
	s, err := newSite(rec, dir, 8, 16000)
	if err != nil {
		return false, err
	}
	defer s.stop()
	if err := s.startProcesses(3); err != nil {
		return false, err
	}
	if trouble {
		for _, e := range s.executors {
			e.setFault(s.crashUnder(e))
		}
	}
	// Other orders go on, so that fewer than half of all orders are left unanswered.
	go func() {
		for n := range 20 {
			s.submit(fmt.Sprintf("%016x", n+1), map[string]any{"spec": "work=200", "phases": []any{map[string]any{"count": 3, "cpu": 1000, "mem_mb": 500, "estimate_ms": 200}}})
			time.Sleep(300 * time.Millisecond)
		}
	}()
	if !s.submit(jobID, map[string]any{"spec": "work=2000", "phases": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 2000}}}) {
		return false, nil
	}
	awaitState(s, jobID, "completed", 40*time.Second)
	_, state := s.state(s.fronts[0], jobID)
	crashes := s.judge.crashCount(jobID)
	rec.add("at the end the job is %s; starts %d, crashes under it %d, runs ended failed %d", state, s.judge.startCount(jobID), crashes, s.judge.failedCount(jobID))
	if state == "failed" && s.judge.failedCount(jobID) == 0 && crashes < 2 {
		rec.violate("LOST: job %s is shown as failed; none of its runs has ended failed, and %d executor has crashed under it", jobID, crashes)
	}
	return true, nil
}

// crashUnder returns the fault of an executor in playCrashes.
func (s *site) crashUnder(e *executor) func(string, *order, func()) bool {
	return func(path string, o *order, carryOut func()) bool {
		if path != "/run-start" || jobOf(o.Task) != jobID || s.crashes() > maxCrashes {
			return false
		}
		if s.judge.startCount(jobID) == 0 {
			s.crashSoon(e, crashAfterStart)
			return false
		}
		s.rec.add("%s gets no answer to the start of %s run %d, which is carried out %s later", e.name(), o.Task, o.Run, lateBy)
		time.AfterFunc(lateBy, carryOut)
		s.crashSoon(e, crashAfterOrder)
		return true
	}
}

// maxCrashes is how many executors crash.
const maxCrashes = 3

// crashes returns how many executors have been chosen to crash.
func (s *site) crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashing)
}

// crashSoon crashes an executor after a time, once for each of its lives, and starts it again under another id.
func (s *site) crashSoon(e *executor, after time.Duration) {
	id := e.name()
	s.mu.Lock()
	chosen := s.crashing[id] || len(s.crashing) == maxCrashes
	if !chosen {
		s.crashing[id] = true
	}
	s.mu.Unlock()
	if chosen {
		return
	}
	time.AfterFunc(after, func() {
		e.crash()
		time.AfterFunc(downTime, func() {
			if err := e.start(); err != nil {
				s.rec.add("executor %s does not come back: %v", e.machine, err)
			}
			e.forget(id)
		})
	})
}

const (
	// waveTime is the time that the operator gives for a wave, and finishTime is finish_s in the settings.
	waveTime   = 26 * time.Second
	finishTime = 14 * time.Second
	// restartDelay is how long a killed process is down.
	restartDelay = time.Second
)

// playWave has the operator add machines to a wave, and kills the holder while the wave is under way.
func playWave(rec *record, dir string, trouble bool) (bool, error) {
	s, err := newSite(rec, dir, 8, 16000)
	if err != nil {
		return false, err
	}
	defer s.stop()
	if err := s.startProcesses(3); err != nil {
		return false, err
	}
	machines := []string{"m0", "m1", "m2", "m3"}
	s.writeWave(1, 1, waveTime.Seconds(), machines[:2])
	time.Sleep(500 * time.Millisecond)
	s.writeWave(1, 1, waveTime.Seconds(), machines)
	time.Sleep(time.Second)
	if trouble {
		n := s.holder()
		if n < 0 {
			return false, nil
		}
		rec.add("process %d, the holder, is killed", n+1)
		go func() {
			if err := s.restartProcess(n, restartDelay); err != nil {
				rec.add("process %d does not come back: %v", n+1, err)
			}
		}()
	}
	for deadline := time.Now().Add(waveTime + finishTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if s.waveState(1) != "completed" {
			continue
		}
		rec.add("status/wave/1 says completed")
		if missing := s.missingUpkeep(machines); len(missing) > 0 {
			rec.violate("MIXED: wave 1 is said to be completed, and the upkeep of %v has not begun", missing)
		}
		return true, nil
	}
	rec.add("wave 1 is not completed in time")
	return true, nil
}
