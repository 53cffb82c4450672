package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/work"
)

var (
	firstSeed = flag.Int64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds")
	seconds   = flag.Int("soak.seconds", 6, "seconds of faults per seed")
)

func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "lavenderwing")
	if out, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
		t.Fatalf("building: %v %s", err, out)
	}
	return program
}

const (
	soakNodes   = 4
	soakTargets = 4
	// maxStatePolls bounds how often the state of a job is polled after the faults.
	maxStatePolls = 600
	callTimeout   = 3 * time.Second
	// minPause and maxPause bound the time between the starts of two faults. They are shorter than maxFaultDuration, so
	// that faults can overlap.
	minPause         = 200 * time.Millisecond
	maxPause         = 1200 * time.Millisecond
	maxFaultDuration = 2 * time.Second
)

// TestSoak injects random faults under one or more seeds. The defaults of -soak.seed, -soak.seeds and -soak.seconds are
// for CI.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	for n := range int64(*seeds) {
		t.Run(fmt.Sprintf("seed%d", *firstSeed+n), func(t *testing.T) { newSoak(t, program, *firstSeed+n).run() })
	}
}

// regressionSeeds are seeds under which the test has failed before, each with the cause. Runs under the same seed differ
// in timing, so a deterministic script tests each cause as well.
//
//	105, 108: an empty host list was taken as current, and work that was running on an unresponsive target was
//	started again elsewhere (lost.txtar in sched).
var regressionSeeds = []int64{105, 108}

// TestRegressionSeeds runs the first of regressionSeeds, and all of them if -soak.seeds is above 1.
func TestRegressionSeeds(t *testing.T) {
	program := buildProgram(t)
	for n, seed := range regressionSeeds {
		if n == 0 || *seeds > 1 {
			t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) { newSoak(t, program, seed).run() })
		}
	}
}

// soak is one run with a simulated platform in this process and nodes as separate processes.
type soak struct {
	*testing.T
	*rand.Rand
	is       *is.I
	program  string
	platform *stage.Platform
	nodes    []*node
	faults   sync.WaitGroup

	mu           sync.Mutex
	accepted     []work.JobID
	refusedCount int
}

// node is a process of the program and the proxy between it and the store.
type node struct {
	name, front, ready, settingsFile string
	proxy                            *proxy
	log                              *os.File

	mu      sync.Mutex
	command *exec.Cmd
}

func newSoak(t *testing.T, program string, seed int64) *soak {
	s := &soak{T: t, Rand: rand.New(rand.NewSource(seed)), is: is.New(t), program: program}
	p, err := stage.New(fake.LoopbackAddresses(2+soakTargets), "pool", soakTargets, work.Resources{CPU: 3000, MemMB: 1000})
	s.is.NoErr(err)
	s.platform = p
	t.Cleanup(p.Close)
	s.is.NoErr(p.Configure(&work.Config{
		Version: 1, Pools: []work.Pool{{Name: "pool"}},
		Queues: []work.Queue{{Name: "q", Host: "jobs.example", PathPrefix: "/q/", Pool: "pool", Public: true, MaxAttempts: 9, SlackFactor: 20, FixedSlackMs: 60000}},
	}))
	for n := range soakNodes {
		s.addNode(n)
	}
	return s
}

func (s *soak) addNode(n int) {
	addresses := fake.LoopbackAddresses(5)
	ip, port, err := net.SplitHostPort(addresses[3])
	s.is.NoErr(err)
	first, err := strconv.Atoi(port)
	s.is.NoErr(err)
	proxy, err := newProxy(addresses[2], s.platform.Store.Address)
	s.is.NoErr(err)
	dir := s.TempDir()
	d := &node{name: fmt.Sprintf("node%d", n), front: addresses[0], ready: addresses[1], proxy: proxy, settingsFile: filepath.Join(dir, "settings.toml")}
	text := s.platform.Settings(d.name, ip, addresses[0], addresses[1], first, first+1)
	text = strings.Replace(text, s.platform.Store.Address, addresses[2], 1)
	s.is.NoErr(os.WriteFile(d.settingsFile, []byte(text), 0o600))
	d.log, err = os.Create(filepath.Join(dir, "log"))
	s.is.NoErr(err)
	s.nodes = append(s.nodes, d)
	d.start(s)
	s.Cleanup(func() {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		_ = proxy.listener.Close()
		if s.Failed() {
			s.saveLog(d)
		}
	})
}

// saveLog copies the log of a node to a file that outlives the test.
func (s *soak) saveLog(d *node) {
	b, err := os.ReadFile(d.log.Name())
	if err != nil {
		return
	}
	name := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%s-%s.log", strings.ReplaceAll(s.Name(), "/", "-"), d.name))
	if os.WriteFile(name, b, 0o600) == nil {
		s.Logf("log of %s: %s", d.name, name)
	}
}

func (d *node) start(s *soak) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := exec.Command(s.program, "node", "-settings", d.settingsFile)
	c.Stdout, c.Stderr = d.log, d.log
	s.is.NoErr(c.Start())
	d.command = c
	// Wait reaps the process when it ends. Until then the process ID is not reused, and after that Signal sends nothing.
	go func() { _ = c.Wait() }()
}

