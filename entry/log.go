package entry

import (
	"io"
	"log/slog"
)

// levels maps the values of the setting --log-level to levels.
var levels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// Logger returns a logger that writes to w with the format and the level of the settings.
func (s *Settings) Logger(w io.Writer) *slog.Logger {
	o := &slog.HandlerOptions{Level: levels[s.LogLevel], ReplaceAttr: plainErrors}
	if s.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}

// plainErrors logs only the message of an error. The text handler would add the stack trace
// that wrapped errors carry.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
