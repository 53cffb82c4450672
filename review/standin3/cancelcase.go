//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// cancelTime and maxStopTime are cancel_ms and stop_ms of the settings.
	cancelTime  = 3000 * time.Millisecond
	maxStopTime = 400 * time.Millisecond
	// lateTime is added to these before a run is judged.
	lateTime = 200 * time.Millisecond
	// cancelJobs jobs of cancelWidth work items are cancelled.
	cancelJobs  = 10
	cancelWidth = 80
	// keptClients clients of keptJobs jobs each cancel nothing, so that a quarter of the clients does.
	keptClients = 3
	keptJobs    = 10
	keptWidth   = 4
)

// runCancel lets one of four clients cancel its jobs at once, whose work items run on one executor.
func runCancel(b *bench, trouble bool) (bool, error) {
	if err := b.startPlatform(nil, 4); err != nil {
		return false, err
	}
	for n := range 8 {
		x, err := newExecutor(b, fmt.Sprintf("i-7f3a91%02x", n), fmt.Sprintf("m-%d", n), fmt.Sprintf("r%d", n/4))
		if err != nil {
			return false, err
		}
		b.executors = append(b.executors, x)
	}
	b.configure()
	if err := b.startNodes(nodeCount); err != nil {
		return false, err
	}
	c := b.client("client", "k1")
	var ids []string
	body := fmt.Sprintf(`{"spec":"x","phases":[{"count":%d,"cpu":20,"mem_mb":40,"estimate_ms":1000,"long_running":true}]}`, cancelWidth)
	for n := range cancelJobs {
		id := fmt.Sprintf("%016x", 0xc000+n)
		if err := c.submit(id, body, b.nodes[n%nodeCount]); err != nil {
			return false, err
		}
		ids = append(ids, id)
	}
	kept := fmt.Sprintf(`{"spec":"x","phases":[{"count":%d,"cpu":200,"mem_mb":40,"estimate_ms":1000,"long_running":true}]}`, keptWidth)
	var keptIDs []string
	for k := range keptClients {
		other := b.client(fmt.Sprintf("other%d", k), "k2")
		for n := range keptJobs {
			id := fmt.Sprintf("%016x", 0xd000+k*keptJobs+n)
			if err := other.submit(id, kept, b.nodes[n%nodeCount]); err != nil {
				return false, err
			}
			keptIDs = append(keptIDs, id)
		}
	}
	keptRunning := func() int {
		count := 0
		for _, x := range b.executors {
			for _, id := range keptIDs {
				r, _ := x.count(id)
				count += r
			}
		}
		return count
	}
	total := func() (all, most, stopping int) {
		for _, x := range b.executors {
			here := 0
			for _, id := range ids {
				r, s := x.count(id)
				here += r
				stopping += s
			}
			all += here
			most = max(most, here)
		}
		return all, most, stopping
	}
	began := time.Now()
	for all, _, _ := total(); all < cancelJobs*cancelWidth || keptRunning() < len(keptIDs)*keptWidth; all, _, _ = total() {
		if time.Since(began) > 40*time.Second {
			return false, fmt.Errorf("%d work items run", all)
		}
		time.Sleep(100 * time.Millisecond)
	}
	all, most, _ := total()
	b.record("%d work items run, at most %d on one executor, %v after the last job", all, most, time.Since(began))
	time.Sleep(5 * time.Second)
	if !trouble {
		all, _, _ = total()
		b.record("%d work items run", all)
		return all == cancelJobs*cancelWidth, nil
	}
	for n, id := range ids {
		if status, _ := c.call(b.nodes[n%nodeCount], http.MethodDelete, id, ""); status/100 != 2 {
			return false, fmt.Errorf("cancelling of %s is answered with %d", id, status)
		}
	}
	acknowledged := time.Now()
	time.Sleep(cancelTime + maxStopTime + lateTime)
	all, most, stopping := total()
	b.record("%v after the last acknowledgement %d work items run on, %d of them are not told to stop", time.Since(acknowledged), all, all-stopping)
	held := all == 0
	for all > 0 && time.Since(acknowledged) < 60*time.Second {
		time.Sleep(100 * time.Millisecond)
		all, _, _ = total()
	}
	b.record("%v after the last acknowledgement %d work items run on; %d of the other clients run", time.Since(acknowledged), all, keptRunning())
	if !held {
		b.record("BROKEN: work items of cancelled jobs run on later than cancel_ms and stop_ms after the acknowledgement")
	}
	return held, nil
}
