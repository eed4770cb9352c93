// Package workspace decides what belongs to the workspaces that callers work for: whose a
// call is, and how much of its limit each cell may use. No owner of a cell sees what runs in
// the others.
//
// Load patterns: a burst of calls with keys that nobody has; a workspace that asks in one cell
// for all it may have while it is idle in the others; several cells that want more of one
// limit than there is. Without decisions of their own the first costs a read of the store for
// each call, the second runs a part of what it could, and in the third whoever came first keeps
// all of it.
package workspace

import "github.com/pumicestage/pumicestage/policy/work"

// Workspace is one as the operator declares it.
type Workspace struct {
	Name work.WorkspaceName `msgpack:"n"`
	// Weight is its share against others' when there is no room for all.
	Weight int `msgpack:"w,omitempty"`
	// Limit is what it may have running in all cells together; 0 in a kind of resource: any
	// amount of it.
	Limit work.Resources `msgpack:"l"`
}
