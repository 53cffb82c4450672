//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// The traffic of manyJobs. jobsPerSecond is the sum of the jobs a second that the sheet of serra-lw lists.
const (
	jobsPerSecond   = 12.1
	recoveryTime    = 12 * time.Second
	trafficTime     = 10 * time.Second
	finishTime      = 14 * time.Second
	sampleJobs      = 40
	sampleSpecBytes = 500
)

// historyHours is for how long the deployment has run before the processes are killed.
func historyHours() float64 {
	if h, err := strconv.ParseFloat(os.Getenv("HOURS"), 64); err == nil {
		return h
	}
	return 5
}

// manyJobs kills all processes at one moment after the deployment has served its usual traffic for some hours.
func manyJobs(j *judge, trouble bool) error {
	c, err := newCluster(j, 8, func(string) time.Duration { return 400 * time.Millisecond })
	if err != nil {
		return err
	}
	c.configure(1)
	if err := c.startMachines(3); err != nil {
		return err
	}
	defer c.close()
	if !c.waitReady(10 * time.Second) {
		return errors.New("the machines are not ready")
	}
	time.Sleep(2 * time.Second)
	served, ids := c.sendJobs(0, sampleJobs, 100*time.Millisecond)
	for began := time.Now(); time.Since(began) < 15*time.Second && !c.completed(ids); {
		time.Sleep(200 * time.Millisecond)
	}
	if served < sampleJobs || !c.completed(ids) {
		return errors.New("the first jobs are not completed")
	}
	jobs, err := c.addHistory(ids, time.Duration(historyHours()*float64(time.Hour)))
	if err != nil {
		return err
	}
	j.note("platform: the store holds the records of %d more jobs, %d MB in all", jobs, c.store.stored.Load()>>20)
	if trouble {
		j.note("platform: all processes are killed")
		c.killAll()
	}
	killed := time.Now()
	var accepted []string
	for n := 0; time.Since(killed) < restartDelay+recoveryTime+trafficTime; n++ {
		time.Sleep(250 * time.Millisecond)
		if time.Since(killed) < restartDelay+recoveryTime {
			continue
		}
		id := fmt.Sprintf("%016x", 0x6c00000000000000+n)
		if c.submit(n, id, sampleBody(), 2) {
			accepted = append(accepted, id)
		}
	}
	j.note("consumer: %d jobs accepted later than %s after the machines were back, the traffic ends", len(accepted), recoveryTime)
	time.Sleep(finishTime)
	for _, m := range c.machines {
		m.mu.Lock()
		j.note("platform: process of %s has ended %d times, its memory was at most %d MB of %d", m.name, m.ends, m.peakMB, memoryMB)
		m.mu.Unlock()
	}
	c.checkLost(append(ids[:5:5], accepted...))
	return nil
}

// checkLost asks at all machines for accepted jobs, finishTime after the end of the traffic.
func (c *cluster) checkLost(ids []string) {
	type result struct {
		id, text string
		answered bool
	}
	results := make(chan result, len(ids))
	for _, id := range ids {
		go func() {
			r := result{id: id}
			for _, m := range c.machines {
				status, body := c.call(m, "GET", id, apiKey, nil)
				r.text += fmt.Sprintf(" %s: %d %s;", m.name, status, body)
				r.answered = r.answered || status == 200
			}
			results <- r
		}()
	}
	for range ids {
		r := <-results
		c.judge.note("consumer: GET %s at%s", r.id, r.text)
		if !r.answered {
			c.judge.breakRule("LOST: %s was accepted, and its state gets no answer %s after the end of the traffic; its work items have started %d times", r.id, finishTime, c.judge.startsOf(r.id))
		}
	}
}

// sampleBody is the body of a job like those of the sheet: two steps of six work items.
func sampleBody() []byte {
	spec := strings.Repeat("tile ", sampleSpecBytes/5)
	return []byte(`{"spec":"` + spec + `","phases":[{"count":6,"cpu":880,"mem_mb":2100,"estimate_ms":400},{"count":6,"cpu":880,"mem_mb":2100,"estimate_ms":400,"after":[0]}]}`)
}

// sendJobs hands jobs in one after the other and returns how many were accepted, and their identifiers.
func (c *cluster) sendJobs(first, count int, pause time.Duration) (int, []string) {
	accepted := 0
	var ids []string
	for n := range count {
		id := fmt.Sprintf("%016x", 0x5c00000000000000+first+n)
		if c.submit(n, id, sampleBody(), 6) {
			accepted++
			ids = append(ids, id)
		}
		time.Sleep(pause)
	}
	return accepted, ids
}

// addHistory adds to the store what the system has written for the given jobs, once for each job of the time that has passed, with other identifiers and earlier times.
func (c *cluster) addHistory(ids []string, past time.Duration) (int, error) {
	count := int(past.Seconds() * jobsPerSecond)
	jobs, progress := c.store.partition("keyed.jobs", 0), c.store.partition("keyed.progress", 0)
	for n := range count {
		var job work.Job
		var done work.JobProgress
		id := ids[n%len(ids)]
		if err := work.Decode(c.store.get("jobs", 0, id), &job); err != nil {
			return 0, err
		}
		if err := work.Decode(c.store.get("progress", 0, id), &done); err != nil {
			return 0, err
		}
		ago := (past * time.Duration(count-n) / time.Duration(count)).Milliseconds()
		job.ID = work.JobID(fmt.Sprintf("%016x", 0x5d00000000000000+n))
		job.AcceptedMs -= ago
		done.EndedMs -= ago
		jobValue, err := work.Encode(&job)
		if err != nil {
			return 0, err
		}
		doneValue, err := work.Encode(&done)
		if err != nil {
			return 0, err
		}
		c.store.addExpired(jobs, string(job.ID), jobValue)
		c.store.addExpired(progress, string(job.ID), doneValue)
	}
	return count, nil
}

// addExpired adds a record that is no longer in the history, and that the store keeps because it is the newest of its key.
func (s *store) addExpired(p *partition, key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &record{key: key, value: value, offset: -1}
	p.newest[key] = r
	p.keys = nil
	s.stored.Add(int64(r.size()))
}
