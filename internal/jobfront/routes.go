// Package jobfront handles callers' requests on every entry VM: it finds the queue of a request,
// checks its key, and submits, queries and cancels jobs, whichever entry VM owns the cell, or
// while none does.
package jobfront

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// Route maps requests with a host and a path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  string
}

// Config is the operator's configuration in the form that entry VMs use and exchange.
type Config struct {
	engine.Declared
	Routes []Route
	Keys   workspace.Keys
}

// Routes finds the queue of a request by its host and path. The zero value has no routes.
type Routes struct {
	byHost map[string][]Route // longest prefix first
}

// NewRoutes returns an index of the routes.
func NewRoutes(routes []Route) *Routes {
	r := &Routes{byHost: make(map[string][]Route)}
	for _, route := range routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	for _, list := range r.byHost {
		slices.SortFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return r
}

// Find returns the queue whose route has the longest prefix of the path, and the path after
// that prefix; ok is false if no route matches.
func (r *Routes) Find(host, path string) (queue, rest string, ok bool) {
	for _, route := range r.byHost[host] {
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route.Queue, rest, true
		}
	}
	return "", "", false
}
