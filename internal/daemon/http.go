package daemon

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/pumicestage/pumicestage/internal/settings"
)

const (
	// idlePlatformConns is how many idle connections to each platform host are
	// kept: as many as calls are usually in flight at the same time.
	idlePlatformConns = 16
	// idlePlatformTimeout is how long a connection may be idle; it closes
	// connections that remain after a burst.
	idlePlatformTimeout = 30 * time.Second
)

func platformClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePlatformConns,
		IdleConnTimeout:     idlePlatformTimeout,
	}}
}

func peerDial(dial DialFunc) func(context.Context, string) (net.Conn, error) {
	if dial == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
}

// advertisedAddress returns the address under which others reach the listener.
// If its port is 0, the port that the system chose replaces it.
func advertisedAddress(l settings.Listener, on net.Listener) string {
	host, port, err := net.SplitHostPort(l.Advertise)
	if err != nil || port != "0" {
		return l.Advertise
	}
	_, port, _ = net.SplitHostPort(on.Addr().String())
	return net.JoinHostPort(host, port)
}

func (d *Daemon) callerServer() *http.Server {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	d.addProbes(r)
	r.PathPrefix("/").Handler(d.entry)
	srv := &http.Server{Handler: d.closeConnectionsOnShutdown(r)}
	d.settings.Limits.Apply(srv)
	return srv
}

// addProbes adds the liveness and readiness endpoints that the platform's load
// balancer queries.
func (d *Daemon) addProbes(r *mux.Router) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
}

// viewVars are the metrics of this entry VM's view.
type viewVars struct {
	Generation uint64
	Revision   int64
	AgeSeconds float64
	Watching   bool
	// StoreBehind is set while the platform's store is older than the accepted
	// view, as after a restore from a backup.
	StoreBehind bool
	VMs         int
	Entries     int
}

// vars serves this daemon's metrics in expvar format. They are not published
// in the global expvar registry because several daemons may run in one process.
func (d *Daemon) vars(w http.ResponseWriter, _ *http.Request) {
	s := d.view.Load()
	view := viewVars{
		Generation:  s.Generation(),
		Revision:    int64(s.Revision),
		AgeSeconds:  time.Since(s.AsOf).Seconds(),
		Watching:    d.relay.Watching(),
		StoreBehind: d.relay.StoreBehind(),
		VMs:         len(s.VMs),
		Entries:     len(s.Entries),
	}
	m := new(expvar.Map).Init()
	m.Set("entry", d.entry.Metrics())
	m.Set("peer", expvar.Func(func() any { return d.mesh.Traffic() }))
	m.Set("claims", expvar.Func(func() any { return d.claims.Stats() }))
	m.Set("jobs", expvar.Func(func() any { return d.jobs.Counts() }))
	m.Set("view", expvar.Func(func() any { return view }))
	m.Set("memstats", expvar.Get("memstats"))
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, m.String())
}
