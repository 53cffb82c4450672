package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/plat"
	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/stand"
)

const (
	testToken  = "token"
	testSecret = "secret"
)

// bench is a stand-in with two targets and two entry processes' worth of nodes.
type bench struct {
	t     *testing.T
	stand *stand.Platform
	nodes []*Node
	// stops ends each node gracefully.
	stops []context.CancelFunc
	// ended receives, for each node that ended, the requests that had no outcome then.
	ended chan int64
	// gone counts nodes that a test saw end.
	gone int
}

func freeAddress() string { return stand.LoopbackAddresses(1)[0] }

func newBench(t *testing.T) *bench {
	t.Helper()
	settings := stand.Settings{Listen: freeAddress(), RetainedEntries: 10000}
	for _, name := range []string{"proofs-1", "proofs-2"} {
		settings.Hosts = append(settings.Hosts, stand.HostSettings{
			Name: name, Pool: "proofs", Zone: "sibiu-a", Address: freeAddress(), Slots: 8, Connections: 64,
		})
	}
	b := &bench{t: t, stand: stand.New(settings)}
	if err := b.stand.Start(); err != nil {
		t.Fatal(err)
	}
	hash := sha256.Sum256([]byte(testToken))
	b.ended = make(chan int64, 2)
	for i := range 2 {
		s := DefaultSettings()
		s.Listen, s.Seat, s.Zone, s.PlatformAddress = freeAddress(), freeAddress(), "sibiu-a", settings.Listen
		s.Source = net.ParseIP(fmt.Sprintf("127.0.%d.1", 91+i))
		s.AppendInterval, s.MaxBodyBytes, s.Operators = shortest, 1<<16, map[string][]byte{"op": hash[:]}
		platform := plat.NewClient(settings.Listen, plat.WithSourceIP(s.Source))
		n := New(s, platform, platform)
		ctx, stop := context.WithCancel(context.Background())
		b.nodes = append(b.nodes, n)
		b.stops = append(b.stops, stop)
		go func() {
			if err := n.Run(ctx); err != nil {
				t.Error(err)
			}
			b.ended <- n.serving.Load()
		}()
	}
	t.Cleanup(func() {
		for _, stop := range b.stops {
			stop()
		}
		for range len(b.nodes) - b.gone {
			<-b.ended
		}
		wait, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		b.stand.Stop(wait)
	})
	b.configure(settings)
	return b
}

func (b *bench) configure(settings stand.Settings) {
	rows := []fleet.Row{
		fleet.Pool{Name: "proofs", Partner: "sibiu"},
		fleet.Service{Name: "proofs", Pool: "proofs", RunLimitMs: 2000},
		fleet.Queue{Name: "proofs", Service: "proofs", Urgent: true, MaxWaitMs: 20_000, MaxDepth: 50},
		fleet.Queue{Name: "catalogue", Service: "proofs", Open: true, MaxWaitMs: 20_000, MaxDepth: 50},
		fleet.Team{Name: "carvers", Partner: "sibiu", Share: 1, Limit: 8},
		fleet.KeyFromSecret("bench", "carvers", testSecret),
	}
	for _, h := range settings.Hosts {
		rows = append(rows, fleet.Host{Name: h.Name, Pool: h.Pool, Zone: h.Zone, Address: h.Address, Slots: h.Slots})
	}
	change := record.Change{}
	for _, row := range rows {
		change.Puts = append(change.Puts, record.NewPut(row, 0))
	}
	for _, n := range b.nodes {
		b.until("ready", n.ready)
	}
	if status, body := b.change(change); status != fasthttp.StatusOK {
		b.t.Fatalf("configuration refused: %s", body)
	}
	for _, n := range b.nodes {
		b.until("configured", func() bool { return len(n.view().queues) == 2 })
	}
}

// until waits for a condition, without judging how long it takes.
func (b *bench) until(what string, done func() bool) {
	b.t.Helper()
	for range 3000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatalf("never %s", what)
}

func (b *bench) change(c record.Change) (int, string) {
	body, err := json.Marshal(c)
	if err != nil {
		b.t.Fatal(err)
	}
	status, reply, _ := b.post(b.nodes[0], ChangesPath, string(body), "Operator", "op", "Authorization", bearer+testToken)
	return status, reply
}

// post sends a request with pairs of header names and values, and returns status, body and outcome.
func (b *bench) post(n *Node, path, body string, headers ...string) (int, string, string) {
	b.t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + n.settings.Listen + path)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, time.Minute); err != nil {
		b.t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek(HeaderOutcome))
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

const (
	proofsPath = QueuesPath + "proofs" + RequestsPath
	testKey    = bearer + "bench." + testSecret
)

// TestPath runs its parts in order, because the last ones take keys and processes away.
func TestPath(t *testing.T) {
	b := newBench(t)
	for _, part := range []struct {
		name string
		run  func(is *is.I, b *bench)
	}{
		{"answer", testAnswer},
		{"repeat", testRepeatAtAnotherNode},
		{"error answer", testErrorAnswerOfOnceRequest},
		{"bad input", testBadInput},
		{"operators' change", testOperators},
		{"key history", testKeyHistory},
		{"leaving host", testLeavingHost},
		{"cut off from the platform", testCutOff},
		{"withdrawn key", testWithdrawnKey},
		{"graceful stop", testGracefulStop},
	} {
		t.Run(part.name, func(t *testing.T) {
			b.t = t
			part.run(is.New(t), b)
			b.stand.SetFaults(stand.Faults{})
		})
	}
}

