package admit

// flow holds one team's requests at one service. Slots are divided among flows, so a team's share does not depend on its number of requests.
type flow struct {
	team   TeamID
	urgent fifo
	normal fifo
	// waiting does not count cancelled and expired waiters, which stay in the queues until they reach the head.
	waiting int
	running int
	// quota is the number of slots that the team should get at the service in this entry process, including spare ones.
	quota int
	// activeIndex is the flow's index in the service's activeFlows, or -1.
	activeIndex int
}

func (f *flow) push(w *Waiter) {
	if w.Urgent {
		f.urgent.push(w)
	} else {
		f.normal.push(w)
	}
	f.waiting++
}

// next returns the waiter to start, urgent ones first, and drops cancelled and expired ones from the heads of the queues.
func (f *flow) next() *Waiter {
	for _, q := range [2]*fifo{&f.urgent, &f.normal} {
		for w := q.peek(); w != nil; w = q.peek() {
			if w.state == stateWaiting {
				return w
			}
			q.pop()
		}
	}
	return nil
}

// pop removes w, which next must have just returned, so that w is the head of its queue.
func (f *flow) pop(w *Waiter) {
	if f.urgent.peek() == w {
		f.urgent.pop()
	} else {
		f.normal.pop()
	}
	f.waiting--
}

// quotaUsage returns the fraction of the quota that would be in use with one more running request; the flow with the lowest value starts its next request first. Flows without a quota come last, in the order of running requests per weight.
func (f *flow) quotaUsage(weight int) float64 {
	if f.quota > 0 {
		return float64(f.running+1) / float64(f.quota)
	}
	return noQuotaUsage + float64(f.running+1)/float64(max(weight, 1))
}

// noQuotaUsage is greater than the quotaUsage of any flow with a quota.
const noQuotaUsage = 1 << 30

// activeFlow stores a flow's quotaUsage beside its pointer, so that a scan for the lowest value reads contiguous memory.
type activeFlow struct {
	quotaUsage float64
	flow       *flow
}
