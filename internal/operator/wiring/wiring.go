// Package wiring assembles the operator port of one entry VM, the HTTP server for
// operators. It adapts the fleet, the peers and the waves to the interfaces that
// the packages of orders (command) and queries (query) require.
package wiring

import (
	"net/http"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/operator"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/internal/scope"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Options holds the dependencies of an operator port. All are required but Jobs,
// JobQueries, Access, Trail, Clock and Log.
type Options struct {
	Self       view.EntryRecord
	Store      infra.Store
	View       *view.Holder
	Fleet      *fleet.Fleet
	Mesh       Mesh
	Acks       operator.Acks
	Health     func(model.VMID) model.Health
	Jobs       command.Jobs // carries out orders on jobs
	JobQueries query.Jobs   // answers queries about jobs
	Access     access.Authorizer
	Trail      *audit.Trail    // nil means a new one on Store
	Clock      clockwork.Clock // nil means the real clock
	Log        logr.Logger
}

// Port holds the components of the operator port of one entry VM.
type Port struct {
	Handler  http.Handler // its paths begin with /v1/
	Trail    *audit.Trail // the caller must Flush it before the process ends
	Commands *command.Executor
	Queries  *query.Engine
	Observer *Observer // the caller must Run it, so that automatic changes are audited
}

// New assembles an operator port. It starts nothing.
func New(p Options) *Port {
	if p.Clock == nil {
		p.Clock = clockwork.NewRealClock()
	}
	trail := p.Trail
	if trail == nil {
		trail = audit.New(audit.Options{Store: p.Store, Self: p.Self.ID, Clock: p.Clock, Log: p.Log.WithName("audit")})
	}
	stored := command.DeclarationStore{Store: p.Store, Clock: p.Clock, View: p.View}
	commands := command.New(command.Options{
		Fleet:        Orders{Fleet: p.Fleet},
		Jobs:         p.Jobs,
		Settings:     stored,
		Declarations: stored,
		Scopes:       scope.Resolver{View: p.View},
		Trail:        operator.CommandTrail{Trail: trail},
		Clock:        p.Clock,
	})
	queries := query.New(query.Options{
		View:    p.View,
		Planner: Planner{Fleet: p.Fleet},
		Waves:   Waves{Fleet: p.Fleet},
		Jobs:    p.JobQueries,
		Peers:   Peers{Record: p.Self, Mesh: p.Mesh, View: p.View, Clock: p.Clock},
		History: operator.QueryHistory{Trail: trail},
		Health:  p.Health,
		Clock:   p.Clock,
	})
	handler := operator.New(operator.Options{
		Store: p.Store, View: p.View, Commands: commands, Queries: queries, Trail: trail,
		Acks: p.Acks, Access: p.Access, Clock: p.Clock, Log: p.Log,
	})
	observer := &Observer{Self: p.Self.ID, View: p.View, Waves: p.Fleet, Trail: trail, Clock: p.Clock}
	return &Port{Handler: handler, Trail: trail, Commands: commands, Queries: queries, Observer: observer}
}
