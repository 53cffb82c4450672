//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// The load and the times of crashingRacks: of three racks of four executors, two crash one after the other, rackRounds times.
const (
	rackExecutors = 12
	rackSize      = 4
	rackRounds    = 8
	rackGap       = 200 * time.Millisecond
	rackDown      = 1000 * time.Millisecond
	rackPause     = 1300 * time.Millisecond
	rackJobs      = 180
	rackItems     = 8
	rackRunTime   = 1300 * time.Millisecond
	rackInterval  = 75 * time.Millisecond
)

// crash ends an executor without a word and lets it come back under its id, where it knows nothing of before.
func (e *executor) crash(down time.Duration) {
	e.mu.Lock()
	e.down.Store(true)
	for task, r := range e.runs {
		e.judge.vanished(e.id, task, r.run)
	}
	e.runs, e.highest, e.ended = map[string]*activeRun{}, map[string]int{}, nil
	e.fence, e.deadlineMs, e.lapsedMs, e.lastEnd, e.acked = 0, 0, 0, 0, 0
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	e.judge.note("platform: %s crashes", e.id)
	time.Sleep(down)
	e.mu.Lock()
	e.born = time.Now()
	e.reported = time.Time{}
	e.judge.forget(e.id)
	e.mu.Unlock()
	e.down.Store(false)
	e.judge.note("platform: %s is up again", e.id)
}

// crashRack lets all executors of a rack crash at one moment.
func (c *cluster) crashRack(rack int, done *sync.WaitGroup) {
	for _, e := range c.executors[rack*rackSize : (rack+1)*rackSize] {
		done.Add(1)
		go func() {
			defer done.Done()
			e.crash(rackDown)
		}()
	}
}

// crashingRacks lets two racks crash one after the other while jobs come, none of whose work items fails.
func crashingRacks(j *judge, trouble bool) error {
	c, err := newCluster(j, rackExecutors, func(string) time.Duration { return rackRunTime })
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
	var consumers, crashes sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	for n := range rackJobs {
		consumers.Add(1)
		go func() {
			defer consumers.Done()
			time.Sleep(time.Duration(n) * rackInterval)
			id := fmt.Sprintf("%016x", 0x5c0e7a2300000000+n)
			if c.submit(n, id, jobBody("proof", rackItems, 1000, 1500, int(rackRunTime.Milliseconds())), 3) {
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for round := range rackRounds {
		if trouble {
			c.crashRack(round%3, &crashes)
			time.Sleep(rackGap)
			c.crashRack((round+1)%3, &crashes)
		}
		crashes.Wait()
		time.Sleep(rackPause)
	}
	consumers.Wait()
	time.Sleep(3 * time.Second)
	c.checkFailed(ids)
	return nil
}
