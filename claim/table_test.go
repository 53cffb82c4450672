package claim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/follow"
	"lavenderwing.example/lavenderwing/record"
)

var epoch = time.Unix(1_800_000_000, 0)

// issued returns a version 7 identifier of the given time.
func issued(at time.Time, n byte) uuid.UUID {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id
}

func batch(writer string, sequence uint64, at time.Time, records ...record.Record) record.Batch {
	return record.Batch{Writer: writer, Sequence: sequence, TimeMs: at.UnixMilli(), Records: records}
}

func newTable() *Table {
	return NewTable(time.Minute, follow.NewWriter(nil, "claims", "nobody"))
}

func TestFirstClaimWins(t *testing.T) {
	is := is.New(t)
	table := newTable()
	id := issued(epoch, 1)
	errs, _ := table.apply(1, batch("a", 1, epoch, record.Claim{Request: id}))
	is.NoErr(errs[0])
	errs, _ = table.apply(2, batch("b", 1, epoch, record.Claim{Request: id}))
	var taken *AlreadyClaimedError
	is.True(errors.As(errs[0], &taken))
	is.Equal(taken.Winner, "a")
	is.True(errors.As(table.Check(id, epoch), &taken))
}

func TestRepeatedAppendIsFoldedOnce(t *testing.T) {
	is := is.New(t)
	table := newTable()
	id := issued(epoch, 1)
	claim := batch("a", 1, epoch, record.Claim{Request: id})
	errs, fresh := table.apply(1, claim)
	is.NoErr(errs[0])
	is.True(fresh)
	_, fresh = table.apply(2, claim)
	is.True(!fresh) // the second copy gives no verdict, least of all that the claim is taken
}

func TestOnlyTheOwnerReturnsAClaim(t *testing.T) {
	is := is.New(t)
	table := newTable()
	id := issued(epoch, 1)
	table.apply(1, batch("a", 1, epoch, record.Claim{Request: id}))
	table.apply(2, batch("b", 1, epoch, record.Unclaim{Request: id}))
	is.True(table.Check(id, epoch) != nil)
	table.apply(3, batch("a", 2, epoch, record.Unclaim{Request: id}))
	is.NoErr(table.Check(id, epoch))
}

// TestForgottenClaimsAreNotRunAgain covers a repeat that comes after the claim was dropped from the table or from the log.
func TestForgottenClaimsAreNotRunAgain(t *testing.T) {
	is := is.New(t)
	table := newTable()
	id := issued(epoch, 1)
	table.apply(1, batch("a", 1, epoch, record.Claim{Request: id}))
	later := epoch.Add(10 * time.Minute)
	table.apply(2, batch("a", 2, later, record.Claim{Request: issued(later, 2)}))
	is.Equal(table.Len(), 1)
	var age *OutsideWindowError
	is.True(errors.As(table.Check(id, later), &age))

	fresh := newTable()
	fresh.Skip(5)
	is.True(errors.As(fresh.Check(issued(later, 3), later), &age)) // nothing is known of what the log lost
	fresh.apply(5, batch("b", 1, later, record.Unclaim{}))
	is.True(errors.As(fresh.Check(issued(later, 3), later), &age))
	is.NoErr(fresh.Check(issued(later.Add(2*MaxClockSkew), 4), later.Add(2*MaxClockSkew)))
}

// attempt is one process's try to send a request in a recorded history.
type attempt struct {
	request int
	writer  string
}

// TestSendsAreLinearizable lets processes race for requests through a log that loses answers and repeats appends, and checks the history of who was allowed to send.
func TestSendsAreLinearizable(t *testing.T) {
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byRequest := map[int][]porcupine.Operation{}
			for _, op := range history {
				r := op.Input.(attempt).request
				byRequest[r] = append(byRequest[r], op)
			}
			var parts [][]porcupine.Operation
			for _, ops := range byRequest {
				parts = append(parts, ops)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			owner, allowed := state.(string), output.(bool)
			if owner == "" {
				return allowed, input.(attempt).writer
			}
			return !allowed, owner
		},
		Equal: func(a, b any) bool { return a == b },
	}
	for seed := range uint64(50) {
		history := race(seed)
		if !porcupine.CheckOperations(model, history) {
			t.Fatalf("seed %d: two processes were allowed to send one request, or none was", seed)
		}
	}
}

// race records the claims of five processes, each with a table of its own that reads the log at its own pace.
func race(seed uint64) []porcupine.Operation {
	random := rand.New(rand.NewPCG(seed, seed))
	var log []record.Batch
	type process struct {
		writer  string
		table   *Table
		read    int
		waiting *porcupine.Operation
		batch   record.Batch
	}
	procs := make([]*process, 5)
	for i := range procs {
		procs[i] = &process{writer: fmt.Sprintf("p%d", i), table: newTable()}
	}
	var history []porcupine.Operation
	sequences := map[string]uint64{}
	for now := int64(0); now < 3000; now++ {
		p := procs[random.IntN(len(procs))]
		if p.waiting == nil && now < 2500 {
			n := random.IntN(60)
			sequences[p.writer]++
			p.batch = batch(p.writer, sequences[p.writer], epoch, record.Claim{Request: issued(epoch, byte(n))})
			p.waiting = &porcupine.Operation{ClientId: int(p.writer[1] - '0'), Input: attempt{request: n, writer: p.writer}, Call: now}
			log = append(log, p.batch)
		}
		if p.waiting != nil && random.IntN(4) == 0 {
			// The answer was lost: the same batch is appended again.
			log = append(log, p.batch)
		}
		for limit := random.IntN(6); p.read < len(log) && limit > 0; limit-- {
			b := log[p.read]
			p.read++
			errs, fresh := p.table.apply(int64(p.read), b)
			if fresh && b.Writer == p.writer {
				p.waiting.Output = errs[0] == nil
				p.waiting.Return = now
				history = append(history, *p.waiting)
				p.waiting = nil
			}
		}
	}
	return history
}

// TestAnEntryIsNeverFoldedAgain plays an entry once more that the tail returns after a reconnect: under a new sequence number it must not move the table backwards.
func TestAnEntryIsNeverFoldedAgain(t *testing.T) {
	is := is.New(t)
	table := newTable()
	_, fresh := table.apply(5, batch("a", 1, epoch, record.Claim{Request: issued(epoch, 1)}))
	is.True(fresh)
	for _, offset := range []int64{5, 4} {
		_, fresh = table.apply(offset, batch("b", uint64(offset), epoch, record.Claim{Request: issued(epoch, 2)}))
		is.True(!fresh)
	}
	is.Equal(table.Len(), 1)
	_, fresh = table.apply(6, batch("b", 6, epoch, record.Claim{Request: issued(epoch, 2)}))
	is.True(fresh)
}
