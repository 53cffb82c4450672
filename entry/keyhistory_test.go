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

// keyOp is a request under a key at one process, or the withdrawal of the key.
type keyOp struct {
	node     int
	withdraw bool
}

// keyModel is the sequential specification: a process accepts a key until the withdrawal takes effect there, and never after. The state of each process is whether the key is withdrawn.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, 2)
		for _, op := range history {
			if input := op.Input.(keyOp); !input.withdraw {
				parts[input.node] = append(parts[input.node], op)
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
		if input.(keyOp).withdraw {
			return true, true
		}
		return output.(bool) == !withdrawn, withdrawn
	},
}

// testKeyHistory withdraws a key while both processes serve requests under it. A process must not accept the key again after it has refused it, nor after the withdrawal is known to have taken effect there, so the history of accepted and refused requests must be linearizable under keyModel.
func testKeyHistory(is *is.I, f *testFleet) {
	key := fleet.KeyFromSecret("visitor", "carvers", testSecret)
	status, _ := f.applyChange(record.Change{Puts: []record.Put{record.NewPut(key, 0)}})
	is.Equal(status, fasthttp.StatusOK)
	for _, n := range f.nodes {
		f.waitUntil("granted", func() bool { return n.view().keys["visitor"].Name != "" })
	}
	var clock atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	addOperation := func(client int, op keyOp, call int64, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: op, Output: ok, Call: call, Return: clock.Add(1)})
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
				status, _, _ := f.post(f.nodes[i%2], proofsPath, `{"runMs":1}`, "Authorization", bearerPrefix+"visitor."+testSecret, HeaderIdempotent, "true")
				addOperation(i, keyOp{node: i % 2}, call, status == fasthttp.StatusOK)
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
	granted, _ := f.nodes[0].state.Tables().Keys.Get("visitor")
	call := clock.Add(1)
	status, _ = f.applyChange(record.Change{Puts: []record.Put{record.NewPut(granted.WithWithdrawn(), granted.RowVersion())}})
	is.Equal(status, fasthttp.StatusOK)
	for _, n := range f.nodes {
		f.waitUntil("withdrawn", func() bool { return n.view().keys["visitor"].Withdrawn })
	}
	addOperation(2*clients, keyOp{withdraw: true}, call, true)
	finished.Wait()
	is.True(porcupine.CheckOperations(keyModel, history))
}
