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

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/logapi"
	"lavenderwing.example/lavenderwing/record"
)

const (
	// testToken is the operator's token, and testSecret the secret of every key in these tests.
	testToken  = "token"
	testSecret = "secret"
)

// testFleet is a simulated platform with two hosts of eight slots each, and two entry processes.
type testFleet struct {
	t        *testing.T
	platform *fake.Platform
	nodes    []*Node
	// stopNodes has, for each node, the function that starts its graceful stop.
	stopNodes []context.CancelFunc
	// ended receives, when a node's Run returns, the number of its requests that are still in flight.
	ended chan int64
	// endedSeen counts the values that tests have received from ended.
	endedSeen int
}

func freeAddress() string { return fake.LoopbackAddresses(1)[0] }

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	settings := fake.Settings{Listen: freeAddress(), RetainedEntries: 10000}
	for _, name := range []string{"proofs-1", "proofs-2"} {
		settings.Hosts = append(settings.Hosts, fake.HostSettings{
			Name: name, Pool: "proofs", Zone: "sibiu-a", Address: freeAddress(), Slots: 8, Connections: 64,
		})
	}
	f := &testFleet{t: t, platform: fake.New(settings)}
	if err := f.platform.Start(); err != nil {
		t.Fatal(err)
	}
	hash := sha256.Sum256([]byte(testToken))
	f.ended = make(chan int64, 2)
	for i := range 2 {
		s := DefaultSettings()
		s.Listen, s.Seat, s.Zone, s.PlatformAddress = freeAddress(), freeAddress(), "sibiu-a", settings.Listen
		s.Source = net.ParseIP(fmt.Sprintf("127.0.%d.1", 91+i))
		s.AppendInterval, s.MaxBodyBytes, s.Operators = minDuration, 1<<16, map[string][]byte{"op": hash[:]}
		platform := logapi.NewClient(settings.Listen, logapi.WithSourceIP(s.Source))
		n := New(s, platform, platform)
		ctx, stop := context.WithCancel(context.Background())
		f.nodes = append(f.nodes, n)
		f.stopNodes = append(f.stopNodes, stop)
		go func() {
			if err := n.Run(ctx); err != nil {
				t.Error(err)
			}
			f.ended <- n.inFlight.Load()
		}()
	}
	t.Cleanup(func() {
		for _, stop := range f.stopNodes {
			stop()
		}
		for range len(f.nodes) - f.endedSeen {
			<-f.ended
		}
		stopCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		f.platform.Stop(stopCtx)
	})
	f.configure(settings)
	return f
}

func (f *testFleet) configure(settings fake.Settings) {
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
	for _, n := range f.nodes {
		f.waitUntil("ready", n.ready)
	}
	if status, body := f.applyChange(change); status != fasthttp.StatusOK {
		f.t.Fatalf("configuration refused: %s", body)
	}
	for _, n := range f.nodes {
		f.waitUntil("configured", func() bool { return len(n.view().queues) == 2 })
	}
}

// waitUntil waits up to 30 s for a condition; the timeout is long, so that a slow machine does not fail the test.
func (f *testFleet) waitUntil(what string, done func() bool) {
	f.t.Helper()
	for range 3000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timed out while waiting until the state was: %s", what)
}

func (f *testFleet) applyChange(c record.Change) (int, string) {
	body, err := json.Marshal(c)
	if err != nil {
		f.t.Fatal(err)
	}
	status, reply, _ := f.post(f.nodes[0], ChangesPath, string(body), "Operator", "op", "Authorization", bearerPrefix+testToken)
	return status, reply
}

// post sends a request with headers given as pairs of name and value, and returns status, body and outcome.
func (f *testFleet) post(n *Node, path, body string, headers ...string) (int, string, string) {
	f.t.Helper()
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
		f.t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek(HeaderOutcome))
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

const (
	proofsPath = QueuesPath + "proofs" + RequestsPath
	testKey    = bearerPrefix + "bench." + testSecret
)

