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

const demoKeyHeld = "a withdrawn key stopped working at every entry node within seconds"

func demoSystem(address string) *change.HTTPClient {
	return change.NewHTTPClient(address, "operator", demoSecret)
}

// injectFaults kills an entry node and withdraws a key inside the burst, and says whether the key stopped working.
func (d *demo) injectFaults() string {
	time.Sleep(demoKillAt)
	d.nodes[demoEntries-1].Kill()
	d.kills[demoEntries-1]()
	time.Sleep(demoKeyAt - demoKillAt)
	system := demoSystem(d.listens[0])
	tables, err := system.Tables()
	if err != nil {
		return err.Error()
	}
	key, err := find(tables.Keys, demoLostKey)
	if err != nil {
		return err.Error()
	}
	if _, err := system.Apply(record.Change{Puts: []record.Put{record.NewPut(key.WithWithdrawn(), key.RowVersion())}}); err != nil {
		return err.Error()
	}
	time.Sleep(demoKeyGrace)
	for _, address := range d.listens[:demoEntries-1] {
		if status := demoProbe(address, key); status != fasthttp.StatusUnauthorized {
			return fmt.Sprintf("the withdrawn key got status %d from %s", status, address)
		}
	}
	return demoKeyHeld
}

// demoProbe sends one request under a key and returns the status.
func demoProbe(address string, key fleet.Key) int {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + entry.QueuesPath + "proofs" + entry.RequestsPath)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key.Name+"."+demoSecret)
	req.Header.Set(entry.HeaderRequestID, uuid.Must(uuid.NewV7()).String())
	req.SetBodyString("{}")
	if err := fasthttp.DoTimeout(req, resp, demoReady); err != nil {
		return 0
	}
	return resp.StatusCode()
}

// stop ends the nodes and the stand-in.
func (d *demo) stop() {
	for i, kill := range d.kills {
		d.nodes[i].Kill()
		kill()
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoStopWait)
	defer cancel()
	d.stand.Stop(ctx)
}
