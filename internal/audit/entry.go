// Package audit keeps the audit trail in the platform's store: who requested
// which change, from where, and with what result, including refusals and
// automatic actions.
//
// The trail is a list of segments. Each process appends to a segment of its
// own, so that writers do not contend; an index lists all segments. Entries
// that are recorded at about the same time are written in one transaction.
package audit

import (
	"fmt"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Result is the result of the order or action that an Entry describes.
type Result string

// The results of an Entry.
const (
	// Asked means that an order was accepted and is about to be carried out. If
	// no later entry of the same change follows, its outcome was not recorded.
	Asked   Result = "asked"
	Done    Result = "done"
	Refused Result = "refused" // certainly nothing was changed
	Unknown Result = "unknown" // the platform did not say whether it took effect
	// Automatic means that the system acted on its own; Detail gives the cause.
	Automatic Result = "automatic"
)

// Entry is one entry of the audit trail.
type Entry struct {
	ID     string // unique; an entry recorded again under its ID is stored once
	At     time.Time
	Who    string         // the operator, or the part of the system that acted
	From   string         // address of the operator or ID of the entry VM
	Change model.ChangeID `json:",omitempty"`
	What   string         // the order as entered, or the automatic action
	Before string         `json:",omitempty"`
	After  string         `json:",omitempty"`
	Result Result
	Detail string `json:",omitempty"` // the cause of an automatic action or a refusal
}

// maxTextBytes bounds each text of an entry, so that a segment holds many
// entries even if an operator pastes a long text as the reason.
const maxTextBytes = 2048

// truncated returns the entry with each text cut to maxTextBytes.
func (e Entry) truncated() Entry {
	for _, s := range []*string{&e.ID, &e.Who, &e.From, &e.What, &e.Before, &e.After, &e.Detail} {
		if len(*s) > maxTextBytes {
			*s = strings.ToValidUTF8((*s)[:maxTextBytes], "") + " (cut)"
		}
	}
	return e
}

// Filter selects entries. A field with the zero value matches every entry.
type Filter struct {
	Since time.Time
	Until time.Time
	Who   string // equal to Who
	What  string // substring of What, Detail or the change ID
	// Subject is the name of an object, such as "vm v1", that What, Before or
	// After contains as whole words.
	Subject string
	Limit   int // maximum number of entries, the newest ones; 0 means DefaultLimit
}

// DefaultLimit is the maximum number of entries that Read returns if the filter
// has no limit.
const DefaultLimit = 1000

func (f Filter) matches(e Entry) bool {
	if !f.Since.IsZero() && e.At.Before(f.Since) || !f.Until.IsZero() && e.At.After(f.Until) {
		return false
	}
	if f.Who != "" && e.Who != f.Who {
		return false
	}
	if f.Subject != "" && !containsName(e.What, f.Subject) && !containsName(e.Before, f.Subject) && !containsName(e.After, f.Subject) {
		return false
	}
	return f.What == "" || strings.Contains(e.What, f.What) || strings.Contains(e.Detail, f.What) || strings.Contains(string(e.Change), f.What)
}

// containsName reports whether text contains subject as whole words: "vm v1" is
// not contained in "drain vm v17".
func containsName(text, subject string) bool {
	for from := 0; ; {
		at := strings.Index(text[from:], subject)
		if at < 0 {
			return false
		}
		start, end := from+at, from+at+len(subject)
		if !isNameByte(text, start-1) && !isNameByte(text, end) {
			return true
		}
		from = start + 1
	}
}

// isNameByte reports whether the byte at i exists and can be part of a name.
func isNameByte(text string, i int) bool {
	if i < 0 || i >= len(text) {
		return false
	}
	c := text[i]
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-_.", c) >= 0
}

// Error reports that entries were not recorded or that the trail was not read.
type Error struct {
	// Certain is true if the entries are certainly not in the trail.
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
