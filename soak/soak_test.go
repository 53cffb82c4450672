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

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/stand"
	"lavenderwing.example/lavenderwing/work"
)

var (
	firstSeed = flag.Int64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds")
	seconds   = flag.Int("soak.seconds", 6, "seconds of faults a seed")
)

func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "lavenderwing")
	if out, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
		t.Fatalf("building: %v %s", err, out)
	}
	return program
}

const (
	soakNodes   = 4
	soakTargets = 4
	// finishTries bounds how often the state of a job is asked for after the faults.
	finishTries = 600
	callWait    = 3 * time.Second
	// leastPause and mostPause lie between two faults, so that they overlap: each lasts up to two seconds.
	leastPause = 200 * time.Millisecond
	mostPause  = 1200 * time.Millisecond
	mostFault  = 2 * time.Second
)

// TestSoak runs seeds of faults; -soak.seeds, -soak.seed and -soak.seconds choose others than CI's.
func TestSoak(t *testing.T) {
	program := build(t)
	for n := range int64(*seeds) {
		t.Run(fmt.Sprintf("seed%d", *firstSeed+n), func(t *testing.T) { newSoak(t, program, *firstSeed+n).play() })
	}
}

// keptSeeds are those that ever failed, each with its cause. Runs under a seed differ in timing, so that each cause has a script of its own as well.
//
//	105, 108: an empty list of hosts was taken for news, and what ran on a muted target was started elsewhere (sched lost.txtar).
var keptSeeds = []int64{105, 108}

// TestKept plays the first of the kept seeds, and all of them with -soak.seeds above 1.
func TestKept(t *testing.T) {
	program := build(t)
	for n, seed := range keptSeeds {
		if n == 0 || *seeds > 1 {
			t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) { newSoak(t, program, seed).play() })
		}
	}
}

// soak is one run: a platform in this process, and nodes as processes of their own.
type soak struct {
	*testing.T
	*rand.Rand
	is       *is.I
	program  string
	platform *stage.Platform
	nodes    []*node
	faults   sync.WaitGroup

	mu       sync.Mutex
	accepted []work.JobID
	refused  int
}

// node is one process and the proxy between it and the store.
type node struct {
	name, front, ready, file string
	proxy                    *proxy
	log                      *os.File

	mu      sync.Mutex
	command *exec.Cmd
}

func newSoak(t *testing.T, program string, seed int64) *soak {
	s := &soak{T: t, Rand: rand.New(rand.NewSource(seed)), is: is.New(t), program: program}
	p, err := stage.New(stand.LoopbackAddresses(2+soakTargets), "pool", soakTargets, work.Resources{CPU: 3000, MemMB: 1000})
	s.is.NoErr(err)
	s.platform = p
	t.Cleanup(p.Close)
	s.is.NoErr(p.Configure(&work.Config{
		Version: 1, Pools: []work.Pool{{Name: "pool"}},
		Queues: []work.Queue{{Name: "q", Host: "jobs.example", PathPrefix: "/q/", Pool: "pool", Public: true, MaxAttempts: 9, SlackFactor: 20, TargetDurationMs: 60000}},
	}))
	for n := range soakNodes {
		s.addNode(n)
	}
	return s
}

func (s *soak) addNode(n int) {
	a := stand.LoopbackAddresses(5)
	ip, port, err := net.SplitHostPort(a[3])
	s.is.NoErr(err)
	first, err := strconv.Atoi(port)
	s.is.NoErr(err)
	proxy, err := newProxy(a[2], s.platform.Store.Address)
	s.is.NoErr(err)
	dir := s.TempDir()
	d := &node{name: fmt.Sprintf("node%d", n), front: a[0], ready: a[1], proxy: proxy, file: filepath.Join(dir, "settings.toml")}
	text := s.platform.Settings(d.name, ip, a[0], a[1], first, first+1)
	text = strings.Replace(text, s.platform.Store.Address, a[2], 1)
	s.is.NoErr(os.WriteFile(d.file, []byte(text), 0o600))
	d.log, err = os.Create(filepath.Join(dir, "log"))
	s.is.NoErr(err)
	s.nodes = append(s.nodes, d)
	d.start(s)
	s.Cleanup(func() {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		_ = proxy.listener.Close()
		if s.Failed() {
			s.keepLog(d)
		}
	})
}

// keepLog keeps the lines of a node of a run that failed.
func (s *soak) keepLog(d *node) {
	b, err := os.ReadFile(d.log.Name())
	if err != nil {
		return
	}
	name := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%s-%s.log", strings.ReplaceAll(s.Name(), "/", "-"), d.name))
	if os.WriteFile(name, b, 0o600) == nil {
		s.Logf("lines of %s: %s", d.name, name)
	}
}

