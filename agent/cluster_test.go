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
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/tools/txtar"

	"lavenderwing.example/lavenderwing/agent"
	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/work"
)

// maxPolls bounds how often a condition is checked, once every 10 ms. The resulting limit of at least 20 s is so high that only a fault fails a test, and not a slow machine.
const maxPolls = 2000

// TestScripts runs each script in testdata against a new cluster over real sockets. A script fails if a condition is not met in time or if the platform's checker finds a violation, such as an item that runs twice.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "path", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts found: %v", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range archive.Files {
			t.Run(f.Name, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				for n, line := range strings.Split(string(f.Data), "\n") {
					line, _, _ = strings.Cut(line, "#")
					if words := strings.Fields(line); len(words) > 0 {
						c.line = fmt.Sprintf("line %d: %s", n+1, line)
						c.run(words[0], words[1:])
					}
				}
				if violations := c.platform.Checker.Violations(); len(violations) > 0 {
					t.Fatalf("platform rules violated: %v", violations)
				}
			})
		}
	}
}

// cluster is a simulated platform with three agents that use it.
type cluster struct {
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
	logs  *observer.ObservedLogs
}

const (
	clusterTargets = 4
	clusterNodes   = 3
	// clusterPageItems is small, so that the agents read most of what they need in several pages.
	clusterPageItems = 2
)

func newCluster(t *testing.T) *cluster {
	c := &cluster{T: t, is: is.New(t), http: &fasthttp.Client{}}
	// The first address is the store's, the second the cloud's, and the others are the targets'.
	addresses := fake.LoopbackAddresses(2 + clusterTargets)
	p, err := stage.New(addresses, "pool", clusterTargets, work.Resources{CPU: 2000, MemMB: 4000})
	c.is.NoErr(err)
	c.platform = p
	p.Store.SetPageItems(clusterPageItems)
	t.Cleanup(p.Close)
	c.is.NoErr(p.Configure(c.config(1, "key")))
	for n := range clusterNodes {
		c.start(n)
	}
	return c
}

func (c *cluster) config(version int64, key string) *work.Config {
	return &work.Config{
		Version: version,
		Queues: []work.Queue{
			{Name: "q", Host: "jobs.example", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, SlackFactor: 2, FixedSlackMs: 600},
			{Name: "open", Host: "jobs.example", PathPrefix: "/open/", Pool: "pool", Public: true, MaxAttempts: 3, SlackFactor: 2, FixedSlackMs: 600},
		},
		Pools: []work.Pool{{Name: "pool"}},
		Teams: []work.Team{{Name: "team", Keys: []string{key}, Weight: 1}, {Name: "rival", Keys: []string{"rivalKey"}, Weight: 1}},
	}
}

// start runs another agent and waits until it is ready.
func (c *cluster) start(n int) {
	// The first address is for callers, the second for readiness checks, and the last two are the internal ports.
	a := fake.LoopbackAddresses(4)
	ip, port, err := net.SplitHostPort(a[2])
	c.is.NoErr(err)
	first, err := strconv.Atoi(port)
	c.is.NoErr(err)
	file := filepath.Join(c.TempDir(), "settings.toml")
	c.is.NoErr(os.WriteFile(file, []byte(c.platform.Settings(fmt.Sprintf("node%d", n), ip, a[0], a[1], first, first+1)), 0o600))
	settings, err := platform.LoadSettings(file)
	c.is.NoErr(err)
	core, logs := observer.New(zap.InfoLevel)
	process, err := agent.New(settings, agent.WithLogger(zap.New(core)))
	c.is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	running := &node{front: a[0], stop: stop, done: make(chan error, 1), logs: logs}
	go func() { running.done <- process.Run(ctx) }()
	c.nodes = append(c.nodes, running)
	c.Cleanup(stop)
	c.await(func() bool {
		status, _, err := c.http.Get(nil, "http://"+a[1]+platform.ReadinessPath)
		return err == nil && status == fasthttp.StatusOK
	})
}

// await waits until the condition holds, and fails the test after maxPolls checks.
func (c *cluster) await(done func() bool) {
	c.Helper()
	for range maxPolls {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("%s: condition not met in time", c.line)
}

// call sends a caller's request and returns the status and body, or status 0 and the error.
func (c *cluster) call(node int, method, path, key string, body []byte) (int, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.nodes[node].front + path)
	req.UseHostHeader = true
	req.Header.SetHost("jobs.example")
	if key != "" {
		req.Header.Set(platform.APIKeyHeader, platform.APIKeyScheme+key)
	}
	req.SetBodyRaw(body)
	if err := c.http.Do(req, resp); err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode(), string(resp.Body())
}

