// Command pumicestage is the operators' command line. Most commands call the
// operator API of an entry VM; explain reads its metrics address.
//
// A declaration is the configuration of the fleet, read from INI files. Each
// accepted declaration gets the next generation number, and an entry VM that
// works by a generation has it in force. Statements are questions, which only
// read, and orders, which change state, such as "drain"; package lang parses
// both. Each apply or order carries a change ID, so that a repeated request does
// not take effect twice.
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
