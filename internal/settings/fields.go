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

// field describes one key: where it stands, what it expects, how it is set.
type field struct {
	section, key string
	fallback     string
	required     bool
	expects      string
	set          func(s *Settings, text string) bool
}

const (
	expectsName     = "a name of a-z, A-Z, 0-9, '-' and '.'"
	expectsAddress  = "host:port with an IP number as host"
	expectsURL      = "http:// or https:// with host and port"
	expectsDuration = "a positive duration such as 500ms or 2s"
	expectsFile     = "a readable file"
	expectsBytes    = "a positive number of bytes"
)

// fields lists every key there is. The reasons for defaults stand in
// docs/operators/settings.md.
var fields = concat(
	[]field{
		{"entry", "id", "", true, expectsName, func(s *Settings, t string) bool { s.ID = model.EntryID(t); return isName(t) }},
		{"entry", "zone", "", true, expectsName, func(s *Settings, t string) bool { s.Zone = model.ZoneName(t); return isName(t) }},
		{"entry", "cluster", "", true, expectsName, func(s *Settings, t string) bool { s.Cluster = t; return isName(t) }},
		{"entry", "drain", "30s", false, expectsDuration, duration(func(s *Settings) *time.Duration { return &s.Drain })},
		{"peers", "seeds", "", false, expectsAddress + ", comma between", func(s *Settings, t string) bool { s.Seeds = list(t); return all(s.Seeds, isAddress) }},
		{"platform", "store", "", true, expectsURL + ", comma between", func(s *Settings, t string) bool { s.Store = list(t); return all(s.Store, isURL) }},
		{"platform", "machines", "", true, expectsURL, func(s *Settings, t string) bool { s.Machines = t; return isURL(t) }},
		{"platform", "timeout", "2s", false, expectsDuration, duration(func(s *Settings) *time.Duration { return &s.PlatformTimeout })},
		{"access", "tokens", "", false, expectsFile, file(func(s *Settings) *string { return &s.TokensFile })},
		{"log", "level", "info", false, "debug, info, warn or error", func(s *Settings, t string) bool { return s.LogLevel.UnmarshalText([]byte(t)) == nil }},
		{"log", "format", "text", false, "text or json", setFormat},
	},
	limits,
	listener("callers", func(s *Settings) *Listener { return &s.Callers }),
	listener("operators", func(s *Settings) *Listener { return &s.Operators }),
	listener("peers", func(s *Settings) *Listener { return &s.Peers }),
)

// limits bound what one caller may hold of an entry VM; what is not set keeps
// the default of package entry, which gives the reasons.
var limits = []field{
	{"limits", "header-bytes", "", false, expectsBytes, number(func(s *Settings) *int { return &s.Limits.HeaderBytes })},
	{"limits", "body-bytes", "", false, expectsBytes, number(func(s *Settings) *int64 { return &s.Limits.BodyBytes })},
	{"limits", "once-body-bytes", "", false, expectsBytes, number(func(s *Settings) *int64 { return &s.Limits.OnceBodyBytes })},
	{"limits", "header-timeout", "", false, expectsDuration, duration(func(s *Settings) *time.Duration { return &s.Limits.HeaderTimeout })},
	{"limits", "idle-timeout", "", false, expectsDuration, duration(func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout })},
	{"limits", "body-grace", "", false, expectsDuration, duration(func(s *Settings) *time.Duration { return &s.Limits.BodyGrace })},
	{"limits", "body-rate", "", false, expectsBytes + " a second", number(func(s *Settings) *int64 { return &s.Limits.MinBodyRate })},
	{"limits", "write-timeout", "", false, expectsDuration, duration(func(s *Settings) *time.Duration { return &s.Limits.WriteTimeout })},
	{"limits", "max-timeout", "", false, expectsDuration, duration(func(s *Settings) *time.Duration { return &s.Limits.MaxTimeout })},
	{"limits", "inside", "", false, "a positive number of requests", number(func(s *Settings) *int { return &s.Limits.MaxInFlight })},
}

// listener returns the keys that each of the three listeners has.
func listener(section string, of func(*Settings) *Listener) []field {
	return []field{
		{section, "listen", "", true, expectsAddress, func(s *Settings, t string) bool { of(s).Listen = t; return isAddress(t) }},
		{section, "advertise", "", false, expectsAddress, func(s *Settings, t string) bool { of(s).Advertise = t; return isAddress(t) }},
		{section, "tls-cert", "", false, expectsFile, file(func(s *Settings) *string { return &of(s).Cert })},
		{section, "tls-key", "", false, expectsFile, file(func(s *Settings) *string { return &of(s).Key })},
		{section, "tls-ca", "", false, expectsFile, file(func(s *Settings) *string { return &of(s).CA })},
	}
}

// crossCheck finds mistakes that only show between keys.
func (s *Settings) crossCheck() []Mistake {
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

func number[T int | int64](of func(*Settings) *T) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		n, err := strconv.ParseInt(t, 10, strconv.IntSize)
		*of(s) = T(n)
		return err == nil && n > 0
	}
}

func duration(of func(*Settings) *time.Duration) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		d, err := time.ParseDuration(t)
		*of(s) = d
		return err == nil && d > 0
	}
}

func file(of func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		*of(s) = t
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
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Port() != ""
}

func list(t string) []string {
	var items []string
	for _, part := range strings.Split(t, ",") {
		if part = strings.TrimSpace(part); part != "" {
			items = append(items, part)
		}
	}
	return items
}

func all(items []string, ok func(string) bool) bool {
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
