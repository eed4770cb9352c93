package lang

// fields lists the fields that a where clause may use, by the kind of objects
// shown. Package query provides a column for each of them.
var fields = map[Kind][]string{
	ShowVMs:      {"vm", "zone", "rack", "pool", "state", "health", "holder", "wave", "address", "since"},
	ShowServices: {"service", "class", "repeatable", "pools", "vms", "available", "headroom", "limit", "timeout"},
	ShowPools:    {"pool", "vms", "available", "leaving", "services"},
	ShowWaves:    {"wave", "state", "done", "out", "total", "pools", "reason"},
	ShowJobs:     {"job", "team", "kind", "class", "state", "vm", "pool", "zone", "reason"},
	ShowBudgets:  {"service", "zone", "need", "available", "headroom", "vms"},
	ShowEntries:  {"entry", "zone", "generation", "heard"},
	ShowZones:    {"zone", "vms", "available", "entries", "heard"},
	ShowRacks:    {"rack", "zone", "vms", "available", "pools"},
	ShowTeams:    {"team", "cpu", "memory-mb", "accelerators"},
}

// Fields returns the fields of a kind, which are also the columns of its table in
// this order. It returns nil for an unknown kind.
func Fields(kind Kind) []string { return fields[kind] }

func hasField(kind Kind, name string) bool {
	for _, f := range fields[kind] {
		if f == name {
			return true
		}
	}
	return false
}
