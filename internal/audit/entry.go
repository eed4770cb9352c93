// Package audit keeps the trail of changes in the platform's store: who asked
// for what, from where, and what became of it, refusals and automatic actions
// included.
//
// The trail is a list of segments. Each process appends to a segment of its
// own, so that writers do not contend; an index names all segments. Entries
// that come together are written together.
package audit

import (
	"fmt"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Result is what became of what an entry tells of.
type Result string

// The results of an Entry.
const (
	// Asked: an order was let in and is about to be carried out. Where no
	// later entry of the change follows, its outcome was not recorded.
	Asked   Result = "asked"
	Done    Result = "done"
	Refused Result = "refused" // certainly nothing was changed
	Unknown Result = "unknown" // the platform did not say whether it took effect
	// Automatic: the system acted by itself; Detail gives the cause.
	Automatic Result = "automatic"
)

// Entry is one line of the trail.
type Entry struct {
	ID     string // unique; recording it twice records it once
	At     time.Time
	Who    string         // the operator, or the part of the system that acted
	From   string         // address of the operator or ID of the entry VM
	Change model.ChangeID `json:",omitempty"`
	What   string         // the order as given, or the action
	Before string         `json:",omitempty"`
	After  string         `json:",omitempty"`
	Result Result
	Detail string `json:",omitempty"` // the cause of an automatic action or a refusal
}

// maxText bounds each text of an entry, so that a segment holds many of them
// whatever an operator pastes into a reason.
const maxText = 2048

// bounded returns the entry with texts cut to maxText.
func (e Entry) bounded() Entry {
	for _, s := range []*string{&e.ID, &e.Who, &e.From, &e.What, &e.Before, &e.After, &e.Detail} {
		if len(*s) > maxText {
			*s = strings.ToValidUTF8((*s)[:maxText], "") + " (cut)"
		}
	}
	return e
}

// Filter selects entries. Zero fields select all.
type Filter struct {
	Since time.Time
	Until time.Time
	Who   string // equal
	What  string // part of What, Detail or the change ID
	// Subject is a thing such as "vm v1" that What, Before or After name as
	// whole words.
	Subject string
	Limit   int // the newest so many; 0 for DefaultLimit
}

// DefaultLimit is how many entries a question gets that does not say.
const DefaultLimit = 1000

func (f Filter) matches(e Entry) bool {
	if !f.Since.IsZero() && e.At.Before(f.Since) || !f.Until.IsZero() && e.At.After(f.Until) {
		return false
	}
	if f.Who != "" && e.Who != f.Who {
		return false
	}
	if f.Subject != "" && !names(e.What, f.Subject) && !names(e.Before, f.Subject) && !names(e.After, f.Subject) {
		return false
	}
	return f.What == "" || strings.Contains(e.What, f.What) || strings.Contains(e.Detail, f.What) || strings.Contains(string(e.Change), f.What)
}

// names reports whether the text has the subject as whole words: "vm v1" is
// not in "drain vm v17".
func names(text, subject string) bool {
	for from := 0; ; {
		at := strings.Index(text[from:], subject)
		if at < 0 {
			return false
		}
		start, end := from+at, from+at+len(subject)
		if !inName(text, start-1) && !inName(text, end) {
			return true
		}
		from = start + 1
	}
}

// inName reports whether the byte at i belongs to a name.
func inName(text string, i int) bool {
	if i < 0 || i >= len(text) {
		return false
	}
	c := text[i]
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-_.", c) >= 0
}

// Error reports that entries were not recorded, or the trail not read.
type Error struct {
	// Certain is true where the entries are certainly not in the trail.
	Certain bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Certain {
		return fmt.Sprintf("audit: not recorded: %v", e.Err)
	}
	return fmt.Sprintf("audit: not certain to be recorded: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
