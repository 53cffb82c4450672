package pack

import (
	"testing"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// on returns a host of 16 cores and 32 GB with serving items of the given steps, 2.2 cores and 7.6 GB each.
func on(steps ...int) Host {
	h := Host{Free: work.Resources{CPU: 16_000, MemMB: 32_000}, Receives: true, Releasable: true}
	for _, s := range steps {
		it := Item{Step: s, Size: work.Resources{CPU: 2200, MemMB: 7600}}
		h.Items = append(h.Items, it)
		h.Free = h.Free.Sub(it.Size)
	}
	return h
}

// TestChoose guards against hosts that are emptied although their items do not fit elsewhere, may not leave or are needed, and against pools that keep hosts for single items.
func TestChoose(t *testing.T) {
	full := on(0, 0, 0)
	full.Free.MemMB = 7000
	busy := on(0)
	busy.OtherCPU = 1000
	stays := on(0)
	stays.Releasable = false
	leaving := on(0, 0)
	leaving.Receives, leaving.Releasable = false, false
	large := on(0)
	large.Items[0].Size.MemMB = 20_000
	plain := Step{MaxPerHost: 3}
	for _, c := range []struct {
		name   string
		hosts  []Host
		steps  []Step
		wanted int
		want   int
	}{
		{"the host with the fewest items", []Host{on(0, 0), on(0), on(0, 0)}, []Step{plain}, 2, 1},
		{"of those the one with the least other work", []Host{busy, on(0), on(0, 0)}, []Step{plain}, 1, 1},
		{"two items on two hosts", []Host{on(0, 0), on(0, 0), on(0, 0)}, []Step{plain}, 1, 0},
		{"all hosts are needed", []Host{on(0), on(0)}, []Step{plain}, 2, -1},
		{"hosts without serving items leave as they are", []Host{on(0), on(0), on(), on()}, []Step{plain}, 2, -1},
		{"too many items on each", []Host{on(0, 0, 0), on(0, 0, 0), on(0)}, []Step{{MaxPerHost: 3}}, 1, -1},
		{"limit for each host", []Host{on(0), on(0)}, []Step{{MaxPerHost: 1}}, 1, -1},
		{"the limit counts the items that are put there", []Host{on(0, 0), on(0, 0)}, []Step{plain}, 1, -1},
		{"limits of two steps", []Host{on(0, 1), on(0, 1)}, []Step{{MaxPerHost: 2}, {MaxPerHost: 2}}, 1, 0},
		{"no limit stated", []Host{on(0), on(0)}, []Step{{}}, 1, -1},
		{"no room", []Host{full, on(0)}, []Step{{MaxPerHost: 9}}, 1, -1},
		{"room for one of two", []Host{on(0, 0, 0), on(0, 0)}, []Step{{MaxPerHost: 9}}, 1, -1},
		{"an item that only fits on an empty host", []Host{large, on(0, 0, 0)}, []Step{{MaxPerHost: 9}}, 1, -1},
		{"an item is unavailable", []Host{on(0), on(0)}, []Step{{MaxPerHost: 3, Unavailable: 1}}, 1, -1},
		{"an item that needs more than room", []Host{on(0), on(0)}, []Step{{MaxPerHost: 3, Fixed: true}}, 1, -1},
		{"a host that has to stay", []Host{stays, on(0, 0, 0)}, []Step{{MaxPerHost: 9}}, 1, -1},
		{"the other host is about to leave", []Host{on(0), leaving, leaving}, []Step{{MaxPerHost: 3}, {}}, 1, -1},
		{"no hosts", nil, nil, 0, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := Choose(&Pool{Hosts: c.hosts, Steps: c.steps, Wanted: c.wanted})
			if !ok {
				got = -1
			}
			is.Equal(got, c.want)
		})
	}
}

// TestChooseRepeated guards against a course that does not come to an end or breaks a limit: 24 items on 19 hosts are brought to the 11 hosts that the pool needs, with no more moves than hosts released times MaxMoves.
func TestChooseRepeated(t *testing.T) {
	is := is.New(t)
	p := &Pool{Steps: []Step{{MaxPerHost: 3}}, Wanted: 11}
	for n := range 19 {
		if n < 5 {
			p.Hosts = append(p.Hosts, on(0, 0))
		} else {
			p.Hosts = append(p.Hosts, on(0))
		}
	}
	moves := 0
	for {
		n, ok := Choose(p)
		if !ok {
			break
		}
		items := p.Hosts[n].Items
		p.Hosts = append(p.Hosts[:n:n], p.Hosts[n+1:]...)
		for _, it := range items {
			moves++
			// The first host with room, not the best.
			for i := range p.Hosts {
				if h := &p.Hosts[i]; it.Size.Fits(h.Free) && len(h.Items) < 3 {
					h.Items, h.Free = append(h.Items, it), h.Free.Sub(it.Size)
					break
				}
			}
		}
	}
	left := 0
	for _, h := range p.Hosts {
		left += len(h.Items)
		is.True(len(h.Items) <= 3)
	}
	is.Equal(len(p.Hosts), 11)
	is.Equal(left, 24)
	is.Equal(moves, 8) // one item of each released host
}
