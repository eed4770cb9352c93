package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/sleep"
)

// notice is how long a leaving entry VM goes on taking requests after it has
// said on /readyz that it is not ready. Balancers ask every second or so;
// without the notice those that have not asked yet would meet a closed port.
const notice = 2 * time.Second

// leave lets requests in flight finish. Connections that are kept alive are
// told to close with their next answer during the notice: closing them at once
// would race with a request already on its way, which its caller would see cut.
func (d *Daemon) leave(callers *http.Server) error {
	d.ready.Store(false)
	d.log.Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain)
	defer cancel()
	go func() {
		select {
		case <-d.killed:
			cancel()
		case <-ctx.Done():
		}
	}()
	sleep.For(ctx, notice)
	if err := d.entry.Drain(ctx); err != nil {
		return trace.Wrap(err, "requests still in flight after %s", d.settings.Drain)
	}
	if err := callers.Shutdown(ctx); err != nil {
		return trace.Wrap(err)
	}
	d.log.Info("left, nothing in flight")
	return nil
}

// closeWhenLeaving tells callers to open their next connection elsewhere.
func (d *Daemon) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.ready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// flushLimit bounds how long a leaving daemon waits for the audit trail: the
// platform may be down.
const flushLimit = 3 * time.Second

func (d *Daemon) flushTrail() {
	ctx, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	if err := d.port.Trail.Flush(ctx); err != nil {
		d.log.Error(err, "audit entries not all written")
	}
}