// run executes one command of a script. NODE and TARGET are indexes, JOB is the end of a job's identifier, and KEY is an API key, - for none.
func (c *cluster) run(command string, args []string) {
	c.Helper()
	switch command {
	case "submit": // NODE JOB SPEC COUNTxCPU...: submits a job until it is accepted; each COUNTxCPU is a step that depends on the one before, and commas in SPEC stand for spaces
		c.submit("/q/", "key", args)
	case "submitPublic": // NODE JOB SPEC COUNTxCPU...: the same through the public queue
		c.submit("/open/", "", args)
	case "state": // NODE JOB STATE: waits until the job has the state; fails if the job is unknown
		c.await(func() bool {
			status, body := c.call(atoi(args[0]), "GET", "/q/"+string(id(args[1])), "key", nil)
			if status == fasthttp.StatusGone {
				c.Fatalf("%s: job is unknown", c.line)
			}
			return status == fasthttp.StatusOK && body == `{"state":"`+args[2]+`"}`
		})
		if args[2] == "completed" {
			c.platform.Checker.JobCompleted(id(args[1]))
		}
	case "cancel": // NODE JOB: repeats the cancellation until it succeeds
		c.await(func() bool {
			status, _ := c.call(atoi(args[0]), "DELETE", "/q/"+string(id(args[1])), "key", nil)
			return status == fasthttp.StatusOK
		})
	case "status": // NODE METHOD PATH KEY STATUS [BODY]: repeats the call until the response has the HTTP status
		body := []byte(nil)
		if len(args) > 5 {
			body = []byte(args[5])
		}
		c.await(func() bool {
			status, _ := c.call(atoi(args[0]), args[1], args[2], strings.TrimPrefix(args[3], "-"), body)
			return status == atoi(args[4])
		})
	case "not": // NODE METHOD PATH KEY STATUS: makes one call and fails if the response has the HTTP status
		status, body := c.call(atoi(args[0]), args[1], args[2], strings.TrimPrefix(args[3], "-"), nil)
		if status == atoi(args[4]) {
			c.Fatalf("%s: got %d %s", c.line, status, body)
		}
	case "refused": // NODE JOB: repeats a submission until it is refused with 503; if every response was 503, no item of the job may start
		job := &work.Job{ID: id(args[1]), Spec: "run=10 cpu=1", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1, MemMB: 1}, EstimateMs: 10}}}
		c.platform.Checker.AddJob(job)
		body, err := stage.JobBody(job)
		c.is.NoErr(err)
		onlyRefusals := true
		c.await(func() bool {
			status, _ := c.call(atoi(args[0]), "POST", "/q/"+string(job.ID), "key", body)
			onlyRefusals = onlyRefusals && status == fasthttp.StatusServiceUnavailable
			return status == fasthttp.StatusServiceUnavailable
		})
		if onlyRefusals {
			c.platform.Checker.JobRefused(job.ID)
		}
	case "leave": // NODE: stops the agent gracefully
		c.nodes[atoi(args[0])].stop()
		c.is.NoErr(<-c.nodes[atoi(args[0])].done)
	case "crash": // TARGET: ends the target and its runs
		c.platform.Targets[atoi(args[0])].Crash()
	case "mute", "unmute": // TARGET: makes the target carry out orders but respond too late, or respond in time again
		c.platform.Targets[atoi(args[0])].SetUnresponsive(command == "mute")
	case "store": // healthy|busy|silent|lossy: makes the store work, reject all calls with 503, respond to none, or lose the response to every second write
		c.platform.Store.SetFault(map[string]stage.Fault{"healthy": stage.NoFault, "busy": stage.FaultOverloaded, "silent": stage.FaultNoResponse, "lossy": stage.FaultLostResponses}[args[0]])
	case "withdraw": // KEY: replaces the team's API key by a new configuration
		c.is.NoErr(c.platform.Configure(c.config(2, args[0])))
	case "odd": // KEY KIND: another writer leaves an odd entry among the targets, and repeats it with a higher seq until the test ends
		c.writeOdd(args[0], args[1])
	case "logged": // KEY NODE...: waits until one of the agents has logged the entry under the key; none may log it twice
		c.await(func() bool { return c.countLogged(args[0], args[1:]) > 0 })
		for n := range c.nodes {
			if c.countLogged(args[0], []string{strconv.Itoa(n)}) > 1 {
				c.Fatalf("%s: agent %d has logged the entry more than once", c.line, n)
			}
		}
	case "evacuate", "revoke": // ZONE: operators evacuate the zone, or take it into use again
		if command == "revoke" {
			c.platform.Revoke(args[0])
			break
		}
		c.platform.Evacuate(args[0])
	case "event": // KIND SUBJECT COUNT: waits until the agents have logged the event this often, all together
		c.await(func() bool { return c.countEvents(args[0], args[1]) >= atoi(args[2]) })
	case "startsInEvacuated": // ZONE COUNT: checks how many runs have started in the zone since its evacuation
		c.is.Equal(c.platform.Checker.StartsInEvacuated(args[0]), atoi(args[1])) // starts in the zone
	case "started": // COUNT: waits until at least this many runs have started
		c.await(func() bool { return c.platform.Checker.StartCount() >= atoi(args[0]) })
	default:
		c.Fatalf("%s: unknown command", c.line)
	}
}

