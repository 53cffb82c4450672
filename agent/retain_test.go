package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/work"
)

// retentionTest is a store with jobs of some age, and a holder that recovers from it.
type retentionTest struct {
	*testing.T
	is     *is.I
	stage  *stage.Platform
	client *platform.StoreClient
	nowMs  int64
}

func newRetentionTest(t *testing.T) *retentionTest {
	r := &retentionTest{T: t, is: is.New(t), nowMs: time.Now().UnixMilli()}
	p, err := stage.New(fake.LoopbackAddresses(2), "pool", 0, work.Resources{})
	r.is.NoErr(err)
	t.Cleanup(p.Close)
	r.is.NoErr(p.Configure(&work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "pool", MaxAttempts: 1, SlackFactor: 1}}}))
	r.stage, r.client = p, platform.NewStoreClient(p.Store.Address)
	return r
}

// put stores a record; a nil record removes the key.
func (r *retentionTest) put(topic string, part int, key string, record any) {
	r.Helper()
	value := []byte(nil)
	if record != nil {
		var err error
		value, err = work.Encode(record)
		r.is.NoErr(err)
	}
	_, err := r.client.Append(topic, part, []platform.Record{{Key: key, Value: value}}, nil, time.Second)
	r.is.NoErr(err)
}

func (r *retentionTest) job(id string, acceptedAgo time.Duration) *work.Job {
	return &work.Job{ID: work.JobID(id), Queue: "q", Pool: "pool", Steps: []work.Step{{Count: 1}}, AcceptedMs: r.nowMs - acceptedAgo.Milliseconds()}
}

func (r *retentionTest) ended(ago time.Duration) *work.JobProgress {
	return &work.JobProgress{State: work.Completed, EndedMs: r.nowMs - ago.Milliseconds()}
}

// recover returns a holder of the epoch that has recovered from the store, and whose submissions are stored.
func (r *retentionTest) recover(epoch int64) *Holder {
	r.Helper()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: r.stage.Store.Address}, Bounds: work.Bounds{StatusRetention: 2 * time.Minute}})
	r.is.NoErr(err)
	h := newHolder(a, epoch)
	r.is.NoErr(h.recover())
	go h.intake.run()
	r.Cleanup(func() { h.depose("the test ends") })
	return h
}

// flush writes the table's next batch.
func (r *retentionTest) flush(h *Holder) {
	r.Helper()
	b, err := h.nextBatch()
	r.is.NoErr(err)
	if b == nil {
		return
	}
	r.is.NoErr(h.writeBatch(b))
	h.finishBatch(b, nil, h.agent.clock.Now())
}

// keys returns the number of keys in a partition.
func (r *retentionTest) keys(topic string, part int) int {
	r.Helper()
	records, _, err := r.client.ReadNewest(topic, part, time.Second)
	r.is.NoErr(err)
	return len(records)
}

const (
	longAgo = time.Hour
	lately  = time.Second
)

// TestRecoveryRemovesWhatAnEarlierVersionLeft guards against a holder that cannot take over, because it loads all jobs that ever were, and against a store that grows for ever.
func TestRecoveryRemovesWhatAnEarlierVersionLeft(t *testing.T) {
	r := newRetentionTest(t)
	const past = 1200
	for n := range past {
		id := fmt.Sprintf("%016x", 0xa000+n)
		part := holderPartition
		if n%10 == 0 {
			part = directFirstPartition + directIndex(work.JobID(id))
		}
		r.put(jobsTopic, part, id, r.job(id, longAgo))
		r.put(progressTopic, 0, id, r.ended(longAgo))
	}
	r.put(jobsTopic, holderPartition, "00000000000000b1", r.job("00000000000000b1", longAgo))
	r.put(jobsTopic, holderPartition, "00000000000000b2", r.job("00000000000000b2", lately))
	r.put(progressTopic, 0, "00000000000000b2", r.ended(lately))
	h := r.recover(1)
	r.is.True(h.table.Known("00000000000000b1"))  // it has not begun
	r.is.True(h.table.Known("00000000000000b2"))  // it has ended lately
	r.is.True(!h.table.Known("000000000000a000")) // it ended long ago
	r.is.Equal(h.table.CountExpired(h.agent.clock.Now()), past)
	for more := true; more; {
		var err error
		more, err = h.removeEnded()
		r.is.NoErr(err)
		r.flush(h)
	}
	r.is.Equal(h.table.CountExpired(h.agent.clock.Now()), 0)
	r.is.Equal(r.keys(jobsTopic, holderPartition), 2)
	r.is.Equal(r.keys(progressTopic, 0), 1)
	for n := range directPartitions {
		r.is.Equal(r.keys(jobsTopic, directFirstPartition+n), 0)
	}
}

// TestHalfRemovedJobIsNotTakenForNew guards against an ended job that runs again, because the holder that removed it ended between its own record and its progress.
func TestHalfRemovedJobIsNotTakenForNew(t *testing.T) {
	r := newRetentionTest(t)
	const whole, half, stale = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	r.put(progressTopic, 0, half, r.ended(longAgo))
	// Only one of the job's two records has been removed.
	r.put(progressTopic, 0, stale, r.ended(longAgo))
	r.put(jobsTopic, directFirstPartition+directIndex(stale), stale, r.job(stale, longAgo))
	// The removal of this one began by a clock that is ahead.
	r.put(progressTopic, 0, whole, r.ended(lately))
	h := r.recover(1)
	for _, id := range []work.JobID{whole, half, stale} {
		r.is.True(!h.table.Known(id))
		r.is.True(h.table.IsBeingRemoved(id))
	}
	_, err := h.removeEnded()
	r.is.NoErr(err)
	r.flush(h)
	r.is.Equal(r.keys(progressTopic, 0), 0)
	r.is.Equal(r.keys(jobsTopic, directFirstPartition+directIndex(stale)), 0)
	later := r.recover(2)
	for _, id := range []work.JobID{whole, half, stale} {
		r.is.True(!later.table.Known(id))
		r.is.True(!later.table.IsBeingRemoved(id))
	}
}

