package agent

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/work"
)

// TestOddEntryKeepsItsTarget guards against a target that is changed or given up because another writer's entry under its key cannot be decoded, and against a log line for each repetition of that entry.
func TestOddEntryKeepsItsTarget(t *testing.T) {
	for name, odd := range map[string]string{
		"number": `{"service":"p","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"10.0.0.9:8080","state":"ready","seq":7,"born":5,"capacity":{"cpu":1e400,"mem_mb":100},"labels":["a"]}`,
		"port":   `{"service":"p","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"10.0.0.9:99999","state":"ready","seq":7,"born":5,"capacity":{"cpu":1000,"mem_mb":100},"labels":["a"]}`,
		"start":  `{"service":"p","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"10.0.0.9:8080","state":"ready","seq":7,"born":9223372036854775807,"capacity":{"cpu":1000,"mem_mb":100},"labels":["a"]}`,
		"fields": `{"service":"p","address":"10.0.0.9:8080","state":"ready","born":6,"capacity":{"cpu":1000,"mem_mb":100}}`,
		"label":  `{"service":"p","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"10.0.0.9:8080","state":"ready","seq":7,"born":5,"capacity":{"cpu":1000,"mem_mb":100},"labels":[["a"]]}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store, err := stage.NewStore(fake.LoopbackAddresses(1)[0])
			is.NoErr(err)
			defer store.Close()
			core, lines := observer.New(zap.ErrorLevel)
			a, h := newTestAgent(t)
			a.log, a.store = zap.New(core), platform.NewStoreClient(store.Address)
			h.table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}})

			store.Put("servers", "i-1", []byte(`{"service":"p","zone":"z","version":"v1","slots":8,"cold_remaining_ms":0,"address":"10.0.0.9:8080","state":"ready","seq":1,"born":5,"capacity":{"cpu":1000,"mem_mb":100},"labels":["a"]}`))
			batch, err := a.store.LatestTargetUpdates(storeTimeout)
			is.NoErr(err)
			h.applyTargets(batch.Updates, true)
			sound := h.table.Targets()
			is.Equal(len(sound), 1)

			for range 3 {
				store.Put("servers", "i-1", []byte(odd))
				first, err := a.store.LatestTargetUpdates(storeTimeout)
				is.NoErr(err)
				h.applyTargets(first.Updates, true)
				is.Equal(h.table.Targets(), sound)
				batch, err = a.store.ReadTargetUpdates(batch.NextOffset, 0, storeTimeout)
				is.NoErr(err)
				h.applyTargets(batch.Updates, false)
				is.Equal(h.table.Targets(), sound)
			}
			is.Equal(lines.Len(), 1)
		})
	}
}
