// Package api holds the bodies of the operators' HTTP interface, shared by
// server and client.
package api

import (
	"time"

	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/policy/model"
)

// The paths.
const (
	PathDeclaration = "/v1/declaration"
	PathInForce     = "/v1/declaration/in-force"
	PathQuery       = "/v1/query"
	PathDo          = "/v1/do"
	PathAudit       = "/v1/audit"
	PathStatus      = "/v1/status"
)

// MaxBodyBytes bounds a request's body: a declaration fits the store's 1 MB,
// its JSON on the way here is a little longer than in the store.
const MaxBodyBytes = 4 << 20

// HeaderOperator names the operator where the deployment has no tokens; it is
// taken on trust and marked so in the audit trail.
const HeaderOperator = "Pumicestage-Operator"

// ContentProblem is the media type of an error's body.
const ContentProblem = "application/problem+json"

// DeclarationReply is the declaration in force.
type DeclarationReply struct {
	Declaration *model.Declaration `json:"declaration"` // nil before the first
	Applied     config.Applied     `json:"applied"`
	Revision    infra.Revision     `json:"revision"`
}

// DeclarationMode is what is to be done with a declaration.
type DeclarationMode string

// The modes of a DeclarationRequest.
const (
	ModeCheck DeclarationMode = "check"
	ModeDiff  DeclarationMode = "diff"
	ModeApply DeclarationMode = "apply"
)

// DeclarationRequest sends a whole declaration.
type DeclarationRequest struct {
	Mode           DeclarationMode    `json:"mode"`
	Declaration    *model.Declaration `json:"declaration"`
	Change         model.ChangeID     `json:"change,omitempty"`
	IfGeneration   *uint64            `json:"ifGeneration,omitempty"`
	ConfirmRemoval bool               `json:"confirmRemoval,omitempty"`
}

// ChangeReply is what became, or would become, of a declaration.
type ChangeReply struct {
	Generation uint64              `json:"generation"`
	Current    uint64              `json:"current"`
	Unchanged  bool                `json:"unchanged"`
	Repeated   bool                `json:"repeated"`
	Differ     []config.Difference `json:"differ"`
	// Broken are the budgets that removals break, for ModeDiff.
	Broken  []config.BrokenBudget `json:"broken,omitempty"`
	Warning string                `json:"warning,omitempty"`
}

// InForceReply says which live entry VMs hold a generation.
type InForceReply struct {
	Generation uint64         `json:"generation"`
	Zones      []ZoneInForce  `json:"zones"`
	Missing    []MissingEntry `json:"missing"`
}

// ZoneInForce counts the entry VMs of a zone that hold the generation.
type ZoneInForce struct {
	Zone model.ZoneName `json:"zone"`
	Have int            `json:"have"`
	Live int            `json:"live"`
}

// MissingEntry is an entry VM that does not hold the generation yet, as far as
// the one that answers hears.
type MissingEntry struct {
	Entry model.EntryID  `json:"entry"`
	Zone  model.ZoneName `json:"zone"`
}

// QueryRequest asks one question.
type QueryRequest struct {
	Text        string             `json:"text"`
	Declaration *model.Declaration `json:"declaration,omitempty"`
}

// QueryReply is the answer.
type QueryReply = query.Answer

// DoRequest gives one order.
type DoRequest struct {
	Text       string         `json:"text"`
	Change     model.ChangeID `json:"change"`
	IfRevision infra.Revision `json:"ifRevision,omitempty"`
}

// DoReply is what became of an order.
type DoReply struct {
	Change  model.ChangeID `json:"change"`
	Effects []Effect       `json:"effects"`
	Refused int            `json:"refused"`
	Warning string         `json:"warning,omitempty"`
}

// Effect is what an order did to one thing.
type Effect struct {
	What     string         `json:"what"`
	Before   string         `json:"before,omitempty"`
	After    string         `json:"after,omitempty"`
	Revision infra.Revision `json:"revision,omitempty"`
	Refused  string         `json:"refused,omitempty"`
}

// AuditReply is a part of the trail.
type AuditReply struct {
	Entries []audit.Entry `json:"entries"`
	More    bool          `json:"more"` // older ones were left out
}

// StatusReply is how the entry VM that answers stands.
type StatusReply struct {
	Now  time.Time      `json:"now"`
	View query.ViewInfo `json:"view"`
}

// Code is what kind of error a Problem is; callers switch on it.
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

// Problem is an error's body, an RFC 9457 problem document.
type Problem struct {
	Title    string                `json:"title"`
	Status   int                   `json:"status"`
	Detail   string                `json:"detail"`
	Code     Code                  `json:"code"`
	Reason   string                `json:"reason,omitempty"` // of a refusal: "budget", "conflict", ...
	Winner   *config.Applied       `json:"winner,omitempty"`
	Differ   []config.Difference   `json:"differ,omitempty"`
	Problems []config.Problem      `json:"problems,omitempty"`
	Broken   []config.BrokenBudget `json:"broken,omitempty"`
}
