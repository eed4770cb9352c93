package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
)

// Times of a graceful shutdown. The balancer takes two misses of a probe a
// second to send new connections elsewhere; until then they must be answered.
const (
	unreadyPeriod = 2600 * time.Millisecond
	drainMargin   = 700 * time.Millisecond // before the process would be killed
	// handoverMargin is what handing duties over takes while the store is away, a call to it
	// and one to each of some entry VMs that may be silent, and the last answers.
	handoverMargin = 1800 * time.Millisecond
	// storePollInterval separates looks at whether the store is back.
	storePollInterval = 50 * time.Millisecond
)

// awaitStore waits while the store is away, for as long as the shutdown allows: duties can't
// be handed over without it, and what waits in this VM's cells would stand still.
func (n *Node) awaitStore(startedAt time.Duration) {
	until := startedAt + n.settings.ShutdownTimeout - drainMargin - handoverMargin
	for n.reach.storeUnreachable.Load() && n.clock.Now() < until {
		sleep.For(context.Background(), storePollInterval)
	}
}

// shutDown hands its duties over, at once unless the store is away, and goes on answering
// until the balancer has noticed; connections are closed after their present answer.
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
