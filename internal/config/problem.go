// Package config turns operators' INI declarations into model.Declaration and
// keeps the declaration in force in the platform's store. Reading, applying
// defaults and validating are separate steps. All problems are reported at
// once, each with its location, the value given and what was expected.
package config

import (
	"fmt"
	"strings"
)

// Problem is one error in a declaration.
type Problem struct {
	File     string // empty if the declaration was not read from files
	Section  string // "service preview"; empty for a problem of the whole file
	Key      string // empty for a problem of the whole section
	Given    string // the value or condition found, as a phrase
	Expected string // what is allowed there, as a phrase
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

// InvalidError reports an invalid declaration with all its problems.
type InvalidError struct {
	Problems []Problem
}

// Error lists the problems, one on a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("declaration not valid, %d found:", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// ReadError reports that a declaration's files could not be read.
type ReadError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("declaration %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

func quote(s string) string { return fmt.Sprintf("%q", s) }
