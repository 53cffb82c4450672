//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// runOversize kills the holder and hands a job of many small items in while nobody holds.
func runOversize(b *bench, trouble bool) (bool, error) {
	var ids []string
	for n := range 8 {
		ids = append(ids, fmt.Sprintf("7f3a91c2-5b0e-4d61-9a27-c4e8d1f0b6%02x", n))
	}
	if err := b.startPlatform(ids, 4); err != nil {
		return false, err
	}
	b.configure()
	if err := b.startNodes(nodeCount); err != nil {
		return false, err
	}
	killed := b.holder(nil)
	if killed == nil {
		return false, fmt.Errorf("nobody holds")
	}
	var others []*node
	for _, n := range b.nodes {
		if n != killed {
			others = append(others, n)
		}
	}
	c := b.client("client", "k1")
	small := `{"spec":"run=300 cpu=500","phases":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":300}]}`
	if err := c.submit("00000000000000d0", small, others...); err != nil {
		return false, err
	}
	large := `{"spec":"run=4000 cpu=20","phases":[{"count":4950,"cpu":20,"mem_mb":1,"estimate_ms":4000}]}`
	if trouble {
		b.signal(killed, syscall.SIGKILL)
		<-killed.ended
	}
	accepted := false
	for range 3 {
		status, _ := c.call(others[0], http.MethodPost, "00000000000000d1", large)
		if status/100 == 2 {
			accepted = true
			break
		}
		if !trouble {
			break
		}
	}
	if trouble {
		time.Sleep(2 * time.Second)
		if err := b.startNode(killed); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	var later []string
	for n := range 3 {
		id := fmt.Sprintf("00000000000000e%d", n)
		for try := range 6 {
			if status, _ := c.call(others[try%2], http.MethodPost, id, small); status/100 == 2 {
				later = append(later, id)
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(20 * time.Second)
	held := true
	if accepted {
		later = append(later, "00000000000000d1")
	}
	for _, id := range later {
		if state := c.state(id, others...); state != "completed" {
			b.record("BROKEN: job %s was accepted and is shown as %q, 20 s after the last one was handed in", id, state)
			held = false
		}
	}
	return held, nil
}

// nodeCount is the number of entry processes, as many as serra-lw has.
const nodeCount = 8

// Sizes of the burst of runMemory.
const (
	usualPerS   = 4.5
	hotFactor   = 7.5
	hotTime     = 6500 * time.Millisecond
	hotWidth    = 4990
	restartTime = 500 * time.Millisecond
)

// runMemory lets one tenant hand in hotFactor times its usual wide jobs for hotTime, and ends each process that exceeds its memory, as the platform does.
func runMemory(b *bench, trouble bool) (bool, error) {
	var ids []string
	for n := range 8 {
		ids = append(ids, fmt.Sprintf("i-7f3a91%02x", n))
	}
	if err := b.startPlatform(ids, 4); err != nil {
		return false, err
	}
	b.configure()
	if err := b.startNodes(nodeCount); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	watched := make(chan error, 1)
	go func() { watched <- b.watchMemory(stop) }()
	perS := usualPerS
	if trouble {
		perS *= hotFactor
	}
	accepted := make(chan int, 1)
	go func() {
		c, count := b.client("hot", "k2"), 0
		began := time.Now()
		for n := 0; time.Since(began) < hotTime; n++ {
			// The wide step waits for the first one, which lasts longer than the script.
			body := fmt.Sprintf(`{"spec":"run=100000 cpu=100","phases":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":10000},{"count":%d,"cpu":10,"mem_mb":1,"estimate_ms":50,"after":[0]}]}`, hotWidth)
			if status, _ := c.call(b.nodes[n%len(b.nodes)], http.MethodPost, fmt.Sprintf("%016x", 0xf000+n), body); status/100 == 2 {
				count++
			}
			time.Sleep(time.Until(began.Add(time.Duration(float64(n+1) / perS * float64(time.Second)))))
		}
		accepted <- count
	}()
	var small []string
	c := b.client("client", "k1")
	for n := range 15 {
		id := fmt.Sprintf("%016x", 0xe000+n)
		for try := range 4 {
			if status, _ := c.call(b.nodes[(n+try)%len(b.nodes)], http.MethodPost, id, `{"spec":"run=300 cpu=500","phases":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":300}]}`); status/100 == 2 {
				small = append(small, id)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(800 * time.Millisecond)
	}
	b.record("%d wide and %d small jobs accepted", <-accepted, len(small))
	time.Sleep(25 * time.Second)
	states := make([]string, len(small))
	var queries sync.WaitGroup
	for n, id := range small {
		queries.Add(1)
		go func() {
			defer queries.Done()
			c := b.client(fmt.Sprintf("client%d", n), "k1")
			for try := 0; try < 5 && states[n] == ""; try++ {
				states[n] = c.state(id, b.nodes[try%len(b.nodes)])
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	queries.Wait()
	held := true
	for n, state := range states {
		if state != "completed" {
			b.record("BROKEN: job %s was accepted and is shown as %q 25 s after the traffic", small[n], state)
			held = false
		}
	}
	close(stop)
	return held, <-watched
}

// watchMemory ends processes that exceed their memory and starts them again, until stop is closed.
func (b *bench) watchMemory(stop chan struct{}) error {
	back := map[*node]time.Time{}
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(20 * time.Millisecond):
		}
		for _, n := range b.nodes {
			if at, down := back[n]; down {
				if time.Now().Before(at) {
					continue
				}
				delete(back, n)
				if err := b.startNode(n); err != nil {
					return err
				}
				continue
			}
			if size, over := n.overMemory(); over {
				b.record("%s has %d MB of %d MB and is killed", n.name, size>>20, memoryMB)
				n.command.Process.Kill()
				<-n.ended
				back[n] = time.Now().Add(restartTime)
			}
		}
	}
}
