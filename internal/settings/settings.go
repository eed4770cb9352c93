// Package settings reads and checks the entry daemon's INI settings. All
// mistakes are reported at once, each by section and key.
package settings

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pumicestage/pumicestage/internal/entry"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Settings are what one entry daemon is told at its start.
type Settings struct {
	ID      model.EntryID
	Zone    model.ZoneName
	Cluster string // peers of another cluster are refused

	Callers   Listener
	Operators Listener
	Peers     Listener
	Seeds     []string // peer addresses to try first

	Store           []string      // base URLs of the platform's key-value service
	Machines        string        // base URL of the platform's machine service
	PlatformTimeout time.Duration // deadline of one call to the platform

	TokensFile string // operators' tokens; empty: no access control

	LogLevel slog.Level
	LogJSON  bool

	Drain  time.Duration // how long SIGTERM waits for requests in flight
	Limits entry.Limits
}

// Listener is one of the daemon's three listeners.
type Listener struct {
	Listen    string // host:port to bind
	Advertise string // host:port others reach it by
	Cert      string // TLS certificate file; empty: plain TCP
	Key       string // TLS key file
	CA        string // clients must present a certificate signed by it; empty: not asked
}

// TLS reports whether the listener uses TLS.
func (l Listener) TLS() bool { return l.Cert != "" }

// Mistake is one fault in a settings file.
type Mistake struct {
	Section, Key string
	Given        string
	Expected     string
}

// String returns the mistake as operators read it.
func (m Mistake) String() string {
	where := "[" + m.Section + "]"
	if m.Key != "" {
		where += " " + m.Key
	}
	if m.Given == "" {
		return where + ": " + m.Expected
	}
	return fmt.Sprintf("%s: given %q, expected %s", where, m.Given, m.Expected)
}

// Error holds every mistake found in one file.
type Error struct {
	File     string
	Mistakes []Mistake
}

// Error implements error, one line a mistake.
func (e *Error) Error() string {
	var b strings.Builder
	for i, m := range e.Mistakes {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s: %s", e.File, m)
	}
	return b.String()
}

// Load reads and checks a settings file. The error is *Error where the file
// could be read.
func Load(file string) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{Limits: entry.DefaultLimits()}
	mistakes := unknown(f)
	mistakes = append(mistakes, s.fill(f)...)
	mistakes = append(mistakes, s.crossCheck()...)
	if len(mistakes) > 0 {
		return nil, &Error{File: file, Mistakes: mistakes}
	}
	return s, nil
}

// fill sets every field from the file or its default.
func (s *Settings) fill(f *ini.File) []Mistake {
	var mistakes []Mistake
	for _, fd := range fields {
		text := strings.TrimSpace(f.Section(fd.section).Key(fd.key).String())
		if text == "" {
			text = fd.fallback
		}
		if text == "" {
			if fd.required {
				mistakes = append(mistakes, Mistake{Section: fd.section, Key: fd.key, Expected: "missing, expected " + fd.expects})
			}
			continue
		}
		if !fd.set(s, text) {
			mistakes = append(mistakes, Mistake{fd.section, fd.key, text, fd.expects})
		}
	}
	return mistakes
}

// unknown finds sections and keys that mean nothing: a misspelt key would
// otherwise leave its default in force unseen.
func unknown(f *ini.File) []Mistake {
	known := make(map[string]map[string]bool)
	for _, fd := range fields {
		if known[fd.section] == nil {
			known[fd.section] = make(map[string]bool)
		}
		known[fd.section][fd.key] = true
	}
	var mistakes []Mistake
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if known[sec.Name()] == nil {
			mistakes = append(mistakes, Mistake{Section: sec.Name(), Expected: "unknown section, expected one of " + sectionNames()})
			continue
		}
		for _, k := range sec.Keys() {
			if !known[sec.Name()][k.Name()] {
				mistakes = append(mistakes, Mistake{Section: sec.Name(), Key: k.Name(), Expected: "unknown key, expected one of " + keyNames(sec.Name())})
			}
		}
	}
	return mistakes
}