// TestEntryProcesses runs its parts in a fixed order on one fleet, because the last two end what the others need: they withdraw the key and stop a process.
func TestEntryProcesses(t *testing.T) {
	f := newTestFleet(t)
	for _, part := range []struct {
		name string
		run  func(is *is.I, f *testFleet)
	}{
		{"answer", testAnswer},
		{"repeat", testRepeatAtAnotherNode},
		{"error answer", testErrorAnswerIsNotRetried},
		{"concurrent claims", testConcurrentClaims},
		{"bad input", testInvalidRequests},
		{"operators' change", testOperatorChanges},
		{"key history", testKeyHistory},
		{"leaving host", testLeavingHost},
		{"cut off from the platform", testCutOffFromPlatform},
		{"withdrawn key", testWithdrawnKey},
		{"graceful stop", testGracefulStop},
	} {
		t.Run(part.name, func(t *testing.T) {
			f.t = t
			part.run(is.New(t), f)
			f.platform.SetFaults(fake.Faults{})
		})
	}
}

// testAnswer checks that a request through either process reaches a target with its identifier and payload, that the caller gets the target's answer, and that an open queue needs no key.
func testAnswer(is *is.I, f *testFleet) {
	for _, n := range f.nodes {
		id := newID()
		status, body, outcome := f.post(n, proofsPath, `{"runMs":1,"payload":"east wind"}`, "Authorization", testKey, HeaderRequestID, id)
		is.Equal(status, fasthttp.StatusOK)
		is.Equal(outcome, OutcomeAnswered)
		var result fake.ResponseBody
		is.NoErr(json.Unmarshal([]byte(body), &result))
		is.Equal(result.Request, id)
		is.Equal(result.Payload, "east wind")
	}
	status, _, _ := f.post(f.nodes[0], QueuesPath+"catalogue"+RequestsPath, `{}`, HeaderIdempotent, "true")
	is.Equal(status, fasthttp.StatusOK) // open queues need no key
}

// testRepeatAtAnotherNode checks that a non-idempotent request does not run again when its caller repeats it, also at another process. The repeat gets the kept answer, or an unknown outcome if there is none for it.
func testRepeatAtAnotherNode(is *is.I, f *testFleet) {
	id := newID()
	var first string
	for i := range 3 {
		_, body, outcome := f.post(f.nodes[i%2], proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderRequestID, id)
		is.Equal(outcome, OutcomeAnswered)
		if i == 0 {
			first = body
		}
		is.Equal(body, first)
	}
	is.Equal(f.platform.RunCounts([]string{id})[id], 1)
	// A request with the same identifier at the open queue belongs to another team, which must not get the answer; its outcome is unknown. So is that of a repeat after the process that sent the request has lost the answer.
	_, _, outcome := f.post(f.nodes[1], QueuesPath+"catalogue"+RequestsPath, `{"runMs":1}`, HeaderRequestID, id)
	is.Equal(outcome, OutcomeUnknown)
	f.nodes[0].answers.cache.Purge()
	_, _, outcome = f.post(f.nodes[1], proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderRequestID, id)
	is.Equal(outcome, OutcomeUnknown)
	is.Equal(f.platform.RunCounts([]string{id})[id], 1)
}

// testErrorAnswerIsNotRetried checks that a non-idempotent request is not retried after a target answered it with an error, because the target may have run it. The caller gets the target's answer.
func testErrorAnswerIsNotRetried(is *is.I, f *testFleet) {
	failing := fake.TargetFault{FailAll: true}
	f.platform.SetFaults(fake.Faults{Targets: map[string]fake.TargetFault{"proofs-1": failing, "proofs-2": failing}})
	id := newID()
	status, _, outcome := f.post(f.nodes[0], proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderRequestID, id)
	is.Equal(status, fasthttp.StatusInternalServerError)
	is.Equal(outcome, OutcomeAnswered)
	is.Equal(f.platform.RunCounts([]string{id})[id], 1)
}

