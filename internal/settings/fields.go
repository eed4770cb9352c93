package settings

import (
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// field describes one key: its section, default, allowed values and setter.
type field struct {
	section, key string
	defaultValue string
	required     bool
	expected     string
	set          func(s *Settings, text string) bool
}

const (
	expectedName     = "a name of a-z, A-Z, 0-9, '-' and '.'"
	expectedAddress  = "host:port with an IP number as host"
	expectedURL      = "http:// or https:// with host and port"
	expectedDuration = "a positive duration such as 500ms or 2s"
	expectedFile     = "a readable file"
	expectedBytes    = "a positive number of bytes"
)

// fields lists all keys. docs/operators/settings.md gives the reasons for the
// defaults.
var fields = concat(
	[]field{
		{"entry", "id", "", true, expectedName, func(s *Settings, t string) bool { s.ID = model.EntryID(t); return isName(t) }},
		{"entry", "zone", "", true, expectedName, func(s *Settings, t string) bool { s.Zone = model.ZoneName(t); return isName(t) }},
		{"entry", "cluster", "", true, expectedName, func(s *Settings, t string) bool { s.Cluster = t; return isName(t) }},
		{"entry", "drain", "30s", false, expectedDuration, durationSetter(func(s *Settings) *time.Duration { return &s.Drain })},
		{"peers", "seeds", "", false, expectedAddress + ", comma between", func(s *Settings, t string) bool { s.Seeds = splitList(t); return allMatch(s.Seeds, isAddress) }},
		{"platform", "store", "", true, expectedURL + ", comma between", func(s *Settings, t string) bool { s.Store = splitList(t); return allMatch(s.Store, isURL) }},
		{"platform", "machines", "", true, expectedURL, func(s *Settings, t string) bool { s.Machines = t; return isURL(t) }},
		{"platform", "timeout", "2s", false, expectedDuration, durationSetter(func(s *Settings) *time.Duration { return &s.PlatformTimeout })},
		{"access", "tokens", "", false, expectedFile, fileSetter(func(s *Settings) *string { return &s.TokensFile })},
		{"log", "level", "info", false, "debug, info, warn or error", func(s *Settings, t string) bool { return s.LogLevel.UnmarshalText([]byte(t)) == nil }},
		{"log", "format", "text", false, "text or json", setFormat},
	},
	limitFields,
	listenerFields("callers", func(s *Settings) *Listener { return &s.Callers }),
	listenerFields("operators", func(s *Settings) *Listener { return &s.Operators }),
	listenerFields("peers", func(s *Settings) *Listener { return &s.Peers }),
)

// limitFields lists the keys that bound the resources of an entry VM that a
// caller can use. An absent key keeps the default of package entry, which
// gives the reasons.
var limitFields = []field{
	{"limits", "header-bytes", "", false, expectedBytes, numberSetter(func(s *Settings) *int { return &s.Limits.HeaderBytes })},
	{"limits", "body-bytes", "", false, expectedBytes, numberSetter(func(s *Settings) *int64 { return &s.Limits.BodyBytes })},
	{"limits", "once-body-bytes", "", false, expectedBytes, numberSetter(func(s *Settings) *int64 { return &s.Limits.OnceBodyBytes })},
	{"limits", "header-timeout", "", false, expectedDuration, durationSetter(func(s *Settings) *time.Duration { return &s.Limits.HeaderTimeout })},
	{"limits", "idle-timeout", "", false, expectedDuration, durationSetter(func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout })},
	{"limits", "body-grace", "", false, expectedDuration, durationSetter(func(s *Settings) *time.Duration { return &s.Limits.BodyGrace })},
	{"limits", "body-rate", "", false, expectedBytes + " a second", numberSetter(func(s *Settings) *int { return &s.Limits.MinBodyRate })},
	{"limits", "write-timeout", "", false, expectedDuration, durationSetter(func(s *Settings) *time.Duration { return &s.Limits.WriteTimeout })},
	{"limits", "max-timeout", "", false, expectedDuration, durationSetter(func(s *Settings) *time.Duration { return &s.Limits.MaxTimeout })},
	{"limits", "inside", "", false, "a positive number of requests", numberSetter(func(s *Settings) *int { return &s.Limits.MaxInFlight })},
}

