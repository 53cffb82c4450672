package entry

import (
	"sync"
	"sync/atomic"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

// keyUse is one request under a key at one process, or the withdrawal of the key.
type keyUse struct {
	node     int
	withdraw bool
}

// keyModel says that a key works at a process until its withdrawal takes effect there, and never after.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, 2)
		for _, op := range history {
			if use := op.Input.(keyUse); !use.withdraw {
				parts[use.node] = append(parts[use.node], op)
				continue
			}
			for i := range parts {
				parts[i] = append(parts[i], op)
			}
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		withdrawn := state.(bool)
		if input.(keyUse).withdraw {
			return true, true
		}
		return output.(bool) == !withdrawn, withdrawn
	},
}

// testKeyHistory withdraws a key while requests under it run at both processes, and checks the history of who was let in.
func testKeyHistory(is *is.I, b *bench) {
	key := fleet.KeyFromSecret("visitor", "carvers", testSecret)
	status, _ := b.change(record.Change{Puts: []record.Put{record.NewPut(key, 0)}})
	is.Equal(status, fasthttp.StatusOK)
	for _, n := range b.nodes {
		b.until("granted", func() bool { return n.view().keys["visitor"].Name != "" })
	}
	var clock atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	note := func(client int, use keyUse, call int64, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: use, Output: ok, Call: call, Return: clock.Add(1)})
	}
	var started, finished sync.WaitGroup
	const clients = 3
	for i := range 2 * clients {
		started.Add(1)
		finished.Add(1)
		go func() {
			defer finished.Done()
			refusals := 0
			for n := 0; refusals < 3; n++ {
				call := clock.Add(1)
				status, _, _ := b.post(b.nodes[i%2], proofsPath, `{"runMs":1}`, "Authorization", bearer+"visitor."+testSecret, HeaderIdempotent, "true")
				note(i, keyUse{node: i % 2}, call, status == fasthttp.StatusOK)
				if status != fasthttp.StatusOK {
					refusals++
				}
				if n == 0 {
					started.Done()
				}
			}
		}()
	}
	started.Wait()
	granted, _ := b.nodes[0].state.Tables().Keys.Get("visitor")
	call := clock.Add(1)
	status, _ = b.change(record.Change{Puts: []record.Put{record.NewPut(granted.WithWithdrawn(), granted.RowVersion())}})
	is.Equal(status, fasthttp.StatusOK)
	for _, n := range b.nodes {
		b.until("withdrawn", func() bool { return n.view().keys["visitor"].Withdrawn })
	}
	note(2*clients, keyUse{withdraw: true}, call, true)
	finished.Wait()
	is.True(porcupine.CheckOperations(keyModel, history))
}
