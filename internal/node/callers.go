package node

import (
	"net"
	"net/http"
	"syscall"

	"github.com/pumicestage/pumicestage/internal/guard"
)

// maxConns returns the maximum number of callers' connections.
func (l *CallerLimits) maxConns() int {
	if l.MaxConns > 0 {
		return l.MaxConns
	}
	return max(1, l.descriptors()/callersOfDescriptor)
}

// descriptors returns how many descriptors the process may have open.
func (l *CallerLimits) descriptors() int {
	if l.Descriptors > 0 {
		return l.Descriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

const (
	// fallbackDescriptors is the usual limit of a process on Linux.
	fallbackDescriptors = 1024
	// maxDescriptors stands for no limit.
	maxDescriptors = 1 << 20
)

// callersMemory returns how many bytes callers can make the process hold.
func (s *Settings) callersMemory() int64 {
	return int64(s.CallerLimits.MemoryShare * float64(s.MemoryMB<<20))
}

// guarded returns the listener under the limits of callers. Its connections beyond the callers' are few
// and have their memory reserved, so that callers can't keep probes away.
func (n *Node) guarded(l net.Listener, name string) *guard.Listener {
	o := guard.ListenerOptions{
		Name: name, Limits: n.settings.CallerLimits.Limits, Budget: n.budget, MaxConns: n.settings.CallerLimits.MaxReadyConns,
		Reserved: true, Log: n.log.WithName(name),
	}
	switch name {
	case callersListener:
		o.MaxConns, o.Reserved = n.settings.CallerLimits.maxConns(), false
	case metricsListener:
		o.MaxConns = max(1, o.MaxConns/metricsPart)
	}
	out := guard.NewListener(l, o)
	n.metrics.listeners.Set(name, out.Metrics())
	return out
}

// metricsPart is how many connections of probes there may be for each reader of the metrics.
const metricsPart = 16

// Names of listeners in logs and metrics.
const (
	callersListener = "callers"
	readyListener   = "readiness"
	metricsListener = "metrics"
)

// serve serves the handler on the listener under the limits of callers, and sends the error with which
// that ends.
func (n *Node) serve(srv *http.Server, l *guard.Listener, failed chan<- error) {
	l.Apply(srv)
	go func() { failed <- srv.Serve(l) }()
}
