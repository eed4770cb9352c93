package daemon

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/settings"
)

// NewLogger returns the daemon's logger: logr over slog, in text or JSON.
func NewLogger(w io.Writer, s *settings.Settings) logr.Logger {
	opts := &slog.HandlerOptions{Level: s.LogLevel}
	var h slog.Handler = slog.NewTextHandler(w, opts)
	if s.LogJSON {
		h = slog.NewJSONHandler(w, opts)
	}
	return logr.FromSlogHandler(h).WithValues("entry", s.ID, "zone", s.Zone)
}
