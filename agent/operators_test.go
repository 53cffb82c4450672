package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// writtenTwice is what operators write in the order of its offsets: a wave that gets two more hosts and loses one, another one with other limits, and two versions of a configuration, of which the second is written again and then replaced by an earlier one.
func writtenTwice(is *is.I) []platform.Update {
	wave := func(offset, number int64, atOnce int, hosts ...string) platform.Update {
		return platform.WaveUpdate{Wave: work.Wave{Number: number, Hosts: hosts, DeadlineS: 20, MaxConcurrent: atOnce, Offset: offset}}
	}
	config := func(offset, version int64, body int) platform.Update {
		raw := fmt.Appendf(nil, `{"version":%d,"limits":{"max_body_bytes":%d}}`, version, body)
		c, err := platform.DecodeConfig(raw)
		is.NoErr(err)
		return platform.ConfigUpdate{Config: c, Raw: raw, Offset: offset}
	}
	return []platform.Update{
		wave(0, 1, 4, "m0", "m1"), wave(1, 2, 1, "m5", "m6"), config(2, 1, 10), wave(3, 1, 4, "m1", "m2", "m3"),
		config(4, 2, 20), wave(5, 2, 2, "m5", "m6"), config(6, 2, 30), config(7, 1, 40),
	}
}

// ordersOf returns the hosts that the holder orders into maintenance at once, a limit of the configuration in force, and whether the table has that configuration.
func ordersOf(is *is.I, a *Agent, h *Holder) string {
	var hosts []work.Host
	for n := range 8 {
		hosts = append(hosts, work.Host{Name: fmt.Sprintf("m%d", n), Pool: "p", State: work.HostUp})
	}
	now := time.Minute
	h.table.ApplyHostList(hosts, now, now)
	h.table.Plan(now)
	b, err := h.table.Flush(now)
	is.NoErr(err)
	var ordered []string
	for _, o := range b.HostOrders {
		ordered = append(ordered, fmt.Sprintf("%s/%d", o.Host, o.Wave))
	}
	slices.Sort(ordered)
	known := !h.table.Configure(a.config.Load().config)
	return fmt.Sprintf("%v body=%d known=%t", ordered, a.config.Load().config.MaxBodyBytes, known)
}

// takeOver has the agent's process become the holder, with what it has read as a follower.
func takeOver(a *Agent) *Holder {
	h := newHolder(a, 2)
	if c := a.config.Load(); c != nil {
		h.table.Configure(c.config)
	}
	waves, since := a.wavesRead()
	for number, w := range waves {
		h.table.AddWave(w, since[number])
	}
	return h
}

// TestRecordsWrittenAgainCountAlike guards against a successor that schedules by an earlier record of operators than the holder before it: a follower kept the first record of a wave, and the wave was completed without the hosts that were added.
// Holder, follower that takes over, and process that reads only the newest records come to the same, in whatever order overlapping reads bring the records.
func TestRecordsWrittenAgainCountAlike(t *testing.T) {
	is := is.New(t)
	updates := writtenTwice(is)
	const want = "[m1/1 m2/1 m3/1 m5/2 m6/2] body=30 known=true"
	for seed := range 200 {
		order := slices.Clone(updates)
		for n := range order {
			// A fixed sequence of swaps for each seed.
			other := (n*7 + seed*(n+3)) % len(order)
			order[n], order[other] = order[other], order[n]
		}
		order = append(order, order[seed%len(order)])
		a, holder := newTestAgent(t)
		a.active = holder
		for _, u := range order {
			a.applyOperatorUpdate(u)
		}
		is.Equal(ordersOf(is, a, holder), want) // holder
		follower, _ := newTestAgent(t)
		for _, u := range order {
			follower.applyOperatorUpdate(u)
		}
		is.Equal(ordersOf(is, follower, takeOver(follower)), want) // follower that takes over
		half, _ := newTestAgent(t)
		for n, u := range order {
			if n == len(order)/2 {
				half.active = takeOver(half)
			}
			half.applyOperatorUpdate(u)
		}
		is.Equal(ordersOf(is, half, half.active), want) // successor that reads on
	}
}

// TestWaveThatGrewIsReadFromTheStore guards against records of a wave that lose their order on the way from the store.
func TestWaveThatGrewIsReadFromTheStore(t *testing.T) {
	is := is.New(t)
	p, err := stage.New(fake.LoopbackAddresses(2), "pool", 0, work.Resources{})
	is.NoErr(err)
	t.Cleanup(p.Close)
	is.NoErr(p.Configure(&work.Config{Version: 1}))
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: p.Store.Address}})
	is.NoErr(err)
	for _, hosts := range []string{`"m0"`, `"m0","m1"`, `"m0","m1","m2"`} {
		p.Store.Put("op", "wave/7", []byte(`{"wave":7,"machines":[`+hosts+`],"deadline_s":20,"cap":3}`))
		_, err = a.readOperators(0, storeTimeout)
		is.NoErr(err)
	}
	is.Equal(a.waves[7].Hosts, []string{"m0", "m1", "m2"})
	p.Store.Put("op", "wave/7", []byte(`{"wave":7,"machines":["m0","m1","m2","m3"],"deadline_s":20,"cap":3}`))
	h := newHolder(a, 1)
	a.active = h
	is.NoErr(h.recover())
	is.Equal(a.waves[7].Hosts, []string{"m0", "m1", "m2", "m3"})
	is.Equal(h.table.WaveUpdates(), []sched.WaveUpdate{{Wave: 7}})
}