// TestSubmissionWaitsForTheRemovalOfAnEarlierJob guards against a job that is answered as accepted and removed with an earlier one of the same identifier.
func TestSubmissionWaitsForTheRemovalOfAnEarlierJob(t *testing.T) {
	r := newRetentionTest(t)
	const id = "00000000000000a1"
	r.put(jobsTopic, holderPartition, id, r.job(id, longAgo))
	r.put(progressTopic, 0, id, r.ended(longAgo))
	h := r.recover(1)
	value, err := work.Encode(r.job(id, 0))
	r.is.NoErr(err)
	request := mesh.Request{Kind: mesh.Submit, ID: id, Queue: "q", Job: value}
	reply := h.submit(request)
	r.is.Equal(reply.Outcome, mesh.NotDone)
	r.is.True(reply.RetryMs > 0)
	// Stored without the holder, the job is accepted once the earlier one has been removed.
	h.applyDirect(platform.Record{Key: id, Value: value})
	r.is.True(!h.table.Known(id))
	_, err = h.removeEnded()
	r.is.NoErr(err)
	r.flush(h)
	for range 200 {
		if h.lockedKnown(id) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.is.True(h.lockedKnown(id))
	r.is.Equal(r.keys(jobsTopic, holderPartition), 1)
	r.is.Equal(r.keys(progressTopic, 0), 0)
	r.is.Equal(h.submit(request).Outcome, mesh.Answered)
	r.is.True(r.recover(2).table.Known(id)) // the new job is stored
}

// lockedKnown reports whether the table knows the job.
func (h *Holder) lockedKnown(id work.JobID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Known(id)
}

// TestStaleHolderRemovesNothing guards against a paused holder whose removal reaches the store after its successor has accepted a job with the same identifier.
func TestStaleHolderRemovesNothing(t *testing.T) {
	r := newRetentionTest(t)
	const id = "00000000000000a1"
	r.put(jobsTopic, holderPartition, id, r.job(id, longAgo))
	r.put(progressTopic, 0, id, r.ended(longAgo))
	stale := r.recover(1)
	ids, _ := stale.table.RemovalCandidates(maxRemovals, stale.agent.clock.Now())
	successor := r.recover(2)
	_, err := successor.removeEnded()
	r.is.NoErr(err)
	r.flush(successor)
	value, err := work.Encode(r.job(id, 0))
	r.is.NoErr(err)
	r.is.Equal(successor.submit(mesh.Request{Kind: mesh.Submit, ID: id, Queue: "q", Job: value}).Outcome, mesh.Answered)
	r.is.True(stale.removeJobRecords(ids) != nil) // the store rejects the removal
	r.is.Equal(r.keys(jobsTopic, holderPartition), 1)
}

// TestJobRemovedDuringRecoveryIsNotTakenForNew guards against an ended job that runs again: the predecessor removes it after this holder has read the job's own record and before it reads its progress.
func TestJobRemovedDuringRecoveryIsNotTakenForNew(t *testing.T) {
	is := is.New(t)
	const id = "00000000000000a1"
	job, err := work.Encode(&work.Job{ID: id, Queue: "q", Pool: "pool", Steps: []work.Step{{Count: 1}}})
	is.NoErr(err)
	address := fake.LoopbackAddresses(1)[0]
	startServer(t, is, address, func(ctx *fasthttp.RequestCtx) {
		direct := string(ctx.QueryArgs().Peek("topic")) == "keyed.jobs" && string(ctx.QueryArgs().Peek("part")) == fmt.Sprint(directFirstPartition+directIndex(id))
		switch {
		case string(ctx.Path()) == "/log-newest" && direct:
			ctx.SetBodyString(newestPage(platform.Record{Key: id, Value: job}))
		case string(ctx.Path()) == "/log-newest":
			ctx.SetBodyString(newestPage())
		case string(ctx.Path()) == "/log-read" && direct:
			ctx.SetBody(readPage(2, platform.Record{Key: id}))
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
	is.True(!h.table.Known(id))
}

// TestRecordOfAKnownJobIsKept guards against a job that turns into another team's at the next takeover, because a process without a holder has stored that one under the same identifier.
func TestRecordOfAKnownJobIsKept(t *testing.T) {
	r := newRetentionTest(t)
	const id = "00000000000000a1"
	own, other := r.job(id, lately), r.job(id, 0)
	own.Team, other.Team = "own", "other"
	part := directFirstPartition + directIndex(id)
	r.put(jobsTopic, part, id, own)
	h := r.recover(1)
	r.put(jobsTopic, part, id, other)
	r.is.NoErr(h.readDirect(directIndex(id), 0))
	for range 200 {
		if r.keys(jobsTopic, holderPartition) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	team, _, known := r.recover(2).table.Origin(id)
	r.is.True(known)
	r.is.Equal(team, "own")
}
