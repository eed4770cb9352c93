// Command pumicestage is the operators' command line.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("pumicestage", "Fleet capacity and maintenance manager: the operators' command line.")
	addDev(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
