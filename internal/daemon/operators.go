package daemon

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/jobs/jobsapi"
	"github.com/pumicestage/pumicestage/internal/jobs/jobsport"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/operator/wiring"
)

// accessGate returns the access control of the operator port. Without a tokens
// file, everybody is allowed everything.
func (d *Daemon) accessGate() (access.Authorizer, error) {
	if d.settings.TokensFile == "" {
		return access.Unauthenticated{NameHeader: api.HeaderOperator}, nil
	}
	tokens, err := access.NewTokens(d.settings.TokensFile, clockwork.NewRealClock(), d.log.WithName("access"))
	return tokens, trace.Wrap(err)
}

// warnInsecureListeners logs an error for each listener that is reachable from
// beyond loopback without TLS, and for such an operator port without tokens.
func (d *Daemon) warnInsecureListeners() {
	for _, l := range []struct {
		name    string
		address string
		tls     bool
	}{
		{"callers", d.settings.Callers.Listen, d.settings.Callers.TLS()},
		{"operators", d.settings.Operators.Listen, d.settings.Operators.TLS()},
		{"peers", d.settings.Peers.Listen, d.settings.Peers.TLS()},
	} {
		if !l.tls && access.Exposed(l.address) {
			d.log.Error(nil, "LISTENER WITHOUT TLS is reachable from other hosts", "listener", l.name, "address", l.address)
		}
	}
	if d.settings.TokensFile == "" && access.Exposed(d.settings.Operators.Listen) {
		d.log.Error(nil, "OPERATOR PORT WITHOUT TOKENS: anyone who can connect to it may run every command", "address", d.settings.Operators.Listen)
	}
}

// wireOperators creates the operator API and its HTTP handler.
func (d *Daemon) wireOperators() error {
	gate, err := d.accessGate()
	if err != nil {
		return err
	}
	d.port = wiring.New(wiring.Options{
		Self:       d.self,
		Store:      d.store,
		View:       d.view,
		Fleet:      d.fleet,
		Mesh:       d.mesh,
		Acks:       d.registry,
		Health:     d.prober.Health,
		Jobs:       jobsport.CommandAdapter{Executor: d.jobs},
		JobQueries: jobsport.QueryAdapter{Executor: d.jobs},
		Access:     gate,
		Log:        d.log.WithName("operator"),
	})
	api := jobsapi.New(jobsapi.Options{Jobs: d.jobs, Access: gate, Trail: d.port.Trail, Log: d.log.WithName("jobs")})
	r := mux.NewRouter()
	d.addProbes(r)
	r.HandleFunc("/debug/vars", d.vars).Methods(http.MethodGet)
	r.PathPrefix(jobsapi.Prefix).Handler(api)
	r.PathPrefix("/").Handler(d.port.Handler)
	d.operatorHandler = r
	return nil
}
