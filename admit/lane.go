package admit

// lane is one team's requests at one service.
type lane struct {
	team   TeamID
	urgent fifo
	rest   fifo
	// waiting counts waiters that were not cancelled.
	waiting int
	running int
	// quota is the number of slots that the team may run here before others that wait.
	quota int
	// active is the lane's place in the service's list of lanes with waiters, or -1.
	active int
}

func (l *lane) push(w *Waiter) {
	if w.Urgent {
		l.urgent.push(w)
	} else {
		l.rest.push(w)
	}
	l.waiting++
}

// next returns the waiter to start, urgent ones first, and drops those that no longer wait.
func (l *lane) next() *Waiter {
	for _, f := range [2]*fifo{&l.urgent, &l.rest} {
		for w := f.peek(); w != nil; w = f.peek() {
			if w.state == stateWaiting {
				return w
			}
			f.pop()
		}
	}
	return nil
}

func (l *lane) pop(w *Waiter) {
	if l.urgent.peek() == w {
		l.urgent.pop()
	} else {
		l.rest.pop()
	}
	l.waiting--
}

// key orders lanes by how full their due part would be with one more request; a team without a due part comes last, by weight.
func (l *lane) key(weight int) float64 {
	if l.quota > 0 {
		return float64(l.running+1) / float64(l.quota)
	}
	return withoutQuota + float64(l.running+1)/float64(max(weight, 1))
}

// withoutQuota is above every key of a lane with a quota.
const withoutQuota = 1 << 30

// activeLane keeps a lane's key beside it, so that a scan reads memory in order.
type activeLane struct {
	key  float64
	lane *lane
}