// testInvalidRequests checks that a request without a valid key, identifier, timeout, queue, path or body size is refused with the matching reason, and that its outcome is notRun.
func testInvalidRequests(is *is.I, f *testFleet) {
	big := string(make([]byte, 1<<17))
	for _, c := range []struct {
		path, body, reason string
		status             int
		headers            []string
	}{
		{proofsPath, "{}", "noKey", 401, []string{HeaderIdempotent, "true"}},
		{proofsPath, "{}", "badKey", 401, []string{HeaderIdempotent, "true", "Authorization", bearerPrefix + "bench.wrong"}},
		{proofsPath, "{}", "badKey", 401, []string{HeaderIdempotent, "true", "Authorization", bearerPrefix + "nonsense"}},
		{proofsPath, "{}", "badRequestId", 400, []string{"Authorization", testKey}},
		{proofsPath, "{}", "badRequestId", 400, []string{"Authorization", testKey, HeaderRequestID, uuid.NewString()}},
		{proofsPath, "{}", "badTimeout", 400, []string{"Authorization", testKey, HeaderIdempotent, "true", HeaderTimeout, "-1"}},
		{QueuesPath + "none" + RequestsPath, "{}", "noSuchQueue", 404, nil},
		{"/elsewhere", "{}", "noSuchPath", 404, nil},
		{proofsPath, big, "bodyTooLarge", 413, []string{"Authorization", testKey, HeaderIdempotent, "true"}},
	} {
		status, body, outcome := f.post(f.nodes[0], c.path, c.body, c.headers...)
		var r refusal
		is.NoErr(json.Unmarshal([]byte(body), &r))
		is.Equal(r.Reason, c.reason)
		is.Equal(status, c.status)
		is.Equal(outcome, OutcomeNotRun)
	}
}

// testOperatorChanges checks that a change takes effect once, that a change from an outdated version, an invalid one and one without a valid token are refused, and that all problems of an invalid change are listed.
func testOperatorChanges(is *is.I, f *testFleet) {
	team := fleet.Team{Name: "schools", Partner: "sibiu", Share: 1, Limit: 4}
	status, _ := f.applyChange(record.Change{Puts: []record.Put{record.NewPut(team, 0)}})
	is.Equal(status, fasthttp.StatusOK)
	status, _ = f.applyChange(record.Change{Puts: []record.Put{record.NewPut(team, 0)}})
	is.Equal(status, fasthttp.StatusConflict)
	bad := fleet.Queue{Name: "q", Service: "none"}
	status, body := f.applyChange(record.Change{Puts: []record.Put{record.NewPut(bad, 0)}})
	is.Equal(status, fasthttp.StatusUnprocessableEntity)
	var reply ErrorReply
	is.NoErr(json.Unmarshal([]byte(body), &reply))
	is.Equal(len(reply.Reasons), 3) // unknown service, no maximum wait, no maximum depth
	status, _, _ = f.post(f.nodes[0], ChangesPath, "{}", "Operator", "op", "Authorization", bearerPrefix+"wrong")
	is.Equal(status, fasthttp.StatusUnauthorized)
}

// testWithdrawnKey checks that every process refuses requests under a key after the withdrawal, which it reads from the log.
func testWithdrawnKey(is *is.I, f *testFleet) {
	key, _ := f.nodes[0].state.Tables().Keys.Get("bench")
	status, _ := f.applyChange(record.Change{Puts: []record.Put{record.NewPut(key.WithWithdrawn(), key.RowVersion())}})
	is.Equal(status, fasthttp.StatusOK)
	for _, n := range f.nodes {
		f.waitUntil("withdrawn", func() bool { return n.view().keys["bench"].Withdrawn })
		status, _, outcome := f.post(n, proofsPath, `{}`, "Authorization", testKey, HeaderIdempotent, "true")
		is.Equal(status, fasthttp.StatusUnauthorized)
		is.Equal(outcome, OutcomeNotRun)
	}
}

