package agent

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// startServer serves HTTP at the address until the test ends.
func startServer(t *testing.T, is *is.I, address string, handler fasthttp.RequestHandler) {
	listener, err := net.Listen("tcp4", address)
	is.NoErr(err)
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
}

// newestPage is the store's answer with the newest records of a partition, which ends after the last of them.
func newestPage(records ...platform.Record) string {
	items, end := []map[string]any{}, int64(0)
	for _, r := range records {
		items = append(items, map[string]any{"key": r.Key, "value": base64.StdEncoding.EncodeToString(r.Value), "offset": r.Offset})
		end = r.Offset + 1
	}
	body, err := json.Marshal(map[string]any{"items": items, "has_more": false, "end_offset": end})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// TestRecoveryReadsWhatPrecedesTheFence guards against lost records: the newest records are read while the fence is under way, and the predecessor may write until the fence is in force. What it wrote meanwhile, changed and deleted keys included, must be part of the recovered state.
func TestRecoveryReadsWhatPrecedesTheFence(t *testing.T) {
	is := is.New(t)
	address := fake.LoopbackAddresses(1)[0]
	startServer(t, is, address, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/log-newest":
			ctx.SetBodyString(newestPage(
				platform.Record{Key: "changed", Value: []byte("old"), Offset: 0},
				platform.Record{Key: "deleted", Value: []byte("old"), Offset: 1},
				platform.Record{Key: "kept", Value: []byte("old"), Offset: 2},
			))
		case "/log-read":
			is.Equal(string(ctx.QueryArgs().Peek("from")), "3") // the end of the first read
			ctx.SetBody(readPage(6,
				platform.Record{Key: "changed", Value: []byte("new")},
				platform.Record{Key: "deleted"},
				platform.Record{Key: "added", Value: []byte("new")},
			))
		default:
			ctx.SetBodyString(`{"offset":6,"end_offset":6}`)
		}
	})
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: address}})
	is.NoErr(err)
	h := newHolder(a, 2)
	records, err := h.fenceAndRead(h.progress, keepAll)
	is.NoErr(err)
	values := map[string]string{}
	for _, r := range records {
		values[r.Key] = string(r.Value)
	}
	is.Equal(values, map[string]string{"changed": "new", "kept": "old", "added": "new"})
}

// TestNewestRecordsAreNeverReplacedByOlderOnes guards against a state that goes backwards: pages of newest records are not a snapshot and may be newer than the records that are read from the end of the first page.
func TestNewestRecordsAreNeverReplacedByOlderOnes(t *testing.T) {
	is := is.New(t)
	merged := mergeRecords(
		[]platform.Record{{Key: "k", Value: []byte("newest"), Offset: 9}},
		[]platform.Record{{Key: "k", Value: []byte("older"), Offset: 5}},
	)
	is.Equal(len(merged), 1)
	is.Equal(string(merged[0].Value), "newest")
}

// TestNewHolderReadsWhatOperatorsWroteBeforeIt guards against a holder that was cut off from the store and schedules by a configuration that is no longer in force, or without a wave that operators have announced.
func TestNewHolderReadsWhatOperatorsWroteBeforeIt(t *testing.T) {
	is := is.New(t)
	p, err := stage.New(fake.LoopbackAddresses(2), "pool", 0, work.Resources{})
	is.NoErr(err)
	t.Cleanup(p.Close)
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: p.Store.Address}})
	is.NoErr(err)
	is.NoErr(p.Configure(&work.Config{Version: 1}))
	_, err = a.readOperators(0, storeTimeout)
	is.NoErr(err)
	is.Equal(a.configVersion(), int64(1))
	is.NoErr(p.Configure(&work.Config{Version: 2}))
	p.Store.Put("op", "wave/7", []byte(`{"wave":7,"machines":["m"],"deadline_s":20,"cap":1}`))
	h := newHolder(a, 1)
	a.active = h
	is.NoErr(h.recover())
	is.Equal(a.configVersion(), int64(2))
	is.Equal(h.table.WaveUpdates(), []sched.WaveUpdate{{Wave: 7}})
}

