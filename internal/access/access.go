// Package access authenticates operators and checks their roles. Operators
// present bearer tokens, of which the system stores only the hashes. The package
// also provides the TLS configurations of listeners and their clients.
package access

import (
	"net/http"
)

// Role is the set of permissions of an operator. A greater role includes the
// permissions of the lesser ones; the zero value has none.
type Role int8

// The roles.
const (
	// RoleView permits queries and reading the audit trail.
	RoleView Role = iota + 1
	// RoleOperate also permits orders, which are commands on VMs, waves and jobs.
	RoleOperate
	// RoleConfigure also permits changes of the declaration, which is the
	// configuration of the whole fleet.
	RoleConfigure
)

// String returns the role as it is written in token files.
func (r Role) String() string {
	switch r {
	case RoleView:
		return "view"
	case RoleOperate:
		return "operate"
	case RoleConfigure:
		return "configure"
	}
	return "none"
}

// ParseRole parses a role as written in token files. It returns false if there
// is no such role.
func ParseRole(s string) (Role, bool) {
	for _, r := range []Role{RoleView, RoleOperate, RoleConfigure} {
		if r.String() == s {
			return r, true
		}
	}
	return 0, false
}

// Identity identifies the operator who sent a request.
type Identity struct {
	Name string
	Role Role
}

// Error reports a request that was refused. It never contains any part of a
// token.
type Error struct {
	Authenticated bool // the operator was authenticated but lacks the required role
	Detail        string
}

// Error implements error.
func (e *Error) Error() string { return e.Detail }

// Authorizer authenticates operators and checks their roles.
type Authorizer interface {
	// Authorize returns the operator who sent the request. It returns an *Error if
	// the operator is not known or has a lesser role than need.
	Authorize(r *http.Request, need Role) (Identity, error)
}

// Unauthenticated is the Authorizer of a deployment without tokens, such as one
// on loopback. It gives every request all permissions, under the name that the
// request states.
type Unauthenticated struct {
	// NameHeader is the request header that contains the operator's name.
	NameHeader string
}

// Authorize implements Authorizer.
func (o Unauthenticated) Authorize(r *http.Request, _ Role) (Identity, error) {
	name := r.Header.Get(o.NameHeader)
	if name == "" {
		name = "anonymous"
	}
	return Identity{Name: name + " (unverified)", Role: RoleConfigure}, nil
}
