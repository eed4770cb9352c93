// Package jobfront is the callers' path for jobs on every entry VM: which queue
// a request is for, and how a job is accepted, asked about and cancelled
// whichever entry VM owns the workers, or while none does.
package jobfront

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// Route leads requests to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  string
}

// Config is the operator's configuration as entry VMs use it.
type Config struct {
	engine.Declared
	Routes []Route
	Keys   workspace.Keys
}

// Routes finds the queue of a request. The zero value has no routes.
type Routes struct {
	byHost map[string][]Route // longest prefix first
}

// NewRoutes indexes the routes.
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

// Find returns the queue of the longest prefix that the path begins with, and
// the rest of the path.
func (r *Routes) Find(host, path string) (queue, rest string, ok bool) {
	for _, route := range r.byHost[host] {
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route.Queue, rest, true
		}
	}
	return "", "", false
}
