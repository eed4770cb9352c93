package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/operator/client"
	"github.com/pumicestage/pumicestage/policy/model"
)

// addDo registers the do command, which sends one order, such as "drain", to an
// entry VM.
func addDo(app *kingpin.Application, c *cli) {
	cmd := app.Command("do", "Give an order: drain, undrain, move, start, pause, resume, cancel, set or submit.")
	words := cmd.Arg("order", "The order, as one argument or many.").Required().Strings()
	change := cmd.Flag("change", "Change ID; give that of an earlier try to repeat it.").String()
	ifRevision := cmd.Flag("if-revision", "Refuse unless the key that decides has this revision.").Int64()
	cmd.Action(action(func(ctx context.Context) error {
		req := api.DoRequest{Text: orderText(*words), Change: model.ChangeID(*change), IfRevision: infra.Revision(*ifRevision)}
		return c.do(ctx, req)
	}))
}

// orderText joins the command-line arguments to one order, a statement of package
// lang that changes state. It puts quotation marks around arguments with spaces
// and around the one after the keyword "reason", because the operator's shell has
// removed them. A single argument is the whole order and is returned unchanged.
func orderText(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	quoted := make([]string, len(words))
	for i, w := range words {
		quoted[i] = w
		if strings.ContainsAny(w, " \t") || i > 0 && words[i-1] == "reason" && !strings.HasPrefix(w, `"`) {
			quoted[i] = fmt.Sprintf("%q", w)
		}
	}
	return strings.Join(quoted, " ")
}

// partlyRefusedError reports that an order on several objects was refused for
// some of them.
type partlyRefusedError struct {
	refused, total int
}

// Error implements error.
func (e *partlyRefusedError) Error() string {
	return fmt.Sprintf("%d of %d refused", e.refused, e.total)
}

// do sends an order and prints its effects. It returns a *partlyRefusedError if
// the order was refused for some objects.
func (c *cli) do(ctx context.Context, req api.DoRequest) error {
	if req.Change == "" {
		req.Change = model.ChangeID(newChangeID())
	}
	var reply api.DoReply
	err := c.call(ctx, func(ctx context.Context, cl *client.Client) error {
		var err error
		reply, err = cl.Do(ctx, req)
		return err
	})
	if err != nil {
		return annotateError(string(req.Change), err)
	}
	if err := c.printEffects(reply); err != nil {
		return err
	}
	if reply.Refused > 0 {
		return &partlyRefusedError{refused: reply.Refused, total: len(reply.Effects)}
	}
	return nil
}

func (c *cli) printEffects(reply api.DoReply) error {
	if reply.Warning != "" {
		fmt.Fprintln(c.stderr, "pumicestage: warning:", reply.Warning)
	}
	if c.output == outputJSON {
		return c.printJSON(reply)
	}
	for _, e := range reply.Effects {
		if e.Refused != "" {
			fmt.Fprintf(c.stdout, "%s: %s\n", e.What, e.Refused)
			continue
		}
		fmt.Fprintf(c.stdout, "%s: %s -> %s (revision %d)\n", e.What, e.Before, e.After, e.Revision)
	}
	fmt.Fprintf(c.stdout, "change %s\n", reply.Change)
	return nil
}
