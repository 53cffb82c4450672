package agent_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"golang.org/x/tools/txtar"

	"lavenderwing.example/lavenderwing/agent"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/stand"
	"lavenderwing.example/lavenderwing/work"
)

// tries bounds how often a state is asked for, so that a fault ends a test and slowness does not.
const tries = 2000

// TestPath plays the scripts of testdata on processes and a stand-in for the platform, over real sockets.
func TestPath(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "path", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range archive.Files {
			t.Run(f.Name, func(t *testing.T) {
				t.Parallel()
				s := newScene(t)
				for n, line := range strings.Split(string(f.Data), "\n") {
					line, _, _ = strings.Cut(line, "#")
					if words := strings.Fields(line); len(words) > 0 {
						s.line = fmt.Sprintf("line %d: %s", n+1, line)
						s.run(words[0], words[1:])
					}
				}
				if broken := s.platform.Checker.Violations(); len(broken) > 0 {
					t.Fatalf("broken: %v", broken)
				}
			})
		}
	}
}

// scene is a platform and the processes on it.
type scene struct {
	*testing.T
	is       *is.I
	platform *stage.Platform
	nodes    []*node
	line     string
	http     *fasthttp.Client
}

type node struct {
	front string
	stop  context.CancelFunc
	done  chan error
}

const (
	sceneTargets = 4
	sceneNodes   = 3
)

func newScene(t *testing.T) *scene {
	s := &scene{T: t, is: is.New(t), http: &fasthttp.Client{}}
	addresses := stand.LoopbackAddresses(2 + sceneTargets)
	p, err := stage.New(addresses, "pool", sceneTargets, work.Resources{CPU: 2000, MemMB: 1000})
	s.is.NoErr(err)
	s.platform = p
	t.Cleanup(p.Close)
	s.is.NoErr(p.Configure(s.config(1, "key")))
	for n := range sceneNodes {
		s.start(n)
	}
	return s
}

func (s *scene) config(version int64, key string) *work.Config {
	return &work.Config{
		Version: version,
		Queues: []work.Queue{
			{Name: "q", Host: "jobs.example", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, SlackFactor: 2, TargetDurationMs: 600},
			{Name: "open", Host: "jobs.example", PathPrefix: "/open/", Pool: "pool", Public: true, MaxAttempts: 3, SlackFactor: 2, TargetDurationMs: 600},
		},
		Pools: []work.Pool{{Name: "pool"}},
		Teams: []work.Team{{Name: "team", Keys: []string{key}, Weight: 1}},
	}
}

func (s *scene) start(n int) {
	a := stand.LoopbackAddresses(4)
	ip, port, err := net.SplitHostPort(a[2])
	s.is.NoErr(err)
	first, err := strconv.Atoi(port)
	s.is.NoErr(err)
	file := filepath.Join(s.TempDir(), "settings.toml")
	s.is.NoErr(os.WriteFile(file, []byte(s.platform.Settings(fmt.Sprintf("node%d", n), ip, a[0], a[1], first, first+1)), 0o600))
	settings, err := platform.LoadSettings(file)
	s.is.NoErr(err)
	process, err := agent.New(settings)
	s.is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	running := &node{front: a[0], stop: stop, done: make(chan error, 1)}
	go func() { running.done <- process.Run(ctx) }()
	s.nodes = append(s.nodes, running)
	s.Cleanup(stop)
	s.await(func() bool {
		status, _, err := s.http.Get(nil, "http://"+a[1]+platform.ReadinessPath)
		return err == nil && status == fasthttp.StatusOK
	})
}

func (s *scene) await(done func() bool) {
	s.Helper()
	for range tries {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.Fatalf("%s: did not come about", s.line)
}

// call sends a caller's request and returns the status and the body.
func (s *scene) call(node int, method, path, key string, body []byte) (int, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.nodes[node].front + path)
	req.UseHostHeader = true
	req.Header.SetHost("jobs.example")
	if key != "" {
		req.Header.Set(platform.APIKeyHeader, platform.APIKeyScheme+key)
	}
	req.SetBodyRaw(body)
	if err := s.http.Do(req, resp); err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode(), string(resp.Body())
}

