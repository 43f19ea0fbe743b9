package hosted

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

// logBufferLines is the largest number of lines that wait to be written.
const logBufferLines = 2048

// LogWriter writes log lines in the background. Write never blocks: a line that arrives while the
// buffer is full is dropped and counted.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewLogWriter returns a LogWriter that writes to w. Close stops it.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{out: w, lines: make(chan []byte, logBufferLines)}
	l.done.Go(l.run)
	return l
}

// Write queues a copy of one line, or drops it if the buffer is full. It never fails.
func (l *LogWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped, plus one for each write that failed.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines and stops the writer. Write must not be called afterwards. Close
// always returns nil.
func (l *LogWriter) Close() error {
	close(l.lines)
	l.done.Wait()
	return nil
}

// run writes the queued lines. It joins lines that wait at the same time into one write, since
// each write has a cost.
func (l *LogWriter) run() {
	for line := range l.lines {
		batch := line
		for more := true; more && len(batch) < 32<<10; {
			select {
			case next, ok := <-l.lines:
				if !ok {
					more = false
					break
				}
				batch = append(batch, next...)
			default:
				more = false
			}
		}
		if _, err := l.out.Write(batch); err != nil {
			l.dropped.Add(1)
		}
	}
}

// NewLogger returns a logger that writes JSON lines of the given level and above to w.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}))
}

// plainErrors replaces an error attribute by the error's message, which leaves out the stack trace
// that wrapped errors carry.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