// TestSuccessorStartsNothingInEvacuatedZone guards against a start in a zone that operators evacuated while the process that takes over had not read the store, just before the former holder died: the successor has to know it before its first plan, and not by what it read earlier.
func TestSuccessorStartsNothingInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	p, err := stage.New(fake.LoopbackAddresses(2), "pool", 0, work.Resources{})
	is.NoErr(err)
	t.Cleanup(p.Close)
	a, err := New(work.Settings{
		Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2},
		Store: work.StoreLimits{Address: p.Store.Address}, Bounds: work.Bounds{EvacuationApply: 5 * time.Second},
	})
	is.NoErr(err)
	is.NoErr(p.Configure(&work.Config{
		Version: 1, Pools: []work.Pool{{Name: "pool"}},
		Queues: []work.Queue{{Name: "q", Pool: "pool", MaxAttempts: 1, SlackFactor: 20, FixedSlackMs: 60000}},
	}))
	p.Evacuate("left")
	_, err = a.readOperators(0, storeTimeout)
	is.NoErr(err)
	is.Equal(a.evacuations.Load().Zones(), []string{"left"})
	job, err := work.Encode(&work.Job{ID: "00000000000000a1", Queue: "q", Pool: "pool", AcceptedMs: time.Now().UnixMilli(), Steps: []work.Step{{Count: 3, Demand: work.Resources{CPU: 500, MemMB: 1}}}})
	is.NoErr(err)
	p.Store.Put(jobsTopic, "00000000000000a1", job)
	// What follows is written while the process does not read the store.
	p.Revoke("left")
	p.Evacuate("a")

	h := newHolder(a, 1)
	is.NoErr(h.recover())
	now := a.clock.Now()
	for _, zone := range []string{"a", "left"} {
		id := work.TargetID("i-" + zone)
		h.table.UpsertTarget(work.Target{ID: id, Pool: "pool", Address: "10.0.0.1:" + strconv.Itoa(len(zone)), Zone: zone, Capacity: work.Resources{CPU: 1000, MemMB: 100}}, now)
		h.table.RenewalAnswered(id, work.RenewalReply{ClockMs: 1}, 0, now, now)
	}
	h.table.Plan(now)
	batch, err := h.table.Flush(now)
	is.NoErr(err)
	is.Equal(len(batch.Orders), 2) // as many items as fit the target of the zone in use
	for _, o := range batch.Orders {
		is.Equal(sched.TargetOf(o), work.TargetID("i-left"))
	}
}

// TestEvacuationsFollowTheStore guards against evacuations that outlast their removal, or end too early, for a process whose offset has expired: it reads only the newest records, which lack a key that was removed.
func TestEvacuationsFollowTheStore(t *testing.T) {
	is := is.New(t)
	p, err := stage.New(fake.LoopbackAddresses(2), "pool", 0, work.Resources{})
	is.NoErr(err)
	t.Cleanup(p.Close)
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: p.Store.Address}})
	is.NoErr(err)
	read := func(from int64) []string {
		a.operatorOffset.Store(from)
		_, err := a.readOperators(0, storeTimeout)
		is.NoErr(err)
		return a.evacuations.Load().Zones()
	}
	p.Evacuate("a")
	p.Evacuate("b")
	is.Equal(read(0), []string{"a", "b"})
	p.Revoke("a")
	p.Evacuate("c")
	is.Equal(read(-1), []string{"b", "c"})
	is.Equal(read(0), []string{"b", "c"}) // the whole topic again
	p.Revoke("b")
	is.Equal(read(4), []string{"c"})
}

// TestJobStoredDirectlyDuringRecoveryKeepsItsProgress guards against items that run twice: the predecessor reads a job from a direct partition after the new holder has, and records its progress before the fence.
func TestJobStoredDirectlyDuringRecoveryKeepsItsProgress(t *testing.T) {
	is := is.New(t)
	const id = "00000000000000a1"
	job, err := work.Encode(&work.Job{ID: id, Queue: "q", Pool: "pool", Steps: []work.Step{{Count: 1}}})
	is.NoErr(err)
	progress, err := work.Encode(&work.JobProgress{State: work.Completed, Items: []work.ItemProgress{{Run: 1, Done: true}}})
	is.NoErr(err)
	address := fake.LoopbackAddresses(1)[0]
	directPart := strconv.Itoa(directFirstPartition + directIndex(id))
	startServer(t, is, address, func(ctx *fasthttp.RequestCtx) {
		topic, part := string(ctx.QueryArgs().Peek("topic")), string(ctx.QueryArgs().Peek("part"))
		switch {
		case string(ctx.Path()) == "/log-newest" && topic == "keyed.progress":
			ctx.SetBodyString(newestPage(platform.Record{Key: id, Value: progress}))
		case string(ctx.Path()) == "/log-newest":
			ctx.SetBodyString(newestPage())
		case string(ctx.Path()) == "/log-read" && topic == "keyed.jobs" && part == directPart:
			ctx.SetBody(readPage(1, platform.Record{Key: id, Value: job}))
		case string(ctx.Path()) == "/log-read":
			ctx.SetBody(readPage(0))
		default:
			ctx.SetBodyString(`{"offset":0,"end_offset":1}`)
		}
	})
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: address}})
	is.NoErr(err)
	h := newHolder(a, 2)
	is.NoErr(h.recover())
	_, state, known := h.table.Lookup(id)
	is.True(known)
	is.Equal(state, work.Completed)
	is.Equal(h.directOffsets[directIndex(id)], int64(1))
}

// readPage is the store's answer with records of a partition that ends at the given offset.
func readPage(end uint64, records ...platform.Record) []byte {
	body := binary.BigEndian.AppendUint64(nil, end)
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, r := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.Key)+len(r.Value)))
		body = append(append(append(body, byte(len(r.Key))), r.Key...), r.Value...)
	}
	return body
}
