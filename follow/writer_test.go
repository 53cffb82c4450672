package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/plat"
	"lavenderwing.example/lavenderwing/record"
)

// fakeLog keeps appends in memory and fails as it is told.
type fakeLog struct {
	mu      sync.Mutex
	entries []plat.Entry
	// refuse is the number of coming appends without effect, and lose of those whose answer is lost.
	refuse int
	lose   int
	grown  chan struct{}
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse > 0 {
		l.refuse--
		return 0, &plat.OutageError{Operation: "append", Status: 503}
	}
	offset := int64(len(l.entries) + 1)
	l.entries = append(l.entries, plat.Entry{Offset: offset, Data: data})
	close(l.grown)
	l.grown = make(chan struct{})
	if l.lose > 0 {
		l.lose--
		return 0, &plat.OutageError{Operation: "append", Status: 504}
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (plat.Page, error) {
	l.mu.Lock()
	grown := l.grown
	page := plat.Page{First: 1, Next: int64(len(l.entries) + 1)}
	if from < page.Next {
		page.Entries = l.entries[from-1:]
	}
	l.mu.Unlock()
	if len(page.Entries) > 0 || wait == 0 {
		return page, nil
	}
	select {
	case <-grown:
	case <-ctx.Done():
	}
	return page, ctx.Err()
}

// start runs a writer and a tail over the log until the test ends.
func start(t *testing.T, log *fakeLog, id string) (*Writer, *State) {
	t.Helper()
	w := NewWriter(log, plat.StateStream, id, WithInterval(time.Millisecond))
	w.retry = time.Millisecond
	s := NewState(w)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
	go NewTail(log, plat.StateStream, s).Run(ctx)
	return w, s
}

func teamChange(name string, expect int64, limit int) record.Change {
	team := fleet.Team{Name: name, Partner: "sibiu", Share: 1, Limit: limit}
	return record.Change{Operator: name, Puts: []record.Put{record.PutOf(team, expect)}}
}

func TestLostAnswersAndOutagesTakeEffectOnce(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{grown: make(chan struct{}), refuse: 3, lose: 2}
	w, s := start(t, log, "a")
	is.NoErr(w.Await(context.Background(), teamChange("carvers", 0, 5)))
	team, ok := s.Tables().Teams.Get("carvers")
	is.True(ok)
	is.Equal(team.Limit, 5)
	is.NoErr(w.Await(context.Background(), teamChange("carvers", team.Version, 6)))
	team, _ = s.Tables().Teams.Get("carvers")
	is.Equal(team.Limit, 6) // an older copy that came late changes nothing
}

func TestRacingOperatorsResolveAlikeEverywhere(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{grown: make(chan struct{})}
	a, sa := start(t, log, "a")
	b, sb := start(t, log, "b")
	verdicts := make(chan error, 2)
	go func() { verdicts <- a.Await(context.Background(), teamChange("carvers", 0, 5)) }()
	go func() { verdicts <- b.Await(context.Background(), teamChange("carvers", 0, 9)) }()
	first, second := <-verdicts, <-verdicts
	lost := errors.Join(first, second)
	var stale *fold.StaleError
	is.True(errors.As(lost, &stale))
	is.True((first == nil) != (second == nil)) // exactly one wins
	is.Equal(stale.Winner, "carvers")
	for sa.Tables().Offset() != sb.Tables().Offset() {
		time.Sleep(time.Millisecond)
	}
	ta, _ := sa.Tables().Teams.Get("carvers")
	tb, _ := sb.Tables().Teams.Get("carvers")
	is.Equal(ta, tb)
}

func TestBoundedWhileTheLogIsDown(t *testing.T) {
	is := is.New(t)
	w := NewWriter(&fakeLog{}, plat.StateStream, "a", WithMaxPending(2))
	for range 2 {
		_, err := w.Submit(record.Renew{}, func(error) {})
		is.NoErr(err)
	}
	_, err := w.Submit(record.Renew{}, func(error) {})
	var full *FullError
	is.True(errors.As(err, &full))
}

func TestCancelledRecordIsNotAppended(t *testing.T) {
	is := is.New(t)
	w := NewWriter(&fakeLog{}, plat.StateStream, "a")
	ticket, err := w.Submit(record.Renew{}, func(error) {})
	is.NoErr(err)
	is.True(ticket.Cancel())
	_, ok := w.next()
	is.True(!ok)
}
