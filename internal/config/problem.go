// Package config turns operators' INI declarations into model.Declaration and
// keeps the declaration in force in the platform's store. Reading, defaulting
// and validation are apart; every mistake is reported at once, each with the
// place it stands, what was given and what was expected.
package config

import (
	"fmt"
	"strings"
)

// Problem is one mistake in a declaration.
type Problem struct {
	File     string // empty where the declaration did not come from files
	Section  string // "service preview"; empty for a mistake of a whole file
	Key      string // empty for a mistake of a whole section
	Given    string // what was found
	Expected string // what may stand there, as a phrase
}

// String returns the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ": ")
	}
	if p.Section != "" {
		b.WriteString("[" + p.Section + "] ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	fmt.Fprintf(&b, "given %s, expected %s", p.Given, p.Expected)
	return b.String()
}

// InvalidError reports a declaration that cannot be used, with all its
// mistakes.
type InvalidError struct {
	Problems []Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("declaration not valid, %d found:", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// ReadError reports a declaration whose files could not be read.
type ReadError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("declaration %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

func quoted(s string) string { return fmt.Sprintf("%q", s) }
