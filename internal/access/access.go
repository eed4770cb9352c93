// Package access decides who may ask and who may order. Operators carry
// tokens; the system keeps only their hashes.
package access

import (
	"net/http"
)

// Role is what an operator may do. A greater role includes the lesser ones.
type Role int8

// The roles.
const (
	// RoleView may ask questions and read the audit trail.
	RoleView Role = iota + 1
	// RoleOperate may give orders as well.
	RoleOperate
	// RoleConfigure may change the declaration as well.
	RoleConfigure
)

// String returns the role as token files have it.
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

// ParseRole turns the word of a token file into a Role.
func ParseRole(s string) (Role, bool) {
	for _, r := range []Role{RoleView, RoleOperate, RoleConfigure} {
		if r.String() == s {
			return r, true
		}
	}
	return 0, false
}

// Identity is who a request comes from.
type Identity struct {
	Name string
	Role Role
}

// Error reports a request that is not let in. It never holds any part of a
// token.
type Error struct {
	Known  bool // the operator is known and lacks the role
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return e.Detail }

// Gate lets requests in. Its error is an *Error.
type Gate interface {
	Admit(r *http.Request, need Role) (Identity, error)
}

// Open is the Gate of a deployment without tokens, as on loopback: everyone
// may do everything under the name they give.
type Open struct {
	// NameHeader is the header with the name.
	NameHeader string
}

// Admit implements Gate.
func (o Open) Admit(r *http.Request, _ Role) (Identity, error) {
	name := r.Header.Get(o.NameHeader)
	if name == "" {
		name = "anonymous"
	}
	return Identity{Name: name + " (unverified)", Role: RoleConfigure}, nil
}
