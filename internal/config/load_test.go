package config

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExamplesLoad(t *testing.T) {
	for _, name := range []string{"encuesta-viva", "lautan-kru"} {
		t.Run(name, func(t *testing.T) {
			d, err := Load("../../examples/" + name)
			assert.NilError(t, err)
			assert.Equal(t, len(d.VMs), 50)
			assert.Equal(t, len(d.Services), 5)
			assert.Equal(t, len(d.Zones), 4)
			for _, p := range d.Pools {
				assert.Equal(t, len(p.VMs), 10, "pool %s", p.Name)
			}
		})
	}
}

// validText is a minimal valid declaration; the test cases append to it.
const validText = `
[deployment]
name = small
zones = a, b
[worker]
cpu = 4
memory-mb = 1024
[rack r1]
zone = a
vm.v1 = web 10.0.0.1:80
vm.v2 = web 10.0.0.2:80
[rack r2]
zone = b
vm.v3 = web 10.0.0.3:80
[pool web]
[service web]
repeatable = yes
min-available = 2
`

func TestParseReportsEveryProblem(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"unknown section", validText + "[sevrice x]\n", []string{
			`f.ini: [sevrice x] given section "sevrice", expected one of [deployment], [pool NAME], [rack NAME], [service NAME], [team NAME], [wave NAME], [weights], [worker]`}},
		{"unknown key", validText + "[team t]\nmemory = 3\n", []string{
			`f.ini: [team t] memory: given unknown key, expected one of cpu, memory-mb, accelerators`}},
		{"all problems at once", validText + "[service y]\npools = web\nclass = fast\ntimeout = 5\nslots = 0\nmin-available = 80\n", []string{
			`f.ini: [service y] repeatable: given nothing, expected a value, it has no default`,
			`f.ini: [service y] class: given "fast", expected urgent, normal or deferrable`,
			`f.ini: [service y] timeout: given "5", expected a duration above 0 such as 500ms, 30s or 24h`,
			`f.ini: [service y] slots: given "0", expected a whole number of at least 1`,
			`f.ini: [service y] min-available: given 80 VMs, expected at most the 3 VMs of its pools`}},
		{"duplicate key", validText + "[team t]\ncpu = 1\ncpu = 2\n", []string{
			`f.ini: [team t] cpu: given the key more than once, expected it once`}},
		{"duplicate section", validText + "[pool web]\n", []string{
			`f.ini: [pool web] given the section again (first in f.ini), expected each section once`,
			`f.ini: [pool web] given the pool again, expected each pool once`}},
		{"key outside sections", "x = 1\n" + validText, []string{
			`f.ini: x: given a key before the first section, expected every key in a section`}},
		{"not INI", "[deployment\n", []string{
			`f.ini: given unclosed section: [deployment, expected INI: [section] lines and key = value lines`,
			`[deployment] given no such section, expected one with name and zones`,
			`[deployment] name: given "", expected a name of ` + nameRule,
			`[deployment] zones: given none, expected at least one zone`}},
		{"pool without VMs", validText + "[pool idle]\n", []string{
			`f.ini: [pool idle] given no VMs, expected at least one VM of a rack in it`}},
		{"unknown pool and zone", validText + "[rack r3]\nzone = c\nvm.v4 = wbe 10.0.0.4:80\n", []string{
			`f.ini: [rack r3] vm.v4: given pool "wbe", expected a pool declared by [pool wbe]`,
			`f.ini: [rack r3] zone: given "c", expected a zone of [deployment] zones`}},
		{"duplicate address and VM", validText + "[rack r3]\nzone = a\nvm.v1 = web 10.0.0.9:80\nvm.v9 = web 10.0.0.3:80\n", []string{
			`f.ini: [rack r3] vm.v1: given the VM again (also in rack r1), expected each VM in one rack`,
			`f.ini: [rack r3] vm.v9: given address 10.0.0.3:80 of VM v3, expected an address of its own`}},
		{"VM without address", validText + "[rack r3]\nzone = a\nvm.v4 = web\n", []string{
			`f.ini: [rack r3] vm.v4: given "web", expected vm.ID = POOL HOST:PORT`}},
		{"budget leaves a wave no VM to take out", validText + "[service z]\nrepeatable = yes\npools = web\nmin-available = 100%\n[wave w]\npools = web\n", []string{
			`f.ini: [service z] min-available: given all 3 VMs, expected fewer, or wave w can take none out`}},
		{"zone budget leaves a wave no VM to take out", validText + "[service z]\nrepeatable = yes\npools = web\nmin-available = 1\nmin-per-zone = 1\n[wave w]\npools = web\n", []string{
			`f.ini: [service z] min-per-zone: given all 1 VMs in zone b, expected fewer, or wave w can take none out there`}},
		{"remember is shorter than the timeout", validText + "[service z]\nrepeatable = no\npools = web\nmin-available = 1\nremember = 1s\n", []string{
			`f.ini: [service z] remember: given 1s, expected at least the timeout 10s, or a repeat could run twice`}},
		{"wave over an unknown pool", validText + "[wave w]\npools = web, wbe\n", []string{
			`f.ini: [wave w] pools: given "wbe", expected a pool declared by [pool wbe]`}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d, err := Parse(Source{File: "f.ini", Text: []byte(tc.text)})
			assert.Assert(t, d == nil)
			var invalid *InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			var got []string
			for _, p := range invalid.Problems {
				got = append(got, p.String())
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
