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
	unreadyFor  = 2600 * time.Millisecond
	drainMargin = 700 * time.Millisecond // before the process would be killed
	// handoverMargin is what handing duties over takes while the store is away, a call to it
	// and one to each of some entry VMs that may be silent, and the last answers.
	handoverMargin = 1800 * time.Millisecond
	// keepDutiesEvery separates looks at whether the store is back.
	keepDutiesEvery = 50 * time.Millisecond
)

// keepDuties waits while the store is away, for as long as the shutdown allows: duties can't
// be handed over without it, and what waits in this VM's cells would stand still.
func (n *Node) keepDuties(began time.Duration) {
	until := began + n.settings.ShutdownTimeout - drainMargin - handoverMargin
	for n.reach.storeAway.Load() && n.clock.Now() < until {
		sleep.For(context.Background(), keepDutiesEvery)
	}
}

// leave hands its duties over, at once unless the store is away, and goes on answering
// until the balancer has noticed; connections are closed after their present answer.
func (n *Node) leave(callers *http.Server, stopElecting func()) error {
	began := n.clock.Now()
	n.leaving.Store(true)
	n.log.Info("leaving", "within", n.settings.ShutdownTimeout.String())
	n.keepDuties(began)
	stopElecting()
	n.duties.wg.Wait()
	n.log.Info("duties handed over", "took", (n.clock.Now() - began).String())
	callers.SetKeepAlivesEnabled(false)
	sleep.For(context.Background(), min(unreadyFor, n.settings.ShutdownTimeout/2)-(n.clock.Now()-began))
	left := n.settings.ShutdownTimeout - drainMargin - (n.clock.Now() - began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	return callers.Shutdown(ctx)
}
