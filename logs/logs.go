package logs

import (
	"bytes"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxPendingBytes bounds the total size of the lines that are not yet written to the stream.
const maxPendingBytes = 256 << 10

// maxLinesPerSecond bounds the log volume; a process on a small host writes about 100 lines a second at full load.
const maxLinesPerSecond = 500

// Writer writes lines to a stream from a goroutine of its own, so that a slow stream does not block callers.
type Writer struct {
	out io.Writer

	mu              sync.Mutex
	wake            *sync.Cond
	pending         []byte
	currentSecond   int64
	linesThisSecond int
	dropped         int64
	closed          bool
	done            chan struct{}
}

// NewWriter returns a writer to the stream; Close must be called to stop it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues a line or drops it; it never waits for the stream and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := time.Now().Unix(); second != w.currentSecond {
		w.currentSecond, w.linesThisSecond = second, 0
	}
	w.linesThisSecond++
	if w.closed || w.linesThisSecond > maxLinesPerSecond || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.wake.Signal()
	return len(line), nil
}

// Sync does nothing, because lines are written in the background.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped; a failed write to the stream counts as all lines that it holds.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes all pending lines and stops the writer; lines written later are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.wake.Signal()
	w.mu.Unlock()
	<-w.done
}

// run writes the pending lines to the stream until the writer is closed and nothing is pending. The slices of batch and
// pending are swapped, so that both arrays are reused.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for {
		w.mu.Lock()
		for len(w.pending) == 0 && !w.closed {
			w.wake.Wait()
		}
		batch, w.pending = w.pending, batch[:0]
		ended := w.closed && len(batch) == 0
		w.mu.Unlock()
		if ended {
			return
		}
		if _, err := w.out.Write(batch); err != nil {
			// The stream is the only place to report errors, so a failed write is only counted.
			w.mu.Lock()
			w.dropped += int64(bytes.Count(batch, []byte("\n")))
			w.mu.Unlock()
		}
	}
}

// NewLogger returns a logger that writes JSON lines to the writer.
func NewLogger(w *Writer) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.EpochMillisTimeEncoder
	encoding.CallerKey = zapcore.OmitKey
	encoding.StacktraceKey = zapcore.OmitKey
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), w, zap.InfoLevel))
}
