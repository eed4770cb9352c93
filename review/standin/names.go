package main

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the names of the users' protocol that only package platform may spell out.
//
//go:embed names.json
var namesJSON []byte

var names = readNames()

func readNames() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesJSON, &m); err != nil {
		panic(err) // embedded, so it is the same at every start
	}
	return m
}

// wire returns the name on the wire; an unknown one is a mistake in this program.
func wire(name string) string {
	w, known := names[name]
	if !known {
		panic("no name on the wire: " + name)
	}
	return w
}
