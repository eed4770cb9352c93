// Package api defines the paths and the request and response bodies of the
// operators' HTTP API, shared by server and client.
package api

import (
	"time"

	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/policy/model"
)

// The paths of the operator API.
const (
	PathDeclaration = "/v1/declaration"
	PathInForce     = "/v1/declaration/in-force"
	PathQuery       = "/v1/query"
	PathDo          = "/v1/do"
	PathAudit       = "/v1/audit"
	PathStatus      = "/v1/status"
)

// MaxBodyBytes bounds a request's body, in bytes. The store's limit for a
// declaration is 1 MB, and its JSON in a request is a little longer than in the
// store.
const MaxBodyBytes = 4 << 20

// HeaderOperator is the request header with the operator's name in a deployment
// without tokens. The name isn't verified and is marked so in the audit trail.
const HeaderOperator = "Pumicestage-Operator"

// ContentProblem is the media type of a Problem, the body of every error response.
const ContentProblem = "application/problem+json"

// DeclarationReply is the declaration in force, with who applied it and its
// revision in the store.
type DeclarationReply struct {
	Declaration *model.Declaration `json:"declaration"` // nil if none was applied yet
	Applied     config.Applied     `json:"applied"`
	Revision    infra.Revision     `json:"revision"`
}

// DeclarationMode is the operation that a DeclarationRequest asks for.
type DeclarationMode string

// The modes of a DeclarationRequest.
const (
	ModeCheck DeclarationMode = "check" // validate it
	ModeDiff  DeclarationMode = "diff"  // compare it with the one in force, a dry run of ModeApply
	ModeApply DeclarationMode = "apply" // put it in force
)

// DeclarationRequest contains a whole declaration to check, compare or apply. If
// IfGeneration isn't nil, the request conflicts unless that generation is in
// force. Without ConfirmRemoval, an apply whose removals violate a budget is
// refused.
type DeclarationRequest struct {
	Mode           DeclarationMode    `json:"mode"`
	Declaration    *model.Declaration `json:"declaration"`
	Change         model.ChangeID     `json:"change,omitempty"`
	IfGeneration   *uint64            `json:"ifGeneration,omitempty"`
	ConfirmRemoval bool               `json:"confirmRemoval,omitempty"`
}

// ChangeReply is the result of applying a declaration or of a dry run.
type ChangeReply struct {
	Generation uint64              `json:"generation"`
	Current    uint64              `json:"current"`
	Unchanged  bool                `json:"unchanged"`
	Repeated   bool                `json:"repeated"`
	Differ     []config.Difference `json:"differ"`
	// Broken lists the budgets that the removal of VMs or services would violate,
	// for ModeDiff.
	Broken  []config.BrokenBudget `json:"broken,omitempty"`
	Warning string                `json:"warning,omitempty"`
}

// InForceReply reports which live entry VMs have a generation of the declaration,
// or a later one, in force.
type InForceReply struct {
	Generation uint64         `json:"generation"`
	Zones      []ZoneInForce  `json:"zones"`
	Missing    []MissingEntry `json:"missing"`
}

// ZoneInForce counts the live entry VMs of a zone (Live) and those of them that
// have the generation in force (Have).
type ZoneInForce struct {
	Zone model.ZoneName `json:"zone"`
	Have int            `json:"have"`
	Live int            `json:"live"`
}

// MissingEntry is an entry VM that doesn't have the generation in force yet, as
// far as the answering entry VM knows from its peers.
type MissingEntry struct {
	Entry model.EntryID  `json:"entry"`
	Zone  model.ZoneName `json:"zone"`
}

// QueryRequest contains one query in the query language. Declaration is the
// declaration that a "what-if declaration" query is about.
type QueryRequest struct {
	Text        string             `json:"text"`
	Declaration *model.Declaration `json:"declaration,omitempty"`
}

// QueryReply is the answer to a QueryRequest.
type QueryReply = query.Answer

// DoRequest contains one order in the command language. Requests with the same
// Change are the same order: it is carried out once. If IfRevision isn't 0, the
// order is refused unless the key that decides it has this revision.
type DoRequest struct {
	Text       string         `json:"text"`
	Change     model.ChangeID `json:"change"`
	IfRevision infra.Revision `json:"ifRevision,omitempty"`
}

// DoReply is the outcome of an order. Refused counts the effects that were
// refused.
type DoReply struct {
	Change  model.ChangeID `json:"change"`
	Effects []Effect       `json:"effects"`
	Refused int            `json:"refused"`
	Warning string         `json:"warning,omitempty"`
}

// Effect is the effect of an order on one object, such as a VM or a wave. Refused
// is the reason of a refusal, empty if the order was carried out.
type Effect struct {
	What     string         `json:"what"`
	Before   string         `json:"before,omitempty"`
	After    string         `json:"after,omitempty"`
	Revision infra.Revision `json:"revision,omitempty"`
	Refused  string         `json:"refused,omitempty"`
}

// AuditReply contains the audit entries that match a request.
type AuditReply struct {
	Entries []audit.Entry `json:"entries"`
	More    bool          `json:"more"` // older entries match too but are left out
}

// StatusReply is the status of the answering entry VM: its clock and its view.
type StatusReply struct {
	Now  time.Time      `json:"now"`
	View query.ViewInfo `json:"view"`
}

// Code is the kind of error of a Problem. Clients compare it.
type Code string

// The codes of a Problem.
const (
	CodeSyntax       Code = "syntax"
	CodeInvalid      Code = "invalid"
	CodeConflict     Code = "conflict"
	CodeRemoval      Code = "removal"
	CodeRefused      Code = "refused"
	CodeNotFound     Code = "not-found"
	CodeUnavailable  Code = "unavailable"
	CodeUnknown      Code = "unknown"
	CodeUnauthorized Code = "unauthorized"
	CodeForbidden    Code = "forbidden"
	CodeTooLarge     Code = "too-large"
	CodeInternal     Code = "internal"
)

// Problem is the body of an error response, an RFC 9457 problem document.
type Problem struct {
	Title    string                `json:"title"`
	Status   int                   `json:"status"`
	Detail   string                `json:"detail"`
	Code     Code                  `json:"code"`
	Reason   string                `json:"reason,omitempty"` // code of a refused order: "budget", "conflict", ...
	Winner   *config.Applied       `json:"winner,omitempty"`
	Differ   []config.Difference   `json:"differ,omitempty"`
	Problems []config.Problem      `json:"problems,omitempty"`
	Broken   []config.BrokenBudget `json:"broken,omitempty"`
}
