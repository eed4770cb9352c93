// Command standin is the stand-in of the review's cases: platform, runners, operator and clients on
// loopback. It exits with 1 if the case's rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// scenario is one case; trouble tells whether the disruption happens.
type scenario struct {
	bounds    bounds
	tellsBorn bool
	play      func(d *deployment, trouble bool) (verdict, error)
}

var scenarios = map[string]scenario{
	"late":    {bounds{6_000, 200, 4000, 3000}, true, playLate},
	"closed":  {bounds{10_000, 400, 3000, 2000}, false, playClosed},
	"restart": {bounds{10_000, 400, 3000, 2000}, false, playRestart},
	"label":   {bounds{10_000, 400, 3000, 2000}, false, playLabel},
	"wave":    {bounds{10_000, 400, 3000, 2000}, false, playWave},
	"count":   {bounds{10_000, 400, 3000, 2000}, false, playCount},
}

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", "", "directory for the settings of the entry VMs")
	template := flag.String("template", "", "template of these settings")
	record := flag.String("record", "", "file for the record")
	flag.Parse()
	status, err := play(*name, *dir, *template, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	os.Exit(status)
}

func play(name, dir, template, record string, trouble bool) (status int, err error) {
	s, known := scenarios[name]
	if !known {
		return 2, fmt.Errorf("no case %q", name)
	}
	rec, err := newRecorder(record)
	if err != nil {
		return 2, err
	}
	p, err := newPlatform(rec, timeMS(s.bounds.maxHoldMS))
	if err != nil {
		return 2, err
	}
	p.tellsBorn = s.tellsBorn
	d, err := newDeployment(p, s.bounds, template, dir)
	if err != nil {
		return 2, err
	}
	rec.add("case %s, disruption: %t", name, trouble)
	v, err := s.play(d, trouble)
	if err != nil {
		rec.add("the case could not run: %v", err)
		return 2, err
	}
	rec.add("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1, nil
	}
	return 0, nil
}
