package entry

import (
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/claim"
	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/fleet"
)

// testConcurrentClaims lets two requests with one identifier claim it at one process while the log is away. The second one times out; a claim that it released by the process's name would be that of the first one, and a third request would run the work again.
func testConcurrentClaims(is *is.I, f *testFleet) {
	n := f.nodes[0]
	id := uuid.Must(uuid.NewV7())
	newRequest := func(maxWait time.Duration) *request {
		return &request{
			id: id.String(), uuid: id, deadline: n.clock.Now().Add(time.Minute),
			queue: queueConfig{Queue: fleet.Queue{Name: "proofs", MaxWaitMs: int(maxWait.Milliseconds())}},
		}
	}
	f.platform.SetFaults(fake.Faults{LogDown: true})
	first := make(chan error, 1)
	go func() { first <- n.acquireClaim(newRequest(time.Minute)) }()
	f.waitUntil("claiming", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.claiming[id]
	})
	err := n.acquireClaim(newRequest(10 * time.Millisecond))
	var taken *claim.AlreadyClaimedError
	is.True(errors.As(err, &taken)) // the outcome is unknown at once
	f.platform.SetFaults(fake.Faults{})
	is.NoErr(<-first)
	is.True(n.ownsClaim(newRequest(time.Minute))) // the first request still owns its claim
	err = n.acquireClaim(newRequest(time.Minute))
	is.True(errors.As(err, &taken)) // a third request does not run the work again
}
