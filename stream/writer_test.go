package stream

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/logapi"
	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/state"
)

// fakeLog is a log in memory that can fail appends.
type fakeLog struct {
	mu      sync.Mutex
	entries []logapi.Entry
	// failAppends is how many of the next appends fail without effect; loseReplies is how many of those after them take effect but return an error.
	failAppends int
	loseReplies int
	appended    chan struct{}
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failAppends > 0 {
		l.failAppends--
		return 0, &logapi.CallError{Operation: "append", Status: 503}
	}
	offset := int64(len(l.entries) + 1)
	l.entries = append(l.entries, logapi.Entry{Offset: offset, Data: data})
	close(l.appended)
	l.appended = make(chan struct{})
	if l.loseReplies > 0 {
		l.loseReplies--
		return 0, &logapi.CallError{Operation: "append", Status: 504}
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (logapi.Page, error) {
	l.mu.Lock()
	appended := l.appended
	page := logapi.Page{First: 1, Next: int64(len(l.entries) + 1)}
	if from < page.Next {
		page.Entries = l.entries[from-1:]
	}
	l.mu.Unlock()
	if len(page.Entries) > 0 || wait == 0 {
		return page, nil
	}
	select {
	case <-appended:
	case <-ctx.Done():
	}
	return page, ctx.Err()
}

// startWriterAndTail runs a writer and a tail over the log until the test ends.
func startWriterAndTail(t *testing.T, log *fakeLog, id string) (*Writer, *State) {
	t.Helper()
	w := NewWriter(log, logapi.StateStream, id, WithAppendInterval(time.Millisecond))
	w.retryDelay = time.Millisecond
	s := NewState(w)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
	go NewTail(log, logapi.StateStream, s).Run(ctx)
	return w, s
}

func newTeamChange(name string, expect int64, limit int) record.Change {
	team := fleet.Team{Name: name, Partner: "sibiu", Share: 1, Limit: limit}
	return record.Change{Operator: name, Puts: []record.Put{record.NewPut(team, expect)}}
}

// TestRetriedAppendTakesEffectOnce covers appends that fail, and appends that take effect although the writer gets an
// error. The retry of the latter puts a second copy of the batch into the log, which could undo a later change if a
// reader applied it.
func TestRetriedAppendTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{appended: make(chan struct{}), failAppends: 3, loseReplies: 2}
	w, s := startWriterAndTail(t, log, "a")
	is.NoErr(w.SubmitAndWait(context.Background(), newTeamChange("carvers", 0, 5)))
	team, ok := s.Tables().Teams.Get("carvers")
	is.True(ok)
	is.Equal(team.Limit, 5)
	is.NoErr(w.SubmitAndWait(context.Background(), newTeamChange("carvers", team.Version, 6)))
	team, _ = s.Tables().Teams.Get("carvers")
	is.Equal(team.Limit, 6) // a late duplicate of the first append has no effect
}

// TestConcurrentChangesHaveSameResultInAllReaders covers two operators who create the same row through different
// processes. If both changes were accepted, one would be overwritten without notice; if the processes accepted
// different ones, their configurations would differ for good.
func TestConcurrentChangesHaveSameResultInAllReaders(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{appended: make(chan struct{})}
	a, sa := startWriterAndTail(t, log, "a")
	b, sb := startWriterAndTail(t, log, "b")
	results := make(chan error, 2)
	go func() { results <- a.SubmitAndWait(context.Background(), newTeamChange("carvers", 0, 5)) }()
	go func() { results <- b.SubmitAndWait(context.Background(), newTeamChange("carvers", 0, 9)) }()
	first, second := <-results, <-results
	joined := errors.Join(first, second)
	var conflict *state.ConflictError
	is.True(errors.As(joined, &conflict))
	is.True((first == nil) != (second == nil)) // exactly one change is accepted
	is.Equal(conflict.ChangedBy, "carvers")
	for sa.Tables().Offset() != sb.Tables().Offset() {
		time.Sleep(time.Millisecond)
	}
	ta, _ := sa.Tables().Teams.Get("carvers")
	tb, _ := sb.Tables().Teams.Get("carvers")
	is.Equal(ta, tb)
}

// TestSubmitFailsWhenTooManyRecordsArePending guards the memory of a process: while the log is unavailable, pending
// records would accumulate without bound.
func TestSubmitFailsWhenTooManyRecordsArePending(t *testing.T) {
	is := is.New(t)
	w := NewWriter(&fakeLog{}, logapi.StateStream, "a", WithMaxPending(2))
	for range 2 {
		_, err := w.Submit(record.Renew{}, func(error) {})
		is.NoErr(err)
	}
	_, err := w.Submit(record.Renew{}, func(error) {})
	var full *FullError
	is.True(errors.As(err, &full))
}

// TestCancelledRecordIsNotAppended checks that a record has no effect after Cancel returned true; its caller has by then reported a failure.
func TestCancelledRecordIsNotAppended(t *testing.T) {
	is := is.New(t)
	w := NewWriter(&fakeLog{}, logapi.StateStream, "a")
	submission, err := w.Submit(record.Renew{}, func(error) {})
	is.NoErr(err)
	is.True(submission.Cancel())
	_, ok := w.nextBatch()
	is.True(!ok)
}
