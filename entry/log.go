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
	o := &slog.HandlerOptions{Level: levels[s.LogLevel]}
	if s.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}