func testAnswer(is *is.I, b *bench) {
	for _, n := range b.nodes {
		id := newID()
		status, body, outcome := b.post(n, proofsPath, `{"runMs":1,"payload":"east wind"}`, "Authorization", testKey, HeaderRequestID, id)
		is.Equal(status, fasthttp.StatusOK)
		is.Equal(outcome, OutcomeAnswered)
		var result stand.ResponseBody
		is.NoErr(json.Unmarshal([]byte(body), &result))
		is.Equal(result.Request, id)
		is.Equal(result.Payload, "east wind")
	}
	status, _, _ := b.post(b.nodes[0], QueuesPath+"catalogue"+RequestsPath, `{}`, HeaderIdempotent, "true")
	is.Equal(status, fasthttp.StatusOK) // an open queue needs no key
}

func testRepeatAtAnotherNode(is *is.I, b *bench) {
	id := newID()
	var first string
	for i := range 3 {
		_, body, outcome := b.post(b.nodes[i%2], proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderRequestID, id)
		is.Equal(outcome, OutcomeAnswered)
		if i == 0 {
			first = body
		}
		is.Equal(body, first)
	}
	is.Equal(b.stand.RunCounts([]string{id})[id], 1)
	// Another team learns nothing of the answer, and a process that lost it says so.
	_, _, outcome := b.post(b.nodes[1], QueuesPath+"catalogue"+RequestsPath, `{"runMs":1}`, HeaderRequestID, id)
	is.Equal(outcome, OutcomeUnknown)
	b.nodes[0].answers.cache.Purge()
	_, _, outcome = b.post(b.nodes[1], proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderRequestID, id)
	is.Equal(outcome, OutcomeUnknown)
	is.Equal(b.stand.RunCounts([]string{id})[id], 1)
}

// testErrorAnswerOfOnceRequest covers a target's error answer to a request that must not be tried again.
func testErrorAnswerOfOnceRequest(is *is.I, b *bench) {
	failing := stand.TargetFault{FailAll: true}
	b.stand.SetFaults(stand.Faults{Targets: map[string]stand.TargetFault{"proofs-1": failing, "proofs-2": failing}})
	id := newID()
	status, _, outcome := b.post(b.nodes[0], proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderRequestID, id)
	is.Equal(status, fasthttp.StatusInternalServerError)
	is.Equal(outcome, OutcomeAnswered)
	is.Equal(b.stand.RunCounts([]string{id})[id], 1)
}

func testBadInput(is *is.I, b *bench) {
	big := string(make([]byte, 1<<17))
	for _, c := range []struct {
		path, body, reason string
		status             int
		headers            []string
	}{
		{proofsPath, "{}", "noKey", 401, []string{HeaderIdempotent, "true"}},
		{proofsPath, "{}", "badKey", 401, []string{HeaderIdempotent, "true", "Authorization", bearer + "bench.wrong"}},
		{proofsPath, "{}", "badKey", 401, []string{HeaderIdempotent, "true", "Authorization", bearer + "nonsense"}},
		{proofsPath, "{}", "badRequestId", 400, []string{"Authorization", testKey}},
		{proofsPath, "{}", "badRequestId", 400, []string{"Authorization", testKey, HeaderRequestID, uuid.NewString()}},
		{proofsPath, "{}", "badTimeout", 400, []string{"Authorization", testKey, HeaderIdempotent, "true", HeaderTimeout, "-1"}},
		{QueuesPath + "none" + RequestsPath, "{}", "noSuchQueue", 404, nil},
		{"/elsewhere", "{}", "noSuchPath", 404, nil},
		{proofsPath, big, "bodyTooLarge", 413, []string{"Authorization", testKey, HeaderIdempotent, "true"}},
	} {
		status, body, outcome := b.post(b.nodes[0], c.path, c.body, c.headers...)
		var r refusal
		is.NoErr(json.Unmarshal([]byte(body), &r))
		is.Equal(r.Reason, c.reason)
		is.Equal(status, c.status)
		is.Equal(outcome, OutcomeNotRun)
	}
}

func testOperators(is *is.I, b *bench) {
	team := fleet.Team{Name: "schools", Partner: "sibiu", Share: 1, Limit: 4}
	status, _ := b.change(record.Change{Puts: []record.Put{record.NewPut(team, 0)}})
	is.Equal(status, fasthttp.StatusOK)
	status, _ = b.change(record.Change{Puts: []record.Put{record.NewPut(team, 0)}})
	is.Equal(status, fasthttp.StatusConflict)
	bad := fleet.Queue{Name: "q", Service: "none"}
	status, body := b.change(record.Change{Puts: []record.Put{record.NewPut(bad, 0)}})
	is.Equal(status, fasthttp.StatusUnprocessableEntity)
	var reply ErrorReply
	is.NoErr(json.Unmarshal([]byte(body), &reply))
	is.Equal(len(reply.Reasons), 3) // no such service, no wait, no depth
	status, _, _ = b.post(b.nodes[0], ChangesPath, "{}", "Operator", "op", "Authorization", bearer+"wrong")
	is.Equal(status, fasthttp.StatusUnauthorized)
}

