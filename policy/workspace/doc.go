// Package workspace decides what concerns the workspaces that callers work for: to which
// workspace a call belongs, and how much of a workspace's limit each cell may use. A cell is a
// service's workers and the jobs on them; the owner of one cell does not see what runs in others.
//
// Load patterns: a burst of calls with unknown keys; a workspace that needs its whole limit in one
// cell while it is idle in the others; several cells that together need more of one limit than
// there is. Without the decisions made here the first costs a read of the store for each call, the
// second runs only a part of what it could, and in the third the cell that came first keeps the
// whole limit.
package workspace

import "github.com/pumicestage/pumicestage/policy/work"

// Workspace is a workspace as the operator declares it.
type Workspace struct {
	Name work.WorkspaceName `msgpack:"n"`
	// Weight is the workspace's share relative to others where there is not enough capacity for
	// all.
	Weight int `msgpack:"w,omitempty"`
	// Limit bounds what the workspace may have running in all cells together. A kind of resource
	// that is 0 has no limit.
	Limit work.Resources `msgpack:"l"`
}
