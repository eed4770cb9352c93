package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
)

// Times of a graceful shutdown. The balancer probes readiness once a second and sends new
// connections elsewhere after two failed probes; until then they must be answered.
const (
	unreadyPeriod = 2600 * time.Millisecond
	drainMargin   = 700 * time.Millisecond // left before the process would be killed
	// handoverMargin is the time that a hand-over of duties takes while the store is
	// unreachable: a call to the store, one to each of several entry VMs that may not
	// answer, and the last answers to callers.
	handoverMargin = 1800 * time.Millisecond
	// storePollInterval separates checks of whether the store is reachable again.
	storePollInterval = 50 * time.Millisecond
)

// awaitStore waits while the store is unreachable, for as long as the shutdown allows:
// duties can't be handed over without the store, and jobs in this VM's cells would stall.
func (n *Node) awaitStore(startedAt time.Duration) {
	until := startedAt + n.settings.ShutdownTimeout - drainMargin - handoverMargin
	for n.reach.storeUnreachable.Load() && n.clock.Now() < until {
		sleep.For(context.Background(), storePollInterval)
	}
}

// shutDown hands this entry VM's duties over, at once unless the store is unreachable, and
// goes on answering callers until the balancer has stopped sending new connections.
// Connections are closed after their current answer.
func (n *Node) shutDown(callers *http.Server, stopElections func()) error {
	startedAt := n.clock.Now()
	n.shuttingDown.Store(true)
	n.log.Info("leaving", "within", n.settings.ShutdownTimeout.String())
	n.awaitStore(startedAt)
	stopElections()
	n.duties.wg.Wait()
	n.log.Info("duties handed over", "took", (n.clock.Now() - startedAt).String())
	callers.SetKeepAlivesEnabled(false)
	sleep.For(context.Background(), min(unreadyPeriod, n.settings.ShutdownTimeout/2)-(n.clock.Now()-startedAt))
	left := n.settings.ShutdownTimeout - drainMargin - (n.clock.Now() - startedAt)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	return callers.Shutdown(ctx)
}
