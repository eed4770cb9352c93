// Command pumicestage is the operators' command line.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// verb adds one verb to the command line.
type verb func(app *kingpin.Application, c *cli)

// verbs are all verbs, each in a file of its own.
var verbs = []verb{
	addCheck,
	addDiff,
	addApply,
	addQuery,
	addDo,
	addAudit,
	addExplain,
	addTop,
	addShell,
	addToken,
	addDev,
	addDevJobs,
}

func main() {
	os.Exit(run(os.Args[1:], newCLI(os.Stdin, os.Stdout, os.Stderr)))
}
