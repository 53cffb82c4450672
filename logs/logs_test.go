package logs

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// failingStream fails every write.
type failingStream struct{}

func (failingStream) Write([]byte) (int, error) { return 0, errors.New("closed") }

// TestFailedWritesCountEachLine guards against a count of lost lines that is too low: lines are written in batches, and a failed batch counted as one line.
func TestFailedWritesCountEachLine(t *testing.T) {
	is := is.New(t)
	w := NewWriter(failingStream{})
	for range 10 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	w.Close()
	is.Equal(w.Dropped(), int64(10))
}
