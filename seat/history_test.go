package seat

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

const (
	worldStep  = 50 * time.Millisecond
	worldTime  = 90 * time.Second
	leaseTime  = 3 * time.Second
	longestRun = 2 * time.Second
	worldTeam  = "carvers"
)

// world is a virtual fleet: one log, some entry processes with clocks of their own, and the runs that targets see.
type world struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	entries []record.Batch
	down    bool
	procs   []*proc
	runs    []*run
	limit   int
	peak    int
	started int
	// calm worlds have only the failures that a test causes itself.
	calm bool
}

// run is one request on a target, which goes on when its sender dies.
type run struct {
	owner *proc
	ends  time.Time
}

// proc is one entry process, driven as the real one drives its keeper.
type proc struct {
	w       *world
	place   Identity
	drift   float64
	offset  time.Duration
	writer  string
	keeper  *Session
	tables  fold.Tables
	read    int
	pending []submitted
	batch   *record.Batch
	sent    []submitted
	seq     uint64
	paused  time.Time
	cut     bool
	dead    time.Time
	admit   int
	waiting int
	starts  int
}

type submitted struct {
	record record.Record
	done   func(error)
}

func newWorld(t *testing.T, seed uint64, limit int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_800_000_000, 0), limit: limit}
	w.entries = append(w.entries, record.Batch{Writer: "operator", Sequence: 1, Records: []record.Record{
		record.Change{Puts: []record.Put{record.NewPut(fleet.Team{Name: worldTeam, Partner: "sibiu", Share: 1, Limit: limit}, 0)}},
	}})
	for i := range 5 {
		p := &proc{w: w, place: Identity{Seat: fmt.Sprintf("seat%d", i), Zone: fmt.Sprintf("z%d", i%3)}}
		p.drift = 1 + (w.random.Float64()-0.5)*2*driftPercent/100/2
		p.offset = time.Duration(w.random.IntN(1000)) * time.Hour
		w.procs = append(w.procs, p)
		p.restart()
	}
	return w
}

func (p *proc) restart() {
	p.starts++
	p.writer = fmt.Sprintf("%s-%d", p.place.Seat, p.starts)
	incarnations := 0
	p.keeper = New(p.place, leaseTime, p.writer, func() string {
		incarnations++
		return fmt.Sprintf("%s.%d", p.writer, incarnations)
	})
	p.tables, p.read, p.seq, p.admit, p.waiting = fold.New(), 0, 0, 0, 0
	p.pending, p.batch, p.sent = nil, nil, nil
	p.dead = time.Time{}
}

// local is the process's own clock.
func (p *proc) local() time.Time {
	since := p.w.now.Sub(time.Unix(1_800_000_000, 0))
	return time.Unix(1_900_000_000, 0).Add(p.offset + time.Duration(float64(since)*p.drift))
}

func (p *proc) submit(r record.Record, done func(error)) {
	p.pending = append(p.pending, submitted{record: r, done: done})
}

// talk reads and writes the log, whose answers may be lost and whose appends may be repeated.
func (p *proc) talk() bool {
	if p.cut || p.w.down {
		return false
	}
	if p.batch == nil && len(p.pending) > 0 {
		p.seq++
		p.batch = &record.Batch{Writer: p.writer, Sequence: p.seq}
		for _, s := range p.pending {
			p.batch.Records = append(p.batch.Records, s.record)
		}
		p.sent, p.pending = p.pending, nil
	}
	if p.batch != nil {
		p.w.entries = append(p.w.entries, *p.batch)
	}
	if p.w.random.IntN(10) == 0 {
		return false
	}
	for ; p.read < len(p.w.entries); p.read++ {
		b := p.w.entries[p.read]
		fresh := b.Sequence > p.tables.LastSequence(b.Writer)
		var errs []error
		p.tables, errs = p.tables.Apply(int64(p.read+1), b)
		if fresh && b.Writer == p.writer {
			sent := p.sent
			p.batch, p.sent = nil, nil
			for i, s := range sent {
				s.done(errs[i])
			}
		}
	}
	return true
}

func (p *proc) running() int {
	n := p.admit
	for _, r := range p.w.runs {
		if r.owner == p {
			n++
		}
	}
	return n
}

// send starts what was admitted if it may still be sent, as entry processes check right before each send.
func (p *proc) send() {
	for ; p.admit > 0; p.admit-- {
		if !p.keeper.LeaseValid(p.local()) && p.running() > p.keeper.UsableSlots(p.tables, worldTeam, longestRun, p.local()) {
			continue
		}
		length := time.Duration(p.w.random.Int64N(int64(longestRun)))
		p.w.runs = append(p.w.runs, &run{owner: p, ends: p.w.now.Add(length)})
		p.w.started++
	}
}

