// Package node assembles the process of one entry VM on the users' platform: the callers'
// listener, the readiness probe, the link between entry VMs, the election of the cells'
// owners and the engines of the cells that this entry VM owns. It connects these components
// and orders their start and stop; decisions are made by the policy packages.
package node

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/internal/settings"
	"github.com/pumicestage/pumicestage/platform"
)

// Settings holds an entry VM's settings file. Optional settings that are absent are zero.
type Settings struct {
	Name    string
	Zone    string
	Address string // this entry VM's own IP address
	Callers string // host:port of the callers' listener
	Ready   string // host:port of the readiness probe
	Metrics string // host:port of counters and histograms; empty: none
	Peers   [2]int // first and last port for other entry VMs

	Store   string // host:port of the platform's store
	VMs     string // host:port of the platform's VM service; empty: none
	Advisor string // host:port of the advisor; empty: none

	MinTTL          time.Duration // shortest lease that the store grants
	ListRate        float64       // reads of the list of VMs that the platform allows a second; 0: no limit
	CPUShare        float64       // share of a processor core; VMs with more are preferred as owners
	LinkMbps        float64       // bandwidth of the VM's link in Mbit/s; likewise
	MemoryMB        int
	ShutdownTimeout time.Duration // from the stop signal until the process is killed
	MaxLease        time.Duration // longest lease that a worker accepts
	PaceDelay       time.Duration // until a changed pace of a task takes effect
	StopGrace       time.Duration // maximum time that a worker takes to stop a task
	// MaxCapacityAge is the maximum age of the free capacity that workers last reported, for
	// services whose workers don't refuse tasks beyond their capacity; 0: no limit.
	MaxCapacityAge  time.Duration
	StatusRetention time.Duration // how long a job's state can be queried after its end

	// RevokeEverywhere makes an entry VM that could not confirm its configuration for
	// RevokeWithin refuse all keys, as any of them may have been revoked meanwhile.
	RevokeEverywhere bool
	RevokeWithin     time.Duration
	// RepeatWhenCutOff makes an entry VM that is cut off from the store and all other zones
	// answer at once the requests whose outcome it does not know, so that callers have time to
	// repeat them elsewhere, and detect sooner that it is cut off.
	RepeatWhenCutOff bool
	// ConfigWithin is the time within which a new configuration must be in force on all
	// entry VMs.
	ConfigWithin time.Duration

	CallerLimits CallerLimits

	Capacity CapacitySettings

	// KeepJobsInZone keeps the short tasks of a job in one availability zone where that has
	// capacity.
	KeepJobsInZone bool

	values map[string]string // as written in the file, by section.key
}

// CallerLimits bound what callers can make this entry VM hold. Zero fields take their defaults.
type CallerLimits struct {
	guard.Limits
	// MemoryShare is the share of MemoryMB that callers can make the process hold.
	MemoryShare float64
	// Descriptors is how many sockets and files the process may have open; 0: the process's limit.
	Descriptors int
	// MaxConns is the maximum number of callers' connections; 0: half of the descriptors.
	MaxConns int
	// MaxReadyConns is the maximum number of connections of readiness probes. Readers of the metrics
	// have a part of as many.
	MaxReadyConns int
	platform.SubmissionLimits
}

// Defaults of the limits of callers that differ from guard.DefaultLimits.
const (
	headerTimeout       = 3 * time.Second
	idleTimeout         = 60 * time.Second
	defaultMemoryShare  = 3. / 8
	defaultReadyConns   = 128
	callersOfDescriptor = 2 // descriptors for each connection of a caller: the platform, peers and workers need the others
)

// withDefaults returns l with zero fields set to their defaults.
func (l CallerLimits) withDefaults() CallerLimits {
	l.HeaderTimeout, l.IdleTimeout = cmp.Or(l.HeaderTimeout, headerTimeout), cmp.Or(l.IdleTimeout, idleTimeout)
	l.Limits = l.Limits.WithDefaults()
	l.MemoryShare = cmp.Or(l.MemoryShare, defaultMemoryShare)
	l.MaxReadyConns = cmp.Or(l.MaxReadyConns, defaultReadyConns)
	return l
}