func (d *node) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.command.Process.Signal(sig)
}

func (s *soak) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range soakNodes {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.submitJobs(ctx, n)
		}()
	}
	deadline := time.Now().Add(time.Duration(*seconds) * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(minPause + time.Duration(s.Int63n(int64(maxPause-minPause))))
		s.injectFault()
	}
	s.faults.Wait()
	cancel()
	callers.Wait()
	s.verify()
}

// injectFault starts a random fault that ends by itself.
func (s *soak) injectFault() {
	d := s.nodes[s.Intn(len(s.nodes))]
	duration := time.Duration(s.Int63n(int64(maxFaultDuration)))
	kind, target := s.Intn(8), s.platform.Targets[s.Intn(soakTargets)]
	mode := proxyMode(1 + s.Intn(int(proxyModeCount)-1))
	s.faults.Add(1)
	go func() {
		defer s.faults.Done()
		switch kind {
		case 0:
			d.signal(syscall.SIGKILL)
			time.Sleep(duration)
			d.start(s)
		case 1:
			d.signal(syscall.SIGTERM)
			time.Sleep(duration)
			d.signal(syscall.SIGKILL)
			d.start(s)
		case 2:
			d.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			d.signal(syscall.SIGCONT)
		case 3:
			target.SetUnresponsive(true)
			time.Sleep(duration)
			target.SetUnresponsive(false)
		case 4:
			s.platform.Store.SetFault(stage.Fault(1 + int(duration)%3))
			time.Sleep(duration)
			s.platform.Store.SetFault(stage.NoFault)
		case 5:
			d.signal(syscall.SIGHUP)
		default:
			d.proxy.setMode(mode)
			time.Sleep(duration)
			d.proxy.setMode(passing)
		}
	}()
}

// submitJobs submits jobs until ctx ends and records which were accepted and which were refused at every attempt.
func (s *soak) submitJobs(ctx context.Context, worker int) {
	client := &fasthttp.Client{}
	for n := 0; ctx.Err() == nil; n++ {
		job := &work.Job{ID: work.JobID(fmt.Sprintf("%08x%08x", worker+1, n)), Spec: "run=150 cpu=700", Steps: []work.Step{
			{Count: 2, Demand: work.Resources{CPU: 700, MemMB: 1}, EstimateMs: 150},
			{Count: 1, Demand: work.Resources{CPU: 700, MemMB: 1}, EstimateMs: 150, After: []int{0}},
		}}
		s.platform.Checker.AddJob(job)
		body, err := stage.JobBody(job)
		s.is.NoErr(err)
		accepted, onlyRefused := s.submit(client, worker, job.ID, body)
		s.mu.Lock()
		switch {
		case accepted:
			s.accepted = append(s.accepted, job.ID)
		case onlyRefused:
			s.refusedCount++
			s.platform.Checker.JobRefused(job.ID)
		}
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// submit tries to submit a job at three nodes in turn. Unless every reply was a refusal, the job may run.
func (s *soak) submit(client *fasthttp.Client, worker int, id work.JobID, body []byte) (accepted, onlyRefused bool) {
	onlyRefused = true
	for attempt := range 3 {
		status := s.sendRequest(client, s.nodes[(worker+attempt)%soakNodes], "POST", id, body, nil)
		if status == fasthttp.StatusOK {
			return true, false
		}
		if status != fasthttp.StatusServiceUnavailable && status != fasthttp.StatusTooManyRequests {
			onlyRefused = false
		}
	}
	return false, onlyRefused
}

func (s *soak) sendRequest(client *fasthttp.Client, d *node, method string, id work.JobID, body []byte, answer *string) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + d.front + "/q/" + string(id))
	req.UseHostHeader = true
	req.Header.SetHost("jobs.example")
	req.SetBodyRaw(body)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return 0
	}
	if answer != nil {
		*answer = string(resp.Body())
	}
	return resp.StatusCode()
}

// verify waits until every accepted job is completed, and checks that no guarantee was violated.
func (s *soak) verify() {
	client := &fasthttp.Client{}
	for _, id := range s.accepted {
		var body string
		done := false
		for poll := 0; poll < maxStatePolls && !done; poll++ {
			d := s.nodes[poll%soakNodes]
			status := s.sendRequest(client, d, "GET", id, nil, &body)
			if status == fasthttp.StatusGone {
				s.Fatalf("job %s was accepted but is not known at %s", id, d.name)
			}
			done = status == fasthttp.StatusOK && body == platform.StateBody(work.Completed)
			if !done {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if !done {
			s.Fatalf("job %s was accepted but is not completed: %s", id, body)
		}
		s.platform.Checker.JobCompleted(id)
	}
	if violations := s.platform.Checker.Violations(); len(violations) > 0 {
		s.Fatalf("violated guarantees: %v", violations)
	}
	s.Logf("%d jobs accepted and completed, %d refused, %d starts", len(s.accepted), s.refusedCount, s.platform.Checker.StartCount())
}
