package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/sleep"
)

// notReadyPeriod is how long an entry VM that shuts down still accepts requests
// after /readyz reports it as not ready. Load balancers query /readyz about
// once a second; without this period, those that have not yet queried it would
// send requests to a closed port.
const notReadyPeriod = 2 * time.Second

// shutDown lets requests in flight finish. During notReadyPeriod, the next
// response on each keep-alive connection asks the caller to close it. Closing
// idle connections at once would race with a request already in transit, which
// would then fail for its caller. It returns an error if requests are still in
// flight at the end of the drain timeout.
func (d *Daemon) shutDown(callers *http.Server) error {
	d.ready.Store(false)
	d.log.Info("shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain)
	defer cancel()
	go func() {
		select {
		case <-d.killed:
			cancel()
		case <-ctx.Done():
		}
	}()
	sleep.For(ctx, notReadyPeriod)
	if err := d.entry.Drain(ctx); err != nil {
		return trace.Wrap(err, "requests still in flight after %s", d.settings.Drain)
	}
	if err := callers.Shutdown(ctx); err != nil {
		return trace.Wrap(err)
	}
	d.log.Info("shut down, no requests in flight")
	return nil
}

// closeConnectionsOnShutdown asks callers to close their connection while this
// entry VM is not ready, so that they open the next one to another entry VM.
func (d *Daemon) closeConnectionsOnShutdown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.ready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// auditFlushTimeout bounds how long shutdown waits until the audit trail is
// written: the platform may be down.
const auditFlushTimeout = 3 * time.Second

// flushAuditTrail writes the audit entries that are not stored yet.
func (d *Daemon) flushAuditTrail() {
	ctx, cancel := context.WithTimeout(context.Background(), auditFlushTimeout)
	defer cancel()
	if err := d.port.Trail.Flush(ctx); err != nil {
		d.log.Error(err, "cannot write all audit entries before shutdown")
	}
}