// CapacitySettings are the settings of the capacity plan. Defaults are filled in if the plan is on.
type CapacitySettings struct {
	MoveCost float64        // cost of a move in VM-seconds; 0: no plan
	IdleCost float64        // VM-seconds charged for one second of an idle VM
	HalfLife time.Duration  // of the peaks of demand
	Floor    map[string]int // VMs that a pool keeps, by pool
	MaxVMs   int            // size of the fleet up to which the plan is on
}

// Defaults of the capacity plan.
const (
	defaultIdleCost = 1.0
	defaultHalfLife = 600 * time.Second
	// defaultMaxVMs is between the sizes at which the plan was shown to gain (350 VMs) and to
	// lose (1,000): it costs the owner of a large fleet processor time, and moves.
	defaultMaxVMs = 500
)

// settingField is one key of the settings file.
type settingField struct {
	section, key string
	required     bool
	expects      string
	// set parses the text and stores the value in s. It returns false if the text is invalid; s
	// must not be used then.
	set func(s *Settings, text string) bool
}

const (
	expectsText    = "a name"
	expectsAddress = "host:port"
	expectsIP      = "an IP address"
	expectsPort    = "a port"
	expectsMS      = "a whole number of milliseconds"
	expectsS       = "a number of seconds"
	expectsMB      = "a number of megabytes"
	expectsRate    = "a number of calls a second above 0"
	expectsShare   = "a share of a core above 0"
	expectsBool    = "true or false"
	expectsMbps    = "a number of megabits a second above 0"
	expectsCost    = "a number of VM-seconds above 0"
	expectsPeriod  = "a number of seconds above 0"
	expectsVMs     = "a number of VMs above 0"
	expectsBytes   = "a number of bytes above 0"
	expectsCount   = "a number above 0"
	expectsPart    = "a number above 0 and below 1"
	expectsFloor   = "pool=number, comma separated, each pool once, with whole numbers of VMs not below 0"
)

// moveCostKey is the key of section capacity that turns the plan on.
const moveCostKey = "move-cost-vm-s"

