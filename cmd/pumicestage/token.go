package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/access"
)

// addToken registers the token command, which makes the secret token by which an
// operator authenticates to the operator API. It prints the token and the section
// with the token's hash for the token file, and needs no server.
func addToken(app *kingpin.Application, c *cli) {
	cmd := app.Command("token", "Make a token for an operator. The token goes to standard output, the section for the token file to standard error.")
	name := cmd.Arg("name", "The operator's name.").Required().String()
	role := cmd.Arg("role", "What the operator may do.").Required().Enum(access.RoleView.String(), access.RoleOperate.String(), access.RoleConfigure.String())
	cmd.Action(action(func(context.Context) error {
		token, hash := access.NewToken()
		fmt.Fprintf(c.stderr, "[operator %s]\nrole = %s\nhash = %s\n", *name, *role, hash)
		fmt.Fprintln(c.stdout, token)
		return nil
	}))
}
