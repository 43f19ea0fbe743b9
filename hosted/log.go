package hosted

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

// logLines bounds the lines that wait to be written.
const logLines = 2048

// LogWriter writes lines in the background. It never blocks: lines that find the buffer full
// are dropped and counted.
type LogWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewLogWriter returns a writer to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{to: w, lines: make(chan []byte, logLines)}
	l.done.Go(l.run)
	return l
}

// Write takes one line.
func (l *LogWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Close writes what waits. No line may be written after it.
func (l *LogWriter) Close() error {
	close(l.lines)
	l.done.Wait()
	return nil
}

// run writes the lines that wait together, since each write is paid for.
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
		if _, err := l.to.Write(batch); err != nil {
			l.dropped.Add(1)
		}
	}
}

// NewLogger returns a logger of JSON lines to w.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}))
}

// plainErrors logs an error by its message only, without the stack that wrapped errors carry.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