func (d *node) start(s *soak) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := exec.Command(s.program, "node", "-settings", d.file)
	c.Stdout, c.Stderr = d.log, d.log
	s.is.NoErr(c.Start())
	d.command = c
	// The process is known by its id only until it is reaped here.
	go func() { _ = c.Wait() }()
}

func (d *node) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.command.Process.Signal(sig)
}

func (s *soak) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range soakNodes {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.call(ctx, n)
		}()
	}
	until := time.Now().Add(time.Duration(*seconds) * time.Second)
	for time.Now().Before(until) {
		time.Sleep(leastPause + time.Duration(s.Int63n(int64(mostPause-leastPause))))
		s.fault()
	}
	s.faults.Wait()
	cancel()
	callers.Wait()
	s.finish()
}

// fault begins one fault that mends itself.
func (s *soak) fault() {
	d := s.nodes[s.Intn(len(s.nodes))]
	lasts := time.Duration(s.Int63n(int64(mostFault)))
	kind, target := s.Intn(8), s.platform.Targets[s.Intn(soakTargets)]
	mode := proxyMode(1 + s.Intn(int(proxyModes)-1))
	s.faults.Add(1)
	go func() {
		defer s.faults.Done()
		switch kind {
		case 0:
			d.signal(syscall.SIGKILL)
			time.Sleep(lasts)
			d.start(s)
		case 1:
			d.signal(syscall.SIGTERM)
			time.Sleep(lasts)
			d.signal(syscall.SIGKILL)
			d.start(s)
		case 2:
			d.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			d.signal(syscall.SIGCONT)
		case 3:
			target.SetUnresponsive(true)
			time.Sleep(lasts)
			target.SetUnresponsive(false)
		case 4:
			s.platform.Store.SetFault(stage.Fault(1 + int(lasts)%3))
			time.Sleep(lasts)
			s.platform.Store.SetFault(stage.NoFault)
		case 5:
			d.signal(syscall.SIGHUP)
		default:
			d.proxy.set(mode)
			time.Sleep(lasts)
			d.proxy.set(passing)
		}
	}()
}

// call submits jobs to one node after the other and notes what it was told.
func (s *soak) call(ctx context.Context, worker int) {
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
			s.refused++
			s.platform.Checker.JobRefused(job.ID)
		}
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// submit tries a job at several nodes; it may run unless every answer was a refusal.
func (s *soak) submit(client *fasthttp.Client, worker int, id work.JobID, body []byte) (accepted, onlyRefused bool) {
	onlyRefused = true
	for try := range 3 {
		status := s.request(client, s.nodes[(worker+try)%soakNodes], "POST", id, body, nil)
		if status == fasthttp.StatusOK {
			return true, false
		}
		if status != fasthttp.StatusServiceUnavailable && status != fasthttp.StatusTooManyRequests {
			onlyRefused = false
		}
	}
	return false, onlyRefused
}

func (s *soak) request(client *fasthttp.Client, d *node, method string, id work.JobID, body []byte, answer *string) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + d.front + "/q/" + string(id))
	req.UseHostHeader = true
	req.Header.SetHost("jobs.example")
	req.SetBodyRaw(body)
	if err := client.DoTimeout(req, resp, callWait); err != nil {
		return 0
	}
	if answer != nil {
		*answer = string(resp.Body())
	}
	return resp.StatusCode()
}

// finish asks for every accepted job until it is completed, and for what was seen that must not be.
func (s *soak) finish() {
	client := &fasthttp.Client{}
	for _, id := range s.accepted {
		var body string
		done := false
		for try := 0; try < finishTries && !done; try++ {
			d := s.nodes[try%soakNodes]
			status := s.request(client, d, "GET", id, nil, &body)
			if status == fasthttp.StatusGone {
				s.Fatalf("job %s was accepted and is not known at %s", id, d.name)
			}
			done = status == fasthttp.StatusOK && body == platform.StateBody(work.Completed)
			if !done {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if !done {
			s.Fatalf("job %s was accepted and is not completed: %s", id, body)
		}
		s.platform.Checker.JobCompleted(id)
	}
	if broken := s.platform.Checker.Violations(); len(broken) > 0 {
		s.Fatalf("broken: %v", broken)
	}
	s.Logf("%d jobs accepted and completed, %d refused, %d starts", len(s.accepted), s.refused, s.platform.Checker.StartCount())
}