// testCutOffFromPlatform partitions one process from the platform but not from its peer. Without relayed log entries, the process would go on accepting a withdrawn key, and would later refuse all keys because its state is too old. The withdrawal must reach it through the peer, and its state must stay fresh.
func testCutOffFromPlatform(is *is.I, f *testFleet) {
	key := fleet.KeyFromSecret("guest", "carvers", testSecret)
	status, _ := f.applyChange(record.Change{Puts: []record.Put{record.NewPut(key, 0)}})
	is.Equal(status, fasthttp.StatusOK)
	isolated := f.nodes[1]
	f.waitUntil("granted", func() bool { return isolated.view().keys["guest"].Name != "" })
	f.platform.SetFaults(fake.Faults{BlockedNetworks: []string{"127.0.92.0/24"}})
	granted, _ := f.nodes[0].state.Tables().Keys.Get("guest")
	status, _ = f.applyChange(record.Change{Puts: []record.Put{record.NewPut(granted.WithWithdrawn(), granted.RowVersion())}})
	is.Equal(status, fasthttp.StatusOK)
	f.waitUntil("withdrawn through the peer", func() bool { return isolated.view().keys["guest"].Withdrawn })
	status, _, _ = f.post(isolated, proofsPath, `{}`, "Authorization", bearerPrefix+"guest."+testSecret, HeaderIdempotent, "true")
	is.Equal(status, fasthttp.StatusUnauthorized)
	lastReadAt := isolated.stateTail.CaughtUpAt()
	f.waitUntil("fresh through the peer", func() bool { return time.Unix(0, isolated.peerFreshAt.Load()).After(lastReadAt) })
	// Requests under other keys are still served.
	status, _, _ = f.post(isolated, proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderIdempotent, "true")
	is.Equal(status, fasthttp.StatusOK)
}

// testLeavingHost lets the platform announce that it takes a host away. New requests on that host could be lost with it, so both processes must send them to the other host, and the timeline must give the reason for both.
func testLeavingHost(is *is.I, f *testFleet) {
	f.platform.SetFaults(fake.Faults{LeavingHosts: []string{"proofs-1"}})
	for _, n := range f.nodes {
		f.waitUntil("drained", func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.leavingHosts["proofs-1"]
		})
	}
	for i := range 20 {
		_, body, outcome := f.post(f.nodes[i%2], proofsPath, `{"runMs":1}`, "Authorization", testKey, HeaderIdempotent, "true")
		is.Equal(outcome, OutcomeAnswered)
		var result fake.ResponseBody
		is.NoErr(json.Unmarshal([]byte(body), &result))
		is.Equal(result.Target, "proofs-2")
	}
	status, body := f.get(f.nodes[0], TimelinePath+"?about=proofs-1")
	is.Equal(status, fasthttp.StatusOK)
	var timeline TimelineReply
	is.NoErr(json.Unmarshal([]byte(body), &timeline))
	processes := map[string]bool{}
	for _, e := range timeline.Events {
		processes[e.Process] = processes[e.Process] || e.Cause == "host list"
	}
	is.Equal(len(processes), 2) // the timeline has the reason from both processes
}

func (f *testFleet) get(n *Node, path string) (int, string) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + n.settings.Listen + path)
	req.Header.Set("Operator", "op")
	req.Header.Set("Authorization", bearerPrefix+testToken)
	if err := fasthttp.DoTimeout(req, resp, time.Minute); err != nil {
		f.t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body())
}

// testGracefulStop stops a process that has running and waiting requests. A process that ended too early would leave them without an answer, and one that did not leave the membership would keep its units of the team's limit from other processes.
func testGracefulStop(is *is.I, f *testFleet) {
	n := f.nodes[1]
	const requests = 24
	outcomes := make(chan string, requests)
	for range requests {
		go func() {
			_, _, outcome := f.post(n, QueuesPath+"catalogue"+RequestsPath, `{"runMs":1500}`, HeaderRequestID, newID())
			outcomes <- outcome
		}()
	}
	f.waitUntil("busy", func() bool { return n.inFlight.Load() == requests })
	f.stopNodes[1]()
	unanswered := <-f.ended
	f.endedSeen++
	is.Equal(unanswered, int64(0)) // the process must not end before its requests
	for range requests {
		is.Equal(<-outcomes, OutcomeAnswered)
	}
	f.waitUntil("left", func() bool {
		m, _ := f.nodes[0].state.Tables().Member(n.settings.Seat)
		return !m.Live
	})
	is.Equal(f.nodes[0].state.Tables().Ledger("carvers").Holding(n.settings.Seat).Units(), 0)
}