// settingFields are all keys that a settings file may have.
var settingFields = []settingField{
	{"entry", "name", true, expectsText, text(func(s *Settings) *string { return &s.Name })},
	{"entry", "zone", true, expectsText, text(func(s *Settings) *string { return &s.Zone })},
	{"entry", "address", true, expectsIP, func(s *Settings, t string) bool { s.Address = t; return net.ParseIP(t) != nil }},
	{"entry", "callers", true, expectsAddress, address(func(s *Settings) *string { return &s.Callers })},
	{"entry", "ready", true, expectsAddress, address(func(s *Settings) *string { return &s.Ready })},
	{"entry", "metrics", false, expectsAddress, address(func(s *Settings) *string { return &s.Metrics })},
	{"entry", "peer-port-first", true, expectsPort, port(func(s *Settings) *int { return &s.Peers[0] })},
	{"entry", "peer-port-last", true, expectsPort, port(func(s *Settings) *int { return &s.Peers[1] })},
	{"store", "address", true, expectsAddress, serviceAddress(func(s *Settings) *string { return &s.Store })},
	{"store", "least-lease-ms", false, expectsMS, duration(time.Millisecond, func(s *Settings) *time.Duration { return &s.MinTTL })},
	{"vms", "address", false, expectsAddress, serviceAddress(func(s *Settings) *string { return &s.VMs })},
	{"vms", "rate-per-s", false, expectsRate, positiveFloat(func(s *Settings) *float64 { return &s.ListRate })},
	{"advisor", "address", false, expectsAddress, serviceAddress(func(s *Settings) *string { return &s.Advisor })},
	{"limits", "cpu-share", false, expectsShare, positiveFloat(func(s *Settings) *float64 { return &s.CPUShare })},
	{"limits", "link-mbps", false, expectsMbps, positiveFloat(func(s *Settings) *float64 { return &s.LinkMbps })},
	{"limits", "memory-mb", true, expectsMB, positiveInt(func(s *Settings) *int { return &s.MemoryMB })},
	{"limits", "shutdown-s", true, expectsS, duration(time.Second, func(s *Settings) *time.Duration { return &s.ShutdownTimeout })},
	{"limits", "max-lease-ms", true, expectsMS, duration(time.Millisecond, func(s *Settings) *time.Duration { return &s.MaxLease })},
	{"limits", "stop-grace-ms", true, expectsMS, duration(time.Millisecond, func(s *Settings) *time.Duration { return &s.StopGrace })},
	{"limits", "room-known-ms", false, expectsMS, duration(time.Millisecond, func(s *Settings) *time.Duration { return &s.MaxCapacityAge })},
	{"limits", "status-s", true, expectsS, duration(time.Second, func(s *Settings) *time.Duration { return &s.StatusRetention })},
	{"callers", "revoke-everywhere", false, expectsBool, toggle(func(s *Settings) *bool { return &s.RevokeEverywhere })},
	{"callers", "revoke-ms", false, expectsMS, duration(time.Millisecond, func(s *Settings) *time.Duration { return &s.RevokeWithin })},
	{"callers", "repeat-when-cut-off", false, expectsBool, toggle(func(s *Settings) *bool { return &s.RepeatWhenCutOff })},
	{"callers", "config-in-force-ms", false, expectsMS, duration(time.Millisecond, func(s *Settings) *time.Duration { return &s.ConfigWithin })},
	{"capacity", moveCostKey, false, expectsCost, finiteFloat(func(s *Settings) *float64 { return &s.Capacity.MoveCost })},
	{"capacity", "idle-cost", false, expectsCost, finiteFloat(func(s *Settings) *float64 { return &s.Capacity.IdleCost })},
	{"capacity", "half-life-s", false, expectsPeriod, positiveSeconds(func(s *Settings) *time.Duration { return &s.Capacity.HalfLife })},
	{"capacity", "floor", false, expectsFloor, parseFloor},
	{"capacity", "max-vms", false, expectsVMs, positiveInt(func(s *Settings) *int { return &s.Capacity.MaxVMs })},
	{"placement", "keep-jobs-in-zone", false, expectsBool, toggle(func(s *Settings) *bool { return &s.KeepJobsInZone })},
	{"limits", "callers-memory-share", false, expectsPart, func(s *Settings, t string) bool {
		return finiteFloat(func(s *Settings) *float64 { return &s.CallerLimits.MemoryShare })(s, t) && s.CallerLimits.MemoryShare < 1
	}},
	{"limits", "file-descriptors", false, expectsCount, positiveInt(func(s *Settings) *int { return &s.CallerLimits.Descriptors })},
	{"limits", "connections", false, expectsCount, positiveInt(func(s *Settings) *int { return &s.CallerLimits.MaxConns })},
	{"limits", "ready-connections", false, expectsCount, positiveInt(func(s *Settings) *int { return &s.CallerLimits.MaxReadyConns })},
	{"limits", "header-bytes", false, expectsBytes, positiveInt(func(s *Settings) *int { return &s.CallerLimits.HeaderBytes })},
	{"limits", "header-timeout-s", false, expectsPeriod, positiveSeconds(func(s *Settings) *time.Duration { return &s.CallerLimits.HeaderTimeout })},
	{"limits", "idle-timeout-s", false, expectsPeriod, positiveSeconds(func(s *Settings) *time.Duration { return &s.CallerLimits.IdleTimeout })},
	{"limits", "body-bytes", false, expectsBytes, positiveInt(func(s *Settings) *int { return &s.CallerLimits.BodyBytes })},
	{"limits", "body-grace-s", false, expectsPeriod, positiveSeconds(func(s *Settings) *time.Duration { return &s.CallerLimits.BodyGrace })},
	{"limits", "body-rate", false, expectsBytes, positiveInt(func(s *Settings) *int { return &s.CallerLimits.MinBodyRate })},
	{"limits", "write-timeout-s", false, expectsPeriod, positiveSeconds(func(s *Settings) *time.Duration { return &s.CallerLimits.WriteTimeout })},
	{"limits", "specification-bytes", false, expectsBytes, positiveInt(func(s *Settings) *int { return &s.CallerLimits.SpecificationBytes })},
	{"limits", "pace-delay-ms", false, expectsMS, duration(time.Millisecond, func(s *Settings) *time.Duration { return &s.PaceDelay })},
}

