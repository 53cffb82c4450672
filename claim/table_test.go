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

	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/stream"
)

var startTime = time.Unix(1_800_000_000, 0)

// newRequestID returns a version 7 UUID of the given time.
func newRequestID(at time.Time, n byte) uuid.UUID {
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

// newTable returns a table whose writer appends nothing and only receives the results of batches.
func newTable() *Table {
	return NewTable(time.Minute, stream.NewWriter(nil, "claims", "nobody"))
}

// TestFirstClaimWins checks that the first claim in the log wins and that the second one is told the winner, so that two processes never both send a request.
func TestFirstClaimWins(t *testing.T) {
	is := is.New(t)
	table := newTable()
	id := newRequestID(startTime, 1)
	errs, _ := table.apply(1, batch("a", 1, startTime, record.Claim{Request: id}))
	is.NoErr(errs[0])
	errs, _ = table.apply(2, batch("b", 1, startTime, record.Claim{Request: id}))
	var taken *AlreadyClaimedError
	is.True(errors.As(errs[0], &taken))
	is.Equal(taken.Winner, "a")
	is.True(errors.As(table.Check(id, startTime), &taken))
}

// TestRepeatedAppendIsAppliedOnce checks that the second copy of a batch has no result. A writer whose reply was lost appends its batch again, and the copy would be refused because of the writer's own first claim.
func TestRepeatedAppendIsAppliedOnce(t *testing.T) {
	is := is.New(t)
	table := newTable()
	id := newRequestID(startTime, 1)
	claim := batch("a", 1, startTime, record.Claim{Request: id})
	errs, applied := table.apply(1, claim)
	is.NoErr(errs[0])
	is.True(applied)
	_, applied = table.apply(2, claim)
	is.True(!applied) // the second copy has no result
}

// TestOnlyOwnerCanUnclaim checks that an unclaim by another writer has no effect; otherwise a request that the owner sent could be claimed and run again.
func TestOnlyOwnerCanUnclaim(t *testing.T) {
	is := is.New(t)
	table := newTable()
	id := newRequestID(startTime, 1)
	table.apply(1, batch("a", 1, startTime, record.Claim{Request: id}))
	table.apply(2, batch("b", 1, startTime, record.Unclaim{Request: id}))
	is.True(table.Check(id, startTime) != nil)
	table.apply(3, batch("a", 2, startTime, record.Unclaim{Request: id}))
	is.NoErr(table.Check(id, startTime))
}

// TestRepeatIsRejectedAfterClaimIsRemoved checks that a repeated request is rejected after its claim was pruned from the table or truncated from the log. The table cannot show then that the request was claimed, and the repeat would run it again.
func TestRepeatIsRejectedAfterClaimIsRemoved(t *testing.T) {
	is := is.New(t)
	table := newTable()
	id := newRequestID(startTime, 1)
	table.apply(1, batch("a", 1, startTime, record.Claim{Request: id}))
	later := startTime.Add(10 * time.Minute)
	table.apply(2, batch("a", 2, later, record.Claim{Request: newRequestID(later, 2)}))
	is.Equal(table.Len(), 1)
	var outside *OutsideWindowError
	is.True(errors.As(table.Check(id, later), &outside))

	restarted := newTable()
	restarted.Skip(5)
	is.True(errors.As(restarted.Check(newRequestID(later, 3), later), &outside)) // the truncated part of the log may have held its claim
	// The first entry after the truncated part supplies only its time, which the table takes as the start of the known claims.
	restarted.apply(5, batch("b", 1, later, record.Unclaim{}))
	is.True(errors.As(restarted.Check(newRequestID(later, 3), later), &outside))
	is.NoErr(restarted.Check(newRequestID(later.Add(2*MaxClockSkew), 4), later.Add(2*MaxClockSkew)))
}

// claimAttempt is a writer's attempt in a recorded history to claim a request; the output of the operation says whether the writer may send the request.
type claimAttempt struct {
	request int
	writer  string
}

// TestSendsAreLinearizable checks that exactly one of several processes may send each request, although replies of the log are lost, appends are repeated and each process reads the log at its own speed. Otherwise a request could run twice, or a claimed one never.
func TestSendsAreLinearizable(t *testing.T) {
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byRequest := map[int][]porcupine.Operation{}
			for _, op := range history {
				r := op.Input.(claimAttempt).request
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
				return allowed, input.(claimAttempt).writer
			}
			return !allowed, owner
		},
		Equal: func(a, b any) bool { return a == b },
	}
	for seed := range uint64(50) {
		history := simulateClaims(seed)
		if !porcupine.CheckOperations(model, history) {
			t.Fatalf("seed %d: a request could be sent by no process, or by more than one", seed)
		}
	}
}

// simulateClaims returns the history of claims by five processes, each of which reads the log into its own table at its own speed. No new claims start in the last 500 of the 3000 steps, so that pending ones can end.
func simulateClaims(seed uint64) []porcupine.Operation {
	random := rand.New(rand.NewPCG(seed, seed))
	var log []record.Batch
	type process struct {
		writer  string
		table   *Table
		read    int
		pending *porcupine.Operation
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
		if p.pending == nil && now < 2500 {
			n := random.IntN(60)
			sequences[p.writer]++
			p.batch = batch(p.writer, sequences[p.writer], startTime, record.Claim{Request: newRequestID(startTime, byte(n))})
			p.pending = &porcupine.Operation{ClientId: int(p.writer[1] - '0'), Input: claimAttempt{request: n, writer: p.writer}, Call: now}
			log = append(log, p.batch)
		}
		if p.pending != nil && random.IntN(4) == 0 {
			// The reply was lost, so the same batch is appended again.
			log = append(log, p.batch)
		}
		for limit := random.IntN(6); p.read < len(log) && limit > 0; limit-- {
			b := log[p.read]
			p.read++
			errs, applied := p.table.apply(int64(p.read), b)
			if applied && b.Writer == p.writer {
				p.pending.Output = errs[0] == nil
				p.pending.Return = now
				history = append(history, *p.pending)
				p.pending = nil
			}
		}
	}
	return history
}

// TestRedeliveredEntryIsIgnored checks that an entry which the tail returns again after a reconnect has no effect, even with a new sequence number. Otherwise it could add a claim that the log does not have at that offset, or move the offset back.
func TestRedeliveredEntryIsIgnored(t *testing.T) {
	is := is.New(t)
	table := newTable()
	_, applied := table.apply(5, batch("a", 1, startTime, record.Claim{Request: newRequestID(startTime, 1)}))
	is.True(applied)
	for _, offset := range []int64{5, 4} {
		_, applied = table.apply(offset, batch("b", uint64(offset), startTime, record.Claim{Request: newRequestID(startTime, 2)}))
		is.True(!applied)
	}
	is.Equal(table.Len(), 1)
	_, applied = table.apply(6, batch("b", 6, startTime, record.Claim{Request: newRequestID(startTime, 2)}))
	is.True(applied)
}
