//go:build review

package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The load and the times of removedRoute. failingShare is in thousandths, as error_share of the site's classes whose jobs end.
const (
	routeJobs     = 120
	routeItems    = 12
	routeRunTime  = 2500 * time.Millisecond
	routeAbsent   = 6 * time.Second
	failingShare  = 2
	maxAttempts   = 4
	routeFinish   = 40 * time.Second
	runningState  = `{"state":"running"}`
	failedState   = `{"state":"failed"}`
	completeState = `{"state":"completed"}`
)

// failsFirst reports whether the first run of a work item fails by its own fault.
func failsFirst(task string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte("fails" + task))
	return h.Sum32()%1000 < failingShare
}

// removedRoute restarts the process that schedules while a config is in force that lacks the route of accepted jobs. A later config has the route again.
func removedRoute(j *judge, trouble bool) error {
	c, err := newCluster(j, 8, func(string) time.Duration { return routeRunTime })
	if err != nil {
		return err
	}
	for _, e := range c.executors {
		e.outcome = func(task string, run int) string {
			if run == 1 && failsFirst(task) {
				return "failed"
			}
			return "done"
		}
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
	ids := c.submitTogether(routeJobs, routeItems)
	if trouble {
		c.configureRoutes(5, false)
		j.note("operator: config 5 is confirmed, it lacks the route")
		time.Sleep(500 * time.Millisecond)
	}
	m := c.holder()
	j.note("platform: %s gets SIGTERM", m.name)
	c.terminate(m)
	time.Sleep(routeAbsent)
	if trouble {
		c.configureRoutes(9, true)
		j.note("operator: config 9 is confirmed, it has the route again")
	}
	time.Sleep(3 * time.Second)
	c.checkFailed(ids)
	return nil
}

// submitTogether hands in a number of jobs of two steps within three seconds, and returns the identifiers of the accepted ones.
func (c *cluster) submitTogether(jobs, items int) []string {
	var consumers sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	body := []byte(fmt.Sprintf(`{"spec":"proof","phases":[{"count":%d,"cpu":80,"mem_mb":50,"estimate_ms":2500},{"count":%d,"cpu":80,"mem_mb":50,"estimate_ms":2500,"after":[0]}]}`, items, items))
	for n := range jobs {
		consumers.Add(1)
		go func() {
			defer consumers.Done()
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
			id := fmt.Sprintf("%016x", 0x5c0e7a2200000000+n)
			if c.submit(n, id, body, 6) {
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
			}
		}()
	}
	consumers.Wait()
	return ids
}

// checkFailed asks for the jobs until each has a final state, and checks that none is shown as failed of which no work item has failed maxAttempts times.
func (c *cluster) checkFailed(ids []string) {
	states := map[string]string{}
	for began := time.Now(); time.Since(began) < routeFinish && len(states) < len(ids); time.Sleep(300 * time.Millisecond) {
		for n, id := range ids {
			if states[id] != "" {
				continue
			}
			if status, body := c.call(c.machines[n%len(c.machines)], "GET", id, apiKey, nil); status == 200 && (body == failedState || body == completeState) {
				states[id] = body
			}
		}
	}
	for _, id := range ids {
		most := c.judge.mostFailures(id)
		c.judge.note("consumer: GET %s: %s; a work item of it has failed %d times", id, states[id], most)
		switch {
		case states[id] == failedState && most < maxAttempts:
			c.judge.breakRule("LOST: %s is shown as failed, but no work item of it has failed more than %d times, and max_attempts is %d", id, most, maxAttempts)
		case states[id] == "":
			c.judge.breakRule("LOST: %s has no final state %s after the route is back", id, routeFinish)
		}
	}
}

// mostFailures returns how often the work item of a job that failed most has failed.
func (j *judge) mostFailures(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	most := 0
	for task, it := range j.items {
		n := 0
		for _, e := range it.ends {
			if e.how == "failed" {
				n++
			}
		}
		if strings.HasPrefix(task, id+".") {
			most = max(most, n)
		}
	}
	return most
}

// terminate sends SIGTERM to a machine's process, which guard restarts.
func (c *cluster) terminate(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Signal(syscall.SIGTERM)
}

var holdingLine = regexp.MustCompile(`"msg":"holding","epoch":(\d+)`)

// holder returns the machine whose log has the highest epoch.
func (c *cluster) holder() *machine {
	best, highest := c.machines[0], -1
	for _, m := range c.machines {
		b, err := os.ReadFile(m.log.Name())
		if err != nil {
			continue
		}
		for _, found := range holdingLine.FindAllSubmatch(b, -1) {
			if n, err := strconv.Atoi(string(found[1])); err == nil && n > highest {
				best, highest = m, n
			}
		}
	}
	return best
}