// LoadSettings reads and checks a settings file. All mistakes are reported at once, each with
// its section and key, in a *settings.Error.
func LoadSettings(file string) (*Settings, error) {
	f, err := ini.Load(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{values: make(map[string]string)}
	var mistakes []settings.Mistake
	for _, fd := range settingFields {
		given := strings.TrimSpace(f.Section(fd.section).Key(fd.key).String())
		s.values[fd.section+"."+fd.key] = given
		m := settings.Mistake{Section: fd.section, Key: fd.key, Given: given, Expected: fd.expects}
		switch {
		case given == "" && fd.required:
			m.Expected = "missing, expected " + fd.expects
			mistakes = append(mistakes, m)
		case given != "" && !fd.set(s, given):
			mistakes = append(mistakes, m)
		}
	}
	mistakes = append(mistakes, unknownKeys(f)...)
	if s.Peers[0] > s.Peers[1] {
		mistakes = append(mistakes, settings.Mistake{
			Section: "entry", Key: "peer-port-last", Given: strconv.Itoa(s.Peers[1]), Expected: "a port not below peer-port-first",
		})
	}
	if s.RevokeEverywhere && s.RevokeWithin == 0 {
		mistakes = append(mistakes, settings.Mistake{
			Section: "callers", Key: "revoke-ms", Expected: "missing, expected with revoke-everywhere",
		})
	}
	mistakes = append(mistakes, contradictoryCapacity(s)...)
	if len(mistakes) > 0 {
		return nil, &settings.Error{File: file, Mistakes: mistakes}
	}
	s.Capacity.fillDefaults()
	return s, nil
}

// contradictoryCapacity returns a mistake for each setting of the capacity plan if the plan is off.
func contradictoryCapacity(s *Settings) []settings.Mistake {
	if s.values["capacity."+moveCostKey] != "" {
		return nil
	}
	var out []settings.Mistake
	for _, fd := range settingFields {
		if given := s.values[fd.section+"."+fd.key]; fd.section == "capacity" && given != "" {
			out = append(out, settings.Mistake{
				Section: fd.section, Key: fd.key, Given: given, Expected: "no value without " + moveCostKey + ", as there is no plan",
			})
		}
	}
	return out
}

// fillDefaults sets the optional settings that are absent if the plan is on.
func (c *CapacitySettings) fillDefaults() {
	if c.MoveCost == 0 {
		return
	}
	if c.IdleCost == 0 {
		c.IdleCost = defaultIdleCost
	}
	if c.HalfLife == 0 {
		c.HalfLife = defaultHalfLife
	}
	if c.MaxVMs == 0 {
		c.MaxVMs = defaultMaxVMs
	}
}

// unknownKeys returns a mistake for each key of the file that is not in settingFields.
func unknownKeys(f *ini.File) []settings.Mistake {
	known := make(map[string]bool)
	for _, fd := range settingFields {
		known[fd.section+"/"+fd.key] = true
	}
	var out []settings.Mistake
	for _, section := range f.Sections() {
		for _, key := range section.Keys() {
			if !known[section.Name()+"/"+key.Name()] {
				out = append(out, settings.Mistake{Section: section.Name(), Key: key.Name(), Expected: "unknown key"})
			}
		}
	}
	return out
}

// text returns a settingField.set that stores the text as it is.
func text(field func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		*field(s) = t
		return true
	}
}

// address returns a settingField.set that accepts host:port. Without a host it stands for all
// addresses of this VM.
func address(field func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		*field(s) = t
		_, port, err := net.SplitHostPort(t)
		return err == nil && isPort(port)
	}
}

