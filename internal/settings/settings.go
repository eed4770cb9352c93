// Package settings reads and checks the entry daemon's INI settings. All
// mistakes are reported at once, each with its section and key.
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

// Settings holds the settings that an entry daemon reads when it starts.
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

	TokensFile string // file of operators' tokens; empty disables access control

	LogLevel slog.Level
	LogJSON  bool

	Drain  time.Duration // how long a shutdown on SIGTERM waits for requests in flight
	Limits entry.Limits
}

// Listener is one of the daemon's three listeners.
type Listener struct {
	Listen    string // host:port to bind
	Advertise string // host:port at which others reach it; Listen by default
	Cert      string // TLS certificate file; empty means plain TCP
	Key       string // TLS key file
	CA        string // file of the CA that must have signed client certificates; empty means none are required
}

// TLS reports whether the listener uses TLS.
func (l Listener) TLS() bool { return l.Cert != "" }

// Mistake is one error in a settings file.
type Mistake struct {
	Section, Key string
	Given        string // the value found; empty if there is none to quote
	Expected     string // what is allowed, or the whole message if Given is empty
}

// String returns the mistake as one line for operators.
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

// Error reports an invalid settings file with all its mistakes.
type Error struct {
	File     string
	Mistakes []Mistake
}

// Error lists the mistakes, one on a line.
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

// Load reads and checks a settings file. The error is *Error if the settings are
// invalid, and another one if the file cannot be read or is not INI.
func Load(file string) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{Limits: entry.DefaultLimits()}
	mistakes := unknownKeys(f)
	mistakes = append(mistakes, s.setFields(f)...)
	mistakes = append(mistakes, s.checkCombinations()...)
	if len(mistakes) > 0 {
		return nil, &Error{File: file, Mistakes: mistakes}
	}
	return s, nil
}

// setFields sets every field from the file or its default.
func (s *Settings) setFields(f *ini.File) []Mistake {
	var mistakes []Mistake
	for _, fd := range fields {
		text := strings.TrimSpace(f.Section(fd.section).Key(fd.key).String())
		if text == "" {
			text = fd.defaultValue
		}
		if text == "" {
			if fd.required {
				mistakes = append(mistakes, Mistake{Section: fd.section, Key: fd.key, Expected: "missing, expected " + fd.expected})
			}
			continue
		}
		if !fd.set(s, text) {
			mistakes = append(mistakes, Mistake{fd.section, fd.key, text, fd.expected})
		}
	}
	return mistakes
}

// unknownKeys finds unknown sections and keys: a misspelt key would otherwise
// silently leave its default in force.
func unknownKeys(f *ini.File) []Mistake {
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
