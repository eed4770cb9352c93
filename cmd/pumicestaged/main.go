// Command pumicestaged is the entry daemon: one on each entry VM, all alike.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("pumicestaged", "The entry daemon: one on each entry VM, all alike.")
	app.Flag("config", "Settings file (INI).").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
