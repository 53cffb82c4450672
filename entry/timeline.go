package entry

import (
	"cmp"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/peer"
)

// TimelineReply is the merged timeline of all processes that replied.
type TimelineReply struct {
	Events []event.Event `json:"events"`
	// Silent lists the seats that did not reply.
	Silent []string `json:"silent"`
}

// serveTimeline merges the timelines of all live processes.
func (n *Node) serveTimeline(ctx *fasthttp.RequestCtx, _ string) {
	about := peer.EventsArgs{Name: string(ctx.QueryArgs().Peek("about"))}
	n.mu.Lock()
	seats := slices.Clone(n.liveSeats)
	n.mu.Unlock()
	reply := TimelineReply{Events: n.Events(about).Events}
	var mu sync.Mutex
	var pendingCalls sync.WaitGroup
	for _, seat := range seats {
		if seat == n.settings.Seat {
			continue
		}
		pendingCalls.Add(1)
		go func() {
			defer pendingCalls.Done()
			part, err := n.peers.Events(seat, about, maxHold)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				reply.Silent = append(reply.Silent, seat)
				return
			}
			reply.Events = append(reply.Events, part.Events...)
		}()
	}
	pendingCalls.Wait()
	slices.Sort(reply.Silent)
	// The clocks of processes differ, so the log offset orders events of the same time.
	slices.SortStableFunc(reply.Events, func(a, b event.Event) int {
		return cmp.Or(cmp.Compare(a.TimeMs, b.TimeMs), cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Process, b.Process))
	})
	writeJSON(ctx, fasthttp.StatusOK, reply)
}

// Events returns this process's events for another entry process.
func (n *Node) Events(args peer.EventsArgs) peer.EventsReply {
	return peer.EventsReply{Events: n.timeline.EventsAbout(args.Name)}
}
