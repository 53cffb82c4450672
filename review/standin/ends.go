//go:build review

package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"time"
)

// The load of manyEnds: consumers hand in jobs of 24 small work items each, all within a second and a half.
const (
	endsJobs       = 26
	endsItems      = 24
	endsCPU        = 25
	endsMemMB      = 40
	endsMinTime    = 3500 * time.Millisecond
	endsSpread     = 1000 * time.Millisecond
	endsOutage     = 4 * time.Second
	endsOutageFrom = 624
)

// manyEnds lets the store be down while the runs on an executor end, which are more than one list of ends holds.
func manyEnds(j *judge, trouble bool) error {
	duration := func(task string) time.Duration {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return endsMinTime + time.Duration(h.Sum32()%1000)*endsSpread/1000
	}
	c, err := newCluster(j, 4, duration)
	if err != nil {
		return err
	}
	c.configure(1)
	defer c.close()
	if err := c.startMachines(3); err != nil {
		return err
	}
	if !c.waitReady(10 * time.Second) {
		return errors.New("the machines are not ready")
	}
	time.Sleep(2 * time.Second)
	var consumers sync.WaitGroup
	var ids []string
	for n := range endsJobs {
		id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+n)
		ids = append(ids, id)
		consumers.Add(1)
		go func() {
			defer consumers.Done()
			time.Sleep(time.Duration(n) * 40 * time.Millisecond)
			if !c.submit(n, id, jobBody("proof of tile set", endsItems, endsCPU, endsMemMB, 4000), 6) {
				j.note("consumer: %s was not accepted", id)
			}
		}()
	}
	consumers.Wait()
	began := time.Now()
	for time.Since(began) < 3*time.Second && c.running() < endsOutageFrom {
		time.Sleep(5 * time.Millisecond)
	}
	j.note("platform: %d runs on all executors", c.running())
	if trouble {
		j.note("platform: the store is down")
		c.store.down.Store(true)
		time.Sleep(endsOutage)
		c.store.down.Store(false)
		j.note("platform: the store is up")
	}
	for began = time.Now(); time.Since(began) < 25*time.Second; time.Sleep(200 * time.Millisecond) {
		if c.completed(ids) {
			break
		}
	}
	time.Sleep(3 * time.Second)
	for _, e := range c.executors {
		running, unacked, most := e.counts()
		j.note("executor %s: %d runs, %d ends not taken note of, at most %d at a time", e.id, running, unacked, most)
	}
	return nil
}

// running counts the runs on all executors.
func (c *cluster) running() int {
	n := 0
	for _, e := range c.executors {
		r, _, _ := e.counts()
		n += r
	}
	return n
}
