package outbox

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"

	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// order returns the order of the kind for an item and a run, such as a1.
func order(kind, run string) sched.Order {
	item := work.ItemID{Job: work.JobID(run[:1])}
	number, err := strconv.Atoi(run[1:])
	if err != nil {
		panic(err)
	}
	switch kind {
	case "stop":
		return sched.StopOrder{Target: "i", Item: item, Run: number}
	case "pace":
		return sched.PaceOrder{Target: "i", Item: item, Run: number, Percent: 50}
	default:
		return sched.StartOrder{Target: "i", Start: work.StartRequest{Item: item, Run: number}}
	}
}

// describe is the inverse of order.
func describe(o sched.Order) string {
	switch o := o.(type) {
	case sched.StopOrder:
		return fmt.Sprintf("stop %s%d", o.Item.Job, o.Run)
	case sched.PaceOrder:
		return fmt.Sprintf("pace %s%d", o.Item.Job, o.Run)
	case sched.StartOrder:
		return fmt.Sprintf("start %s%d", o.Start.Item.Job, o.Start.Run)
	}
	return ""
}

func refuse() bool { return false }
func grow() bool   { return true }

// TestQueue runs the scripts in testdata: push queues an order, next checks which one is sent, answer, fail and drop end one, wait passes milliseconds, and retry checks how many are left until an order is sent again.
func TestQueue(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "queue.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			q, now, underWay := New(), time.Second, map[string]Sending{}
			for _, line := range strings.Split(string(f.Data), "\n") {
				line, _, _ = strings.Cut(line, "#")
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				rest := strings.Join(words[1:], " ")
				switch words[0] {
				case "push":
					q.Push(order(words[1], words[2]), now)
				case "next":
					s, ok := q.Next(now, refuse)
					got := "none"
					if ok {
						got = describe(s.Order)
						underWay[got] = s
					}
					is.Equal(got, rest) // the next order
				case "answer":
					q.Answered(underWay[rest], time.Millisecond)
				case "drop":
					q.Dropped(underWay[rest])
				case "fail":
					q.Unanswered(underWay[rest], underWay[rest].Order, time.Millisecond, now)
				case "wait":
					ms, err := strconv.Atoi(words[1])
					is.NoErr(err)
					now += time.Duration(ms) * time.Millisecond
				case "retry":
					next, ok := q.NextRetry(now)
					is.True(ok)
					is.Equal(fmt.Sprint((next - now).Milliseconds()), words[1])
				default:
					t.Fatalf("unknown command %q", words[0])
				}
			}
		})
	}
}

// simulation plays a target that takes callTime for each order and leaves all unanswered until answersFrom.
type simulation struct {
	queue       *Queue
	now         time.Duration
	callTime    time.Duration
	answersFrom time.Duration
	underWay    []simulatedCall
	most        int
}

// simulatedCall is an order that is under way until it is answered or has timed out.
type simulatedCall struct {
	Sending
	endsAt   time.Duration
	answered bool
}

// play sends the queued orders and returns when the last one was answered.
func (s *simulation) play(t *testing.T) time.Duration {
	t.Helper()
	const timeout = 400 * time.Millisecond
	for s.queue.Len() > 0 || len(s.underWay) > 0 {
		s.underWay = slices.DeleteFunc(s.underWay, func(c simulatedCall) bool {
			switch {
			case s.now < c.endsAt:
				return false
			case c.answered:
				s.queue.Answered(c.Sending, s.callTime)
			default:
				s.queue.Unanswered(c.Sending, c.Order, timeout, s.now)
			}
			return true
		})
		for o, ok := s.queue.Next(s.now, grow); ok; o, ok = s.queue.Next(s.now, grow) {
			c := simulatedCall{Sending: o, endsAt: s.now + timeout}
			if s.now >= s.answersFrom {
				c.endsAt, c.answered = s.now+s.callTime, true
			}
			s.underWay = append(s.underWay, c)
		}
		s.most = max(s.most, len(s.underWay))
		s.now += time.Millisecond
		if s.now > time.Minute {
			t.Fatal("orders are left after a minute")
		}
	}
	return s.now
}

// TestTimeToStopDoesNotGrowWithTheRuns guards against runs that go on for the longer, the more runs of cancelled jobs a target has and the longer it takes for an order, as far as its connections allow.
func TestTimeToStopDoesNotGrowWithTheRuns(t *testing.T) {
	for _, callTime := range []time.Duration{2 * time.Millisecond, 6 * time.Millisecond, 20 * time.Millisecond} {
		for _, runs := range []int{1, 30, 300, 1600} {
			s := &simulation{queue: New(), callTime: callTime}
			for n := range runs {
				s.queue.Push(sched.StopOrder{Target: "i", Item: work.ItemID{Job: "j", Index: n}, Run: 1}, 0)
			}
			took := s.play(t)
			// With all of the target's connections, the orders take this long.
			least := time.Duration(runs) * callTime / (MaxExtra + 1)
			if bound := 3*sendTime + 2*least; took > bound {
				t.Errorf("%d stops of %v take %v, more than %v", runs, callTime, took, bound)
			}
			if s.most > MaxExtra+int(classes) {
				t.Errorf("%d orders at once", s.most)
			}
		}
	}
}

// TestOrdinaryStartsUseOneConnection guards against connections that are opened for a usual number of starts.
func TestOrdinaryStartsUseOneConnection(t *testing.T) {
	is := is.New(t)
	s := &simulation{queue: New(), callTime: 3 * time.Millisecond}
	for n := range 30 {
		s.queue.Push(sched.StartOrder{Target: "i", Start: work.StartRequest{Item: work.ItemID{Job: "j", Index: n}, Run: 1}}, 0)
	}
	s.play(t)
	is.Equal(s.most, 1)
}

// TestSilentTargetGetsFewOrders guards against a flood of calls to a target that does not answer, and against stops that wait long once it does.
func TestSilentTargetGetsFewOrders(t *testing.T) {
	is := is.New(t)
	s := &simulation{queue: New(), callTime: 6 * time.Millisecond, answersFrom: 10 * time.Second}
	for n := range 800 {
		s.queue.Push(sched.StopOrder{Target: "i", Item: work.ItemID{Job: "j", Index: n}, Run: 1}, 0)
	}
	took := s.play(t)
	is.True(s.most <= MaxExtra+1)
	is.True(took < s.answersFrom+1500*time.Millisecond) // one timeout and the orders themselves
}
