// Package query answers operators' questions from a snapshot of the fleet. It
// is read-only. Every answer reports the age of its view and the zones whose
// entry VMs have not been heard from recently.
package query

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Options configures an Engine. View and Planner are required; the other fields
// may be nil if the deployment lacks that component.
type Options struct {
	View    *view.Holder
	Planner Planner
	Waves   Waves
	Jobs    Jobs
	Peers   Peers
	History History
	// Health returns the result of this entry VM's own health checks of a VM.
	// If nil, the health of every VM is unknown.
	Health func(model.VMID) model.Health
	Clock  clockwork.Clock // the system clock if nil
}

// Engine answers questions. It is safe for concurrent use.
type Engine struct {
	Options
}

// New returns an Engine with the given options and their defaults filled in.
func New(o Options) *Engine {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Health == nil {
		o.Health = func(model.VMID) model.Health { return model.HealthUnknown }
	}
	return &Engine{o}
}

// Answer is the answer to a question. Exactly one of Table, Explanation and
// Forecast is set unless Ask returned an error.
type Answer struct {
	View        ViewInfo     `json:"view"`
	Table       *Table       `json:"table,omitempty"`
	Explanation *Explanation `json:"explanation,omitempty"`
	Forecast    *Forecast    `json:"forecast,omitempty"`
	// Notes describe the limitations of the answer, such as a data source that
	// could not be read.
	Notes []string `json:"notes,omitempty"`
}

// note adds a note unless the text is empty.
func (a *Answer) note(text string) {
	if text != "" {
		a.Notes = append(a.Notes, text)
	}
}

// Table is the answer to a show statement. Each row has one cell per column.
type Table struct {
	Kind    lang.Kind  `json:"kind"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Explanation is the answer to an explain statement: the current state of the
// subject and the reasons for it, oldest first.
type Explanation struct {
	Subject      lang.Subject `json:"subject"`
	Name         string       `json:"name"`
	CurrentState string       `json:"now"`
	Reasons      []Reason     `json:"reasons"`
}

// Reason is one reason of an explanation. At is zero for a reason that is not
// tied to a time, such as a declared setting.
type Reason struct {
	At   time.Time `json:"at,omitzero"`
	Text string    `json:"text"`
}

// ViewInfo describes the snapshot behind an answer: how old it is and which
// zones it may be out of date for.
type ViewInfo struct {
	Entry        model.EntryID  `json:"entry,omitempty"` // the entry VM that answers
	AsOf         time.Time      `json:"asOf"`
	Age          time.Duration  `json:"ageNanoseconds"`
	Stale        bool           `json:"stale"` // Age exceeds StaleAfter
	Generation   uint64         `json:"generation"`
	Revision     infra.Revision `json:"revision"`
	MissingZones []MissingZone  `json:"missingZones,omitempty"`
}

// MissingZone is a zone of whose entry VMs none has been heard from recently:
// what an answer reports about the zone may be out of date.
type MissingZone struct {
	Zone      model.ZoneName `json:"zone"`
	LastHeard time.Time      `json:"heard,omitzero"` // zero if never since this entry VM started
}

const (
	// StaleAfter is the age above which a view is reported as stale. Watches
	// deliver within 1 s, so 5 s means that several updates in a row are missing.
	StaleAfter = 5 * time.Second
	// zoneMissingAfter is the time without a message from any entry VM of a zone
	// after which the zone is reported as missing. It spans several heartbeats.
	zoneMissingAfter = 5 * time.Second
)

// Error reports that a question cannot be answered. Err is the cause, or nil.
type Error struct {
	Code   Code
	Detail string
	Err    error
}

// Code classifies an Error.
type Code string

// The codes of an Error.
const (
	CodeNotFound    Code = "not-found"   // nothing has this name
	CodeUnavailable Code = "unavailable" // a data source that the answer needs cannot be reached
	CodeInvalid     Code = "invalid"     // the question is malformed or incomplete
)

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Err.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

func notFound(format string, args ...any) error {
	return &Error{Code: CodeNotFound, Detail: fmt.Sprintf(format, args...)}
}

func unavailable(what string, err error) error {
	return &Error{Code: CodeUnavailable, Detail: what + " cannot be told now", Err: err}
}

// Ask answers a question. d is the declaration that a "what-if declaration"
// question evaluates, and nil for all other questions. Errors are of type
// *Error; the returned answer then still has its View set.
func (e *Engine) Ask(ctx context.Context, q lang.Question, d *model.Declaration) (Answer, error) {
	s := e.View.Load()
	answer := Answer{View: e.info(s)}
	if s.Declaration == nil {
		return answer, &Error{Code: CodeUnavailable, Detail: "this entry VM holds no declaration yet"}
	}
	var err error
	switch q := q.(type) {
	case lang.Show:
		err = e.show(ctx, s, q, &answer)
	case lang.Explain:
		err = e.explain(ctx, s, q, &answer)
	case lang.WhatIf:
		answer.Forecast, err = e.whatIf(ctx, s, q, d)
	default:
		err = &Error{Code: CodeInvalid, Detail: fmt.Sprintf("no such question: %T", q)}
	}
	return answer, err
}

// Info returns the ViewInfo of an answer given now.
func (e *Engine) Info() ViewInfo { return e.info(e.View.Load()) }

func (e *Engine) info(s *view.Snapshot) ViewInfo {
	now := e.Clock.Now()
	info := ViewInfo{AsOf: s.AsOf, Generation: s.Generation(), Revision: s.Revision}
	info.Age = max(now.Sub(s.AsOf), 0)
	info.Stale = info.Age > StaleAfter
	if e.Peers == nil || s.Declaration == nil {
		return info
	}
	info.Entry = e.Peers.Self()
	heard := make(map[model.ZoneName]time.Time)
	for _, p := range e.Peers.Statuses() {
		if p.LastHeard.After(heard[p.Zone]) {
			heard[p.Zone] = p.LastHeard
		}
	}
	for _, z := range s.Declaration.Zones {
		if now.Sub(heard[z]) > zoneMissingAfter {
			info.MissingZones = append(info.MissingZones, MissingZone{Zone: z, LastHeard: heard[z]})
		}
	}
	return info
}
