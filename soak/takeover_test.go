package soak

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/work"
)

var (
	takeoverHours = flag.Float64("takeover.hours", 0.03, "hours of usual traffic before the takeover")
	takeoverStore = flag.String("takeover.store", "earlier", "who kept the store: an earlier version, which removed nothing, or this one (kept)")
)

const (
	// usualJobsPerSecond and usualSpecBytes describe the traffic of a site with 48 hosts.
	usualJobsPerSecond = 12.1
	usualSpecBytes     = 500
	// keptFor is for how long this version keeps an ended job, by the status_s of the stand-in's settings.
	keptFor = 135 * time.Second
	// maxStoreBytes is how much the platform's store holds.
	maxStoreBytes = 400 << 20
	// takeoverMemoryMB is the memory of a host in the stand-in's settings.
	takeoverMemoryMB = 256
	// maxTakeoverPolls bounds the wait for the first order, 50 ms a poll, so that only a fault ends it.
	maxTakeoverPolls = 2400
	// liveJob is accepted and has not begun when the process takes over.
	liveJob = "00000000000000f1"
)

// TestTakeover guards against a takeover whose memory grows with all jobs that ever were: a process starts on a store that has served the usual traffic for -takeover.hours, and its first order and its peak memory are measured.
func TestTakeover(t *testing.T) {
	s := &soak{T: t, Rand: rand.New(rand.NewSource(1)), is: is.New(t), program: buildProgram(t)}
	p, err := stage.New(fake.LoopbackAddresses(2+soakTargets), "pool", soakTargets, work.Resources{CPU: targetCPU, MemMB: 1000})
	s.is.NoErr(err)
	s.platform = p
	t.Cleanup(p.Close)
	s.is.NoErr(p.Configure(&work.Config{
		Version: 1, Pools: []work.Pool{{Name: "pool"}},
		Queues: []work.Queue{{Name: "q", Host: "jobs.example", PathPrefix: "/q/", Pool: "pool", Public: true, MaxAttempts: 9, SlackFactor: 20, FixedSlackMs: 60000}},
	}))
	jobs, bytes := s.addPast(time.Duration(*takeoverHours*float64(time.Hour)), *takeoverStore == "kept")
	live := pastJob(liveJob, time.Now())
	p.Checker.AddJob(live)
	s.put("jobs", liveJob, live)
	reads := p.Store.ReadCount()
	began := time.Now()
	s.addNode(0)
	s.awaitFirstOrder()
	first := time.Since(began)
	peakMB := s.peakMemoryMB(s.nodes[0])
	log, err := os.ReadFile(s.nodes[0].log.Name())
	s.is.NoErr(err)
	recovered := regexp.MustCompile(`"msg":"recovered","epoch":\d+,"took":([0-9.]+)`).FindSubmatch(log)
	s.is.True(recovered != nil) // the process has taken over
	t.Logf("hours=%g store=%s jobs=%d storedMB=%d recoveredS=%s firstOrderMs=%d peakMB=%d reads=%d",
		*takeoverHours, *takeoverStore, jobs, bytes>>20, recovered[1], first.Milliseconds(), peakMB, p.Store.ReadCount()-reads)
	s.is.True(peakMB < takeoverMemoryMB)
	s.is.Equal(p.Checker.Violations(), nil)
}

// addPast fills the store with what the traffic of a time has left, at most as much as it holds, and returns the number of jobs and their bytes.
func (s *soak) addPast(past time.Duration, kept bool) (jobs, bytes int) {
	if kept {
		past = min(past, keptFor)
	}
	now := time.Now()
	count := int(past.Seconds() * usualJobsPerSecond)
	for n := range count {
		ended := now.Add(-past + time.Duration(float64(n)/usualJobsPerSecond*float64(time.Second)))
		id := fmt.Sprintf("%016x", 0x5d00000000000000+n)
		bytes += s.put("jobs", id, pastJob(work.JobID(id), ended))
		bytes += s.put("progress", id, &work.JobProgress{State: work.Completed, EndedMs: ended.UnixMilli()})
		if bytes > maxStoreBytes {
			return n + 1, bytes
		}
	}
	return count, bytes
}

// put stores a record and returns its size.
func (s *soak) put(topic, key string, record any) int {
	value, err := work.Encode(record)
	s.is.NoErr(err)
	s.platform.Store.Put(topic, key, value)
	return len(key) + len(value)
}

// pastJob is a job of the usual size that was accepted at the given time.
func pastJob(id work.JobID, accepted time.Time) *work.Job {
	step := work.Step{Count: 6, Demand: work.Resources{CPU: 100, MemMB: 1}, EstimateMs: 400}
	second := step
	second.After = []int{0}
	return &work.Job{
		ID: id, Queue: "q", Pool: "pool", Spec: "run=100 cpu=100 " + strings.Repeat("-", usualSpecBytes), Steps: []work.Step{step, second},
		AcceptedMs: accepted.UnixMilli(), Terms: &work.QueueTerms{MaxAttempts: 4, SlackFactor: 1.5, FixedSlackMs: 600},
	}
}

// awaitFirstOrder waits until the first run has started.
func (s *soak) awaitFirstOrder() {
	s.Helper()
	for range maxTakeoverPolls {
		if s.platform.Checker.StartCount() > 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.saveLog(s.nodes[0])
	s.Fatal("no run has started")
}

// peakMemoryMB returns the largest resident memory that the node's process has had.
func (s *soak) peakMemoryMB(n *node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	s.is.NoErr(err)
	peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	s.is.True(peak != nil) // the process runs
	kb, err := strconv.Atoi(string(peak[1]))
	s.is.NoErr(err)
	return kb >> 10
}