// serviceAddress returns a settingField.set that accepts the host:port of a service to call.
func serviceAddress(field func(*Settings) *string) func(*Settings, string) bool {
	set := address(field)
	return func(s *Settings, t string) bool {
		host, _, err := net.SplitHostPort(t)
		return set(s, t) && err == nil && host != ""
	}
}

func isPort(t string) bool {
	n, err := strconv.ParseUint(t, 10, 16)
	return err == nil && n > 0
}

// port returns a settingField.set that accepts a port number from 1 to 65535.
func port(field func(*Settings) *int) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		n, err := strconv.ParseUint(t, 10, 16)
		*field(s) = int(n)
		return err == nil && n > 0
	}
}

// positiveInt returns a settingField.set that accepts a number of at least 1, of which it drops
// the fraction.
func positiveInt(field func(*Settings) *int) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		n, err := strconv.ParseFloat(t, 64)
		*field(s) = int(n)
		return err == nil && n >= 1
	}
}

// toggle returns a settingField.set that accepts what strconv.ParseBool does.
func toggle(field func(*Settings) *bool) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		on, err := strconv.ParseBool(t)
		*field(s) = on
		return err == nil
	}
}

// positiveFloat returns a settingField.set that accepts a number above 0.
func positiveFloat(field func(*Settings) *float64) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		n, err := strconv.ParseFloat(t, 64)
		*field(s) = n
		return err == nil && n > 0
	}
}

// finiteFloat returns a settingField.set that accepts a finite number above 0.
func finiteFloat(field func(*Settings) *float64) func(*Settings, string) bool {
	set := positiveFloat(field)
	return func(s *Settings, t string) bool { return set(s, t) && !math.IsInf(*field(s), 0) }
}

// maxPeriod is the longest period that a setting may have: a longer one is a mistake of units, and
// a much longer one overflows a time.Duration.
const maxPeriod = 30 * 24 * time.Hour

// positiveSeconds returns a settingField.set that accepts a number of seconds above 0 and up to
// maxPeriod; fractions are allowed.
func positiveSeconds(field func(*Settings) *time.Duration) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		n, err := strconv.ParseFloat(t, 64)
		if err != nil || !(n > 0 && n <= maxPeriod.Seconds()) {
			return false
		}
		*field(s) = time.Duration(n * float64(time.Second))
		return *field(s) > 0
	}
}

// maxFloor is the largest floor of a pool. Platforms have some thousands of VMs.
const maxFloor = 1_000_000

// parseFloor sets the floors of pools from pool=number, comma separated.
func parseFloor(s *Settings, t string) bool {
	s.Capacity.Floor = make(map[string]int)
	for part := range strings.SplitSeq(t, ",") {
		pool, number, found := strings.Cut(part, "=")
		pool = strings.TrimSpace(pool)
		n, err := strconv.Atoi(strings.TrimSpace(number))
		if _, twice := s.Capacity.Floor[pool]; twice || !found || pool == "" || err != nil || n < 0 || n > maxFloor {
			return false
		}
		s.Capacity.Floor[pool] = n
	}
	return true
}

// fullWeightLinkMbps is the bandwidth from which processor time alone limits a cell's owner.
// 500 starts a second, each with a specification of one or two kilobytes and its answers,
// take some 10 Mbit/s; on a link of just that bandwidth they queue for seconds.
const fullWeightLinkMbps = 100

// weight is this VM's preference as an owner, relative to other entry VMs; more is better.
func (s *Settings) weight() float64 {
	if s.LinkMbps == 0 {
		return s.CPUShare
	}
	return s.CPUShare * min(1, s.LinkMbps/fullWeightLinkMbps)
}

// duration returns a settingField.set that accepts a number of the unit that is not negative;
// fractions are allowed.
func duration(unit time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) bool {
	return func(s *Settings, t string) bool {
		n, err := strconv.ParseFloat(t, 64)
		*field(s) = time.Duration(n * float64(unit))
		return err == nil && n >= 0
	}
}