func (s *scene) run(verb string, args []string) {
	s.Helper()
	switch verb {
	case "submit": // NODE JOB SPEC COUNT CPU
		job := &work.Job{ID: id(args[1]), Spec: strings.ReplaceAll(args[2], ",", " ")}
		for _, step := range args[3:] {
			count, cpu, _ := strings.Cut(step, "x")
			spec := work.Step{Count: atoi(count), Demand: work.Resources{CPU: int64(atoi(cpu)), MemMB: 1}, EstimateMs: 50, Serving: strings.Contains(args[2], "serving")}
			if n := len(job.Steps); n > 0 {
				spec.After = []int{n - 1}
			}
			job.Steps = append(job.Steps, spec)
		}
		s.platform.Checker.AddJob(job)
		body, err := stage.JobBody(job)
		s.is.NoErr(err)
		s.await(func() bool {
			status, _ := s.call(atoi(args[0]), "POST", "/q/"+string(job.ID), "key", body)
			return status == fasthttp.StatusOK
		})
	case "state": // NODE JOB STATE
		s.await(func() bool {
			status, body := s.call(atoi(args[0]), "GET", "/q/"+string(id(args[1])), "key", nil)
			if status == fasthttp.StatusGone {
				s.Fatalf("%s: job is not known", s.line)
			}
			return status == fasthttp.StatusOK && body == `{"state":"`+args[2]+`"}`
		})
		if args[2] == "completed" {
			s.platform.Checker.JobCompleted(id(args[1]))
		}
	case "cancel": // NODE JOB
		s.await(func() bool {
			status, _ := s.call(atoi(args[0]), "DELETE", "/q/"+string(id(args[1])), "key", nil)
			return status == fasthttp.StatusOK
		})
	case "status": // NODE METHOD PATH KEY STATUS [BODY]
		body := []byte(nil)
		if len(args) > 5 {
			body = []byte(args[5])
		}
		s.await(func() bool {
			status, _ := s.call(atoi(args[0]), args[1], args[2], strings.TrimPrefix(args[3], "-"), body)
			return status == atoi(args[4])
		})
	case "not": // NODE METHOD PATH KEY STATUS: one call is answered otherwise
		status, body := s.call(atoi(args[0]), args[1], args[2], strings.TrimPrefix(args[3], "-"), nil)
		if status == atoi(args[4]) {
			s.Fatalf("%s: got %d %s", s.line, status, body)
		}
	case "refused": // NODE JOB: it is refused in the end; it must not run if every answer was a refusal
		job := &work.Job{ID: id(args[1]), Spec: "run=10 cpu=1", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1, MemMB: 1}, EstimateMs: 10}}}
		s.platform.Checker.AddJob(job)
		body, err := stage.JobBody(job)
		s.is.NoErr(err)
		only := true
		s.await(func() bool {
			status, _ := s.call(atoi(args[0]), "POST", "/q/"+string(job.ID), "key", body)
			only = only && status == fasthttp.StatusServiceUnavailable
			return status == fasthttp.StatusServiceUnavailable
		})
		if only {
			s.platform.Checker.JobRefused(job.ID)
		}
	case "leave": // NODE: it stops gracefully
		s.nodes[atoi(args[0])].stop()
		s.is.NoErr(<-s.nodes[atoi(args[0])].done)
	case "crash": // TARGET
		s.platform.Targets[atoi(args[0])].Crash()
	case "mute", "unmute": // TARGET
		s.platform.Targets[atoi(args[0])].SetUnresponsive(verb == "mute")
	case "store": // healthy|busy|silent|lossy
		s.platform.Store.SetFault(map[string]stage.Fault{"healthy": stage.NoFault, "busy": stage.FaultOverloaded, "silent": stage.FaultNoResponse, "lossy": stage.FaultLostResponses}[args[0]])
	case "withdraw": // replaces the team's key
		s.is.NoErr(s.platform.Configure(s.config(2, args[0])))
	case "started": // at least so many runs have begun
		s.await(func() bool { return s.platform.Checker.StartCount() >= atoi(args[0]) })
	default:
		s.Fatalf("%s: no such verb", s.line)
	}
}

func id(text string) work.JobID { return work.JobID(fmt.Sprintf("%016s", text)) }

func atoi(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}