// submit hands in a job through the queue with the prefix until it is accepted.
func (c *cluster) submit(prefix, key string, args []string) {
	c.Helper()
	job := &work.Job{ID: id(args[1]), Spec: strings.ReplaceAll(args[2], ",", " ")}
	for _, step := range args[3:] {
		count, cpu, _ := strings.Cut(step, "x")
		spec := work.Step{Count: atoi(count), Demand: work.Resources{CPU: int64(atoi(cpu)), MemMB: 1}, EstimateMs: 50, Serving: strings.Contains(args[2], "serving")}
		if n := len(job.Steps); n > 0 {
			spec.After = []int{n - 1}
		}
		job.Steps = append(job.Steps, spec)
	}
	c.platform.Checker.AddJob(job)
	body, err := stage.JobBody(job)
	c.is.NoErr(err)
	c.await(func() bool {
		status, _ := c.call(atoi(args[0]), "POST", prefix+string(job.ID), key, body)
		return status == fasthttp.StatusOK
	})
}

// oddEntries holds values of the entries that the script command odd leaves; SEQ is replaced by a number that rises.
var oddEntries = map[string]string{
	"deep":     `{"service":"pool","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"10.0.0.9:8080","state":"ready","seq":SEQ,"born":5,"capacity":{"cpu":1000,"mem_mb":1000},"labels":` + strings.Repeat("[", 10000) + strings.Repeat("]", 10000) + `}`,
	"large":    `{"service":"pool","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"10.0.0.9:8080","state":"ready","seq":SEQ,"born":5,"capacity":{"cpu":1e400,"mem_mb":99999999999999999999999},"labels":[]}`,
	"port":     `{"service":"pool","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"10.0.0.9:99999","state":"ready","seq":SEQ,"born":5,"capacity":{"cpu":1000,"mem_mb":1000},"labels":[]}`,
	"unnamed":  `{"service":"unnamed","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"ADDRESS","state":"ready","seq":SEQ,"born":8000000000000,"capacity":{"cpu":1000,"mem_mb":1000},"labels":[]}`,
	"notJSON":  `{"service":SEQ`,
	"claim":    `{"service":"pool","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"ADDRESS","state":"ready","seq":SEQ,"born":8000000000000,"capacity":{"cpu":1000,"mem_mb":1000},"labels":[]}`,
	"noFields": `{"seq":SEQ}`,
}

// oddInterval is how often an odd entry is repeated, more often than a target reports itself.
const oddInterval = 100 * time.Millisecond

// writeOdd leaves an odd entry and repeats it until the test ends. ADDRESS stands for the address of the first target.
func (c *cluster) writeOdd(key, kind string) {
	text, ok := oddEntries[kind]
	if !ok {
		c.Fatalf("%s: unknown kind", c.line)
	}
	text = strings.Replace(text, "ADDRESS", c.platform.Targets[0].Address(), 1)
	put := func(seq int) {
		c.platform.Store.Put("servers", key, []byte(strings.Replace(text, "SEQ", strconv.Itoa(seq), 1)))
	}
	put(0)
	ctx, stop := context.WithCancel(context.Background())
	c.Cleanup(stop)
	go func() {
		for seq := 1; ctx.Err() == nil; seq++ {
			time.Sleep(oddInterval)
			put(seq)
		}
	}()
}

// countLogged counts the lines about the entry under the key in the logs of the agents.
func (c *cluster) countLogged(key string, nodes []string) int {
	lines := 0
	for _, n := range nodes {
		for _, e := range c.nodes[atoi(n)].logs.All() {
			fields := e.ContextMap()
			if e.Message == "cannot decode an entry of a target" && fields["key"] == key || e.Message == "unnamedPool" && fields["subject"] == key {
				lines++
			}
		}
	}
	return lines
}

// countEvents counts the events of the kind about the subject in the logs of all agents.
func (c *cluster) countEvents(kind, subject string) int {
	lines := 0
	for _, n := range c.nodes {
		for _, e := range n.logs.FilterMessage(kind).All() {
			if e.ContextMap()["subject"] == subject {
				lines++
			}
		}
	}
	return lines
}

func id(text string) work.JobID { return work.JobID(fmt.Sprintf("%016s", text)) }

func atoi(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}
