package admit

// lane is one team's requests at one service.
type lane struct {
	team   Team
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

// before reports whether the lane is further below its due part than the other.
func (l *lane) before(o *lane, weight, otherWeight int) bool {
	mine, theirs := l.quota, o.quota
	if mine == 0 && theirs == 0 {
		mine, theirs = weight, otherWeight
	}
	return (l.running+1)*max(theirs, 0) < (o.running+1)*max(mine, 0)
}
