package entry

import (
	"cmp"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/peer"
)

// TimelineReply is the time line over all processes that answered.
type TimelineReply struct {
	Events []event.Event `json:"events"`
	// Silent lists the seats whose part is missing.
	Silent []string `json:"silent"`
}

// serveTimeline puts the parts of all live processes together.
func (n *Node) serveTimeline(ctx *fasthttp.RequestCtx, _ string) {
	about := peer.EventsArgs{Name: string(ctx.QueryArgs().Peek("about"))}
	n.mu.Lock()
	seats := slices.Clone(n.seats)
	n.mu.Unlock()
	reply := TimelineReply{Events: n.Events(about).Events}
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, seat := range seats {
		if seat == n.settings.Seat {
			continue
		}
		asked.Add(1)
		go func() {
			defer asked.Done()
			part, err := n.peers.Events(seat, about, holdFor)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				reply.Silent = append(reply.Silent, seat)
				return
			}
			reply.Events = append(reply.Events, part.Events...)
		}()
	}
	asked.Wait()
	slices.Sort(reply.Silent)
	// Clocks of processes differ; the log's offset orders events that it separates.
	slices.SortStableFunc(reply.Events, func(a, b event.Event) int {
		return cmp.Or(cmp.Compare(a.TimeMs, b.TimeMs), cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Process, b.Process))
	})
	writeJSON(ctx, fasthttp.StatusOK, reply)
}

// Events answers another entry process.
func (n *Node) Events(args peer.EventsArgs) peer.EventsReply {
	return peer.EventsReply{Events: n.line.EventsAbout(args.Name)}
}
