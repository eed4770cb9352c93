// Command pumicestage is the operators' command line.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// addCommand registers one command.
type addCommand func(app *kingpin.Application, c *cli)

// commands lists all commands, each declared in a file of its own.
var commands = []addCommand{
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
