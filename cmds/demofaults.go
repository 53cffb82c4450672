package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/change"
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

const demoKeyRejected = "a withdrawn key stopped working at every entry node within seconds"

func demoClient(address string) *change.HTTPClient {
	return change.NewHTTPClient(address, "operator", demoSecret)
}

// injectFaults kills an entry node and then withdraws a key during the load. It returns demoKeyRejected if all other
// entry nodes rejected the key in time, and otherwise what went wrong.
func (d *demo) injectFaults() string {
	time.Sleep(demoKillAt)
	d.nodes[demoEntries-1].Kill()
	d.cancels[demoEntries-1]()
	time.Sleep(demoWithdrawAt - demoKillAt)
	client := demoClient(d.addresses[0])
	tables, err := client.Tables()
	if err != nil {
		return err.Error()
	}
	key, err := findRow(tables.Keys, demoWithdrawnKey)
	if err != nil {
		return err.Error()
	}
	if _, err := client.Apply(record.Change{Puts: []record.Put{record.NewPut(key.WithWithdrawn(), key.RowVersion())}}); err != nil {
		return err.Error()
	}
	time.Sleep(demoWithdrawTimeout)
	for _, address := range d.addresses[:demoEntries-1] {
		if status := demoRequestStatus(address, key); status != fasthttp.StatusUnauthorized {
			return fmt.Sprintf("the withdrawn key got status %d from %s", status, address)
		}
	}
	return demoKeyRejected
}

// demoRequestStatus sends one request with a key and returns the HTTP status, or 0 if there was no reply.
func demoRequestStatus(address string, key fleet.Key) int {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + entry.QueuesPath + "proofs" + entry.RequestsPath)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key.Name+"."+demoSecret)
	req.Header.Set(entry.HeaderRequestID, uuid.Must(uuid.NewV7()).String())
	req.SetBodyString("{}")
	if err := fasthttp.DoTimeout(req, resp, demoCallTimeout); err != nil {
		return 0
	}
	return resp.StatusCode()
}

// stop kills the nodes and stops the stand-in.
func (d *demo) stop() {
	for i, cancel := range d.cancels {
		d.nodes[i].Kill()
		cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	d.standin.Stop(ctx)
}