func testWithdrawnKey(is *is.I, b *bench) {
	key, _ := b.nodes[0].state.Tables().Keys.Get("bench")
	status, _ := b.change(record.Change{Puts: []record.Put{record.NewPut(key.WithWithdrawn(), key.RowVersion())}})
	is.Equal(status, fasthttp.StatusOK)
	for _, n := range b.nodes {
		b.until("withdrawn", func() bool { return n.view().keys["bench"].Withdrawn })
		status, _, outcome := b.post(n, proofsPath, `{}`, "Authorization", testKey, HeaderIdempotent, "true")
		is.Equal(status, fasthttp.StatusUnauthorized)
		is.Equal(outcome, OutcomeNotRun)
	}
}

// testCutOff cuts one process off from the platform alone: a change reaches it through its peer, and it stays fresh.
func testCutOff(is *is.I, b *bench) {
	key := fleet.KeyFromSecret("guest", "carvers", testSecret)
	status, _ := b.change(record.Change{Puts: []record.Put{record.NewPut(key, 0)}})
	is.Equal(status, fasthttp.StatusOK)
	cut := b.nodes[1]
	b.until("granted", func() bool { return cut.view().keys["guest"].Name != "" })
	b.stand.SetFaults(stand.Faults{BlockedNetworks: []string{"127.0.92.0/24"}})
	granted, _ := b.nodes[0].state.Tables().Keys.Get("guest")
	status, _ = b.change(record.Change{Puts: []record.Put{record.NewPut(granted.WithWithdrawn(), granted.RowVersion())}})
	is.Equal(status, fasthttp.StatusOK)
	b.until("withdrawn through the peer", func() bool { return cut.view().keys["guest"].Withdrawn })
	status, _, _ = b.post(cut, proofsPath, `{}`, "Authorization", bearer+"guest."+testSecret, HeaderIdempotent, "true")
	is.Equal(status, fasthttp.StatusUnauthorized)
	behind := cut.stateTail.CaughtUpAt()
	b.until("fresh through the peer", func() bool { return time.Unix(0, cut.toldFresh.Load()).After(behind) })
	// Work under other keys goes on.
	status, _, _ = b.post(cut, proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderIdempotent, "true")
	is.Equal(status, fasthttp.StatusOK)
}

// testLeavingHost has the platform announce that a host leaves: it gets no new work, and the time line of any process says why.
func testLeavingHost(is *is.I, b *bench) {
	b.stand.SetFaults(stand.Faults{LeavingHosts: []string{"proofs-1"}})
	for _, n := range b.nodes {
		b.until("drained", func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.leaving["proofs-1"]
		})
	}
	for i := range 20 {
		_, body, outcome := b.post(b.nodes[i%2], proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderIdempotent, "true")
		is.Equal(outcome, OutcomeAnswered)
		var result stand.ResponseBody
		is.NoErr(json.Unmarshal([]byte(body), &result))
		is.Equal(result.Target, "proofs-2")
	}
	status, body := b.get(b.nodes[0], TimelinePath+"?about=proofs-1")
	is.Equal(status, fasthttp.StatusOK)
	var line TimelineReply
	is.NoErr(json.Unmarshal([]byte(body), &line))
	processes := map[string]bool{}
	for _, e := range line.Events {
		processes[e.Process] = processes[e.Process] || e.Cause == "host list"
	}
	is.Equal(len(processes), 2) // both processes tell why
}

func (b *bench) get(n *Node, path string) (int, string) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + n.settings.Listen + path)
	req.Header.Set("Operator", "op")
	req.Header.Set("Authorization", bearer+testToken)
	if err := fasthttp.DoTimeout(req, resp, time.Minute); err != nil {
		b.t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body())
}

// testGracefulStop stops a process while requests run and wait there: each is finished, and its units go to the others.
func testGracefulStop(is *is.I, b *bench) {
	n := b.nodes[1]
	const requests = 24
	outcomes := make(chan string, requests)
	for range requests {
		go func() {
			_, _, outcome := b.post(n, QueuesPath+"catalogue"+RequestsPath, `{"runMs":1500}`, HeaderRequestID, newID())
			outcomes <- outcome
		}()
	}
	b.until("busy", func() bool { return n.serving.Load() == requests })
	b.stops[1]()
	cut := <-b.ended
	b.gone++
	is.Equal(cut, int64(0)) // a process that ends any earlier cuts requests
	for range requests {
		is.Equal(<-outcomes, OutcomeAnswered)
	}
	b.until("left", func() bool {
		m, _ := b.nodes[0].state.Tables().Member(n.settings.Seat)
		return !m.Live
	})
	is.Equal(b.nodes[0].state.Tables().Ledger("carvers").Holding(n.settings.Seat).Units(), 0)
}