func (p *proc) step() {
	p.send()
	fresh := p.talk()
	now := p.local()
	if r := p.keeper.LeaseRecord(p.tables, now); r != nil {
		p.submit(r, func(err error) { p.keeper.LeaseRecordDone(now, err) })
	}
	if fresh {
		for _, r := range p.keeper.ExpireRecords(p.tables, longestRun, now) {
			p.submit(r, func(error) {})
		}
	}
	usable := p.keeper.UsableSlots(p.tables, worldTeam, longestRun, now)
	p.waiting = min(p.waiting+p.w.random.IntN(4), 12)
	for p.waiting > 0 && p.running() < usable {
		p.waiting--
		p.admit++
	}
	for _, r := range p.keeper.UnitRecords(worldTeam, p.running(), p.waiting, longestRun, now) {
		p.submit(r, func(error) { p.keeper.UnitRecordDone(r) })
	}
}

// disturb lets things fail: processes die, pause or are cut off, and the log has outages.
func (w *world) disturb() {
	if w.random.IntN(200) == 0 {
		w.down = !w.down
	}
	for _, p := range w.procs {
		switch w.random.IntN(300) {
		case 0:
			p.dead = w.now.Add(time.Duration(w.random.IntN(8000)) * time.Millisecond)
			for _, r := range w.runs {
				if r.owner == p {
					// The runs of a dead process end on their targets, unknown to its successor.
					r.owner = nil
				}
			}
		case 1:
			p.paused = w.now.Add(time.Duration(w.random.IntN(30000)) * time.Millisecond)
		case 2, 3:
			p.cut = !p.cut
		case 4:
			p.stop()
		}
	}
}

// stop ends a process gracefully if nothing of it runs.
func (p *proc) stop() {
	if !p.dead.IsZero() || p.w.now.Before(p.paused) || p.running() > 0 || p.batch != nil {
		return
	}
	if r := p.keeper.LeaveRecord(longestRun, p.local()); r != nil {
		p.submit(r, func(error) {})
		p.talk()
	}
	p.dead = p.w.now.Add(worldStep)
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	if !w.calm {
		w.disturb()
	}
	kept := w.runs[:0]
	for _, r := range w.runs {
		if w.now.Before(r.ends) {
			kept = append(kept, r)
		}
	}
	w.runs = kept
	for _, i := range w.random.Perm(len(w.procs)) {
		p := w.procs[i]
		if !p.dead.IsZero() {
			if w.now.After(p.dead) {
				p.restart()
			}
			continue
		}
		if w.now.After(p.paused) {
			p.step()
		}
	}
	w.peak = max(w.peak, len(w.runs))
	if len(w.runs) > w.limit {
		w.t.Fatalf("%d run at once, the limit is %d", len(w.runs), w.limit)
	}
}

// TestLimitHoldsUnderFailures runs many seeds of a virtual fleet whose processes die, pause and are cut off while the log fails.
func TestLimitHoldsUnderFailures(t *testing.T) {
	peak, started := 0, 0
	for seed := range uint64(120) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			w := newWorld(t, seed, 6+int(seed%20))
			for range worldTime / worldStep {
				w.step()
			}
			peak = max(peak, w.peak*100/w.limit)
			started += w.started
		})
	}
	t.Logf("%d runs started, highest peak %d%% of the limit", started, peak)
	if peak < 100 {
		t.Fatalf("the limit was never reached, so that the check says nothing")
	}
}

// TestPauseWithRequestsInHand freezes a process between the admission of requests and their sending, until others hold its units.
func TestPauseWithRequestsInHand(t *testing.T) {
	w := newWorld(t, 1, 40)
	w.calm = true
	p := w.procs[0]
	for range 5 * time.Second / worldStep {
		w.step()
	}
	// Requests beyond the floor are in hand when the process freezes.
	for p.running() < p.keeper.UsableSlots(p.tables, worldTeam, longestRun, p.local()) {
		p.admit++
	}
	p.admit += len(w.runsOf(p))
	w.runs = w.others(p)
	if floor := p.keeper.of(worldTeam).hold.Floor; p.admit <= floor {
		t.Fatalf("%d requests in hand do not exceed the floor of %d", p.admit, floor)
	}
	p.paused = w.now.Add(30 * time.Second)
	for range 40 * time.Second / worldStep {
		w.step()
	}
}

// runsOf returns the runs that the process started.
func (w *world) runsOf(p *proc) []*run {
	var own []*run
	for _, r := range w.runs {
		if r.owner == p {
			own = append(own, r)
		}
	}
	return own
}

// others returns the runs that the process did not start.
func (w *world) others(p *proc) []*run {
	var others []*run
	for _, r := range w.runs {
		if r.owner != p {
			others = append(others, r)
		}
	}
	return others
}
