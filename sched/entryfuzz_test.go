package sched

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

const (
	// ownAddress is the address of the target that runs an item in FuzzTargetEntry, ownStartMs its start, and idleAddress the address of another one, which is idle.
	ownAddress  = "10.0.0.9:8080"
	ownStartMs  = 1000
	idleAddress = "10.0.0.8:8080"
)

// oddTargetEntries returns entries that contradict the target at ownAddress: each field missing, null, of another type or out of range, and sound entries that differ in what they claim.
func oddTargetEntries() [][]byte {
	sound := map[string]any{
		"service": "p", "address": ownAddress, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": 9000, "mem_mb": 1000, "gpus": 0}, "labels": []string{"a", "r1"}, "seq": 7, "born": ownStartMs,
	}
	var entries [][]byte
	add := func(e map[string]any) {
		// All values can be encoded.
		b, _ := json.Marshal(e)
		entries = append(entries, b)
	}
	for _, born := range []any{ownStartMs, ownStartMs + 1, ownStartMs - 1, int64(1 << 42)} {
		for _, address := range []any{ownAddress, idleAddress, "10.0.0.7:8080"} {
			for _, state := range []any{"ready", "draining"} {
				claim := maps.Clone(sound)
				claim["born"], claim["address"], claim["state"] = born, address, state
				add(claim)
			}
		}
		for name := range sound {
			odd := maps.Clone(sound)
			odd["born"] = born
			delete(odd, name)
			add(odd)
			for _, value := range []any{nil, "", "x", -1, 1.5, 1e300, true, []any{1}, map[string]any{}} {
				odd[name] = value
				add(odd)
			}
		}
	}
	return entries
}

// FuzzTargetEntry guards against an entry of another writer, under any key, that ends a live target, so that what runs there starts a second time: an entry with fields missing made the target whose address it gave count as gone.
// Whatever the entry says, the item stays on its target while that one answers, and is not started again; afterwards both targets are used.
func FuzzTargetEntry(f *testing.F) {
	for _, b := range oddTargetEntries() {
		for key := range uint8(3) {
			f.Add(key, b)
		}
	}
	f.Fuzz(func(t *testing.T, key uint8, body []byte) {
		w, err := platform.DecodeTarget([]work.TargetID{"agent", "own", "idle"}[key%3], body)
		if err != nil {
			return
		}
		s := newEntryScene()
		for round := range 4 {
			s.table.UpsertTarget(w, s.now)
			s.step()
			if it := s.item(1); it.state != itemOrdered || it.run != 1 || it.target.ID != "own" {
				t.Fatalf("round %d: the item is no longer on its target, state %d, run %d", round, it.state, it.run)
			}
			if w.Capacity.CPU < 1000 {
				return
			}
		}
		if len(s.starts) != 1 {
			t.Fatalf("starts: %+v", s.starts)
		}
		s.report()
		s.table.Accept(&work.Job{ID: "0000000000000002", Queue: "q", Steps: []work.Step{{Count: 2, Demand: work.Resources{CPU: 1000, MemMB: 1}}}}, s.now)
		for range 5 {
			s.step()
			s.report()
		}
		if len(s.starts) != 3 {
			t.Fatalf("the targets are not used on, starts: %+v", s.starts)
		}
	})
}

// entryScene is a table with two live targets, which answer only to their own names at their own addresses.
type entryScene struct {
	table  *Table
	now    time.Duration
	starts []StartOrder
	// running holds the runs that have been started.
	running []work.ActiveRun
}

// newEntryScene returns a scene in which the target own runs the item of job 1.
func newEntryScene() *entryScene {
	s := &entryScene{table: New(testBounds()), now: time.Second}
	s.table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", MaxAttempts: 2, SlackFactor: 2}}})
	s.table.UpsertTarget(s.entry("own"), s.now)
	s.answer()
	s.table.Accept(&work.Job{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1000, MemMB: 1}}}}, s.now)
	s.step()
	s.report()
	s.answer()
	return s
}

func (s *entryScene) item(job int) *item {
	return s.table.findItem(work.ItemID{Job: []work.JobID{"", "0000000000000001", "0000000000000002"}[job]})
}

func (s *entryScene) entry(id work.TargetID) work.Target {
	address := map[work.TargetID]string{"own": ownAddress, "idle": idleAddress}[id]
	return work.Target{ID: id, Pool: "p", Address: address, Zone: "z", Capacity: work.Resources{CPU: 2000, MemMB: 1000}, StartedMs: ownStartMs}
}

// report applies the targets' own entries.
func (s *entryScene) report() {
	for _, id := range []work.TargetID{"own", "idle"} {
		s.table.UpsertTarget(s.entry(id), s.now)
	}
}

// step plans, records and carries out what the table orders, and calls the targets that it names.
func (s *entryScene) step() {
	s.now += 3 * time.Second
	s.answer()
	s.table.Plan(s.now)
	b, err := s.table.Flush(s.now)
	if err != nil {
		panic(err)
	}
	s.table.Flushed(b)
	for _, o := range append(s.table.TakeOrders(), b.Orders...) {
		start, ok := o.(StartOrder)
		if !ok {
			continue
		}
		start, ok = s.table.PrepareStart(start, s.now)
		if !ok {
			continue
		}
		s.starts = append(s.starts, start)
		s.running = append(s.running, work.ActiveRun{Item: start.Start.Item, Run: start.Start.Run, Percent: 100})
		s.table.StartAnswered(start, work.OrderReply{ClockMs: s.now.Milliseconds()}, s.now)
	}
	s.answer()
}

// answer renews the lease of each target at the address that the table has for it. A target of another name than the one there is told so, and at other addresses there is no answer.
func (s *entryScene) answer() {
	for _, w := range s.table.Targets() {
		r := s.table.PrepareRenewal(w.ID, s.now)
		sent := s.now
		s.now += time.Millisecond
		owner := map[string]work.TargetID{ownAddress: "own", idleAddress: "idle"}[w.Address]
		switch owner {
		case "":
			s.table.CallUnanswered(w.ID, s.now)
		case w.ID:
			reply := work.RenewalReply{ClockMs: s.now.Milliseconds(), StartedMs: ownStartMs}
			for _, run := range s.running {
				if it := s.table.findItem(run.Item); it != nil && it.target != nil && it.target.ID == w.ID {
					reply.Running = append(reply.Running, run)
				}
			}
			s.table.RenewalAnswered(w.ID, reply, r.AcknowledgedEnd, sent, s.now)
		default:
			s.table.RenewalAnswered(w.ID, work.RenewalReply{Status: work.OrderWrongTarget}, r.AcknowledgedEnd, sent, s.now)
		}
	}
}