// listenerFields returns the keys of a listener. All three listeners have the
// same keys.
func listenerFields(section string, fieldOf func(*Settings) *Listener) []field {
	return []field{
		{section, "listen", "", true, expectedAddress, func(s *Settings, t string) bool { fieldOf(s).Listen = t; return isAddress(t) }},
		{section, "advertise", "", false, expectedAddress, func(s *Settings, t string) bool { fieldOf(s).Advertise = t; return isAddress(t) }},
		{section, "tls-cert", "", false, expectedFile, fileSetter(func(s *Settings) *string { return &fieldOf(s).Cert })},
		{section, "tls-key", "", false, expectedFile, fileSetter(func(s *Settings) *string { return &fieldOf(s).Key })},
		{section, "tls-ca", "", false, expectedFile, fileSetter(func(s *Settings) *string { return &fieldOf(s).CA })},
	}
}

// checkCombinations sets Advertise to its default and finds mistakes in
// combinations of keys.
func (s *Settings) checkCombinations() []Mistake {
	var mistakes []Mistake
	sections := []string{"callers", "operators", "peers"}
	for i, l := range []*Listener{&s.Callers, &s.Operators, &s.Peers} {
		if (l.Cert == "") != (l.Key == "") {
			mistakes = append(mistakes, Mistake{Section: sections[i], Key: "tls-cert", Expected: "tls-cert and tls-key go together"})
		}
		if l.Advertise != "" {
			continue
		}
		l.Advertise = l.Listen
		if host, _, err := net.SplitHostPort(l.Listen); err == nil && net.ParseIP(host).IsUnspecified() {
			mistakes = append(mistakes, Mistake{Section: sections[i], Key: "advertise", Expected: "missing, expected the address others reach this VM by, as listen is " + l.Listen})
		}
	}
	if s.Peers.TLS() && s.Peers.CA == "" {
		mistakes = append(mistakes, Mistake{Section: "peers", Key: "tls-ca", Expected: "missing, peers authenticate each other"})
	}
	return mistakes
}

func setFormat(s *Settings, t string) bool {
	s.LogJSON = t == "json"
	return t == "json" || t == "text"
}

// numberSetter returns a setter that accepts positive whole numbers.
func numberSetter[T int | int64](fieldOf func(*Settings) *T) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		n, err := strconv.ParseInt(t, 10, strconv.IntSize)
		*fieldOf(s) = T(n)
		return err == nil && n > 0
	}
}

// durationSetter returns a setter that accepts positive durations.
func durationSetter(fieldOf func(*Settings) *time.Duration) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		d, err := time.ParseDuration(t)
		*fieldOf(s) = d
		return err == nil && d > 0
	}
}

// fileSetter returns a setter that accepts paths of existing files. It does not
// check that the file can be read.
func fileSetter(fieldOf func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		*fieldOf(s) = t
		info, err := os.Stat(t)
		return err == nil && !info.IsDir()
	}
}

func isName(t string) bool {
	for _, r := range t {
		alnum := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alnum && r != '-' && r != '.' {
			return false
		}
	}
	return t != ""
}

func isAddress(t string) bool {
	host, port, err := net.SplitHostPort(t)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n < 1<<16
}

func isURL(t string) bool {
	u, err := url.Parse(t)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && u.Port() != ""
}

// splitList splits a comma-separated list and drops empty items.
func splitList(t string) []string {
	var items []string
	for _, part := range strings.Split(t, ",") {
		if part = strings.TrimSpace(part); part != "" {
			items = append(items, part)
		}
	}
	return items
}

// allMatch reports whether there are items and ok holds for each of them.
func allMatch(items []string, ok func(string) bool) bool {
	for _, item := range items {
		if !ok(item) {
			return false
		}
	}
	return len(items) > 0
}

func concat(groups ...[]field) []field {
	var joined []field
	for _, g := range groups {
		joined = append(joined, g...)
	}
	return joined
}

func sectionNames() string {
	var names []string
	seen := make(map[string]bool)
	for _, fd := range fields {
		if !seen[fd.section] {
			seen[fd.section] = true
			names = append(names, fd.section)
		}
	}
	return strings.Join(names, ", ")
}

func keyNames(section string) string {
	var names []string
	for _, fd := range fields {
		if fd.section == section {
			names = append(names, fd.key)
		}
	}
	return strings.Join(names, ", ")
}
