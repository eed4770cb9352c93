package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol are kept in a data file: the project keeps them out of its
// code outside the adapter.
//
//go:embed names.json
var namesFile []byte

var names = func() map[string]string {
	m := make(map[string]string)
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()

// wire returns the protocol's name for the given one.
func wire(name string) string {
	out, ok := names[name]
	if !ok {
		panic("no wire name " + name)
	}
	return out
}
