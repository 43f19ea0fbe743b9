package entry

import (
	"io"
	"log/slog"
)

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// Logger returns the log that the settings ask for.
func (s *Settings) Logger(w io.Writer) *slog.Logger {
	o := &slog.HandlerOptions{Level: levels[s.LogLevel], ReplaceAttr: plainErrors}
	if s.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}

// plainErrors logs an error by its message only: the text handler would print the stack that
// wrapped errors carry.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
