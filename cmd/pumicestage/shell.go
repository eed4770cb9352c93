package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/peterh/liner"

	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/operator/client"
	"github.com/pumicestage/pumicestage/policy/model"
)

// historyMode makes the history file readable by its owner only, as the reasons
// in orders may name customers.
const historyMode = 0o600

const prompt = "pumicestage> "

// addShell registers the shell command. It prompts only if standard input is a
// terminal, and otherwise reads it as a script.
func addShell(app *kingpin.Application, c *cli) {
	cmd := app.Command("shell", "Ask questions and give orders at a prompt with history and completion.")
	history := cmd.Flag("history", "File that keeps the history; empty for none.").Default(defaultHistoryPath()).String()
	cmd.Action(action(func(ctx context.Context) error {
		if !liner.TerminalSupported() || c.stdin != io.Reader(os.Stdin) || !isTerminal(os.Stdin) {
			return c.runScript(ctx)
		}
		return c.runPrompt(ctx, *history)
	}))
}

// defaultHistoryPath returns the default path of the file that keeps the lines
// entered at the prompt, in the user's home directory. It is empty, which keeps
// no history, if the home directory is not known.
func defaultHistoryPath() string {
	home, err := os.UserHomeDir()
	if err != nil {
		return ""
	}
	return filepath.Join(home, ".pumicestage_history")
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// runScript runs the lines of standard input and stops at the first that fails.
// It skips empty lines and lines that begin with "#".
func (c *cli) runScript(ctx context.Context) error {
	scanner := bufio.NewScanner(c.stdin)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.runStatement(ctx, line); err != nil {
			return err
		}
	}
	return scanner.Err()
}

// runPrompt reads and runs lines from a terminal until end of file. A line that
// fails is reported and does not end the shell.
func (c *cli) runPrompt(ctx context.Context, history string) error {
	term := liner.NewLiner()
	defer term.Close()
	term.SetCtrlCAborts(true)
	names := &cachedNames{cli: c}
	term.SetWordCompleter(func(line string, pos int) (string, []string, string) {
		head, completions := complete(ctx, line[:pos], names)
		return head, completions, line[pos:]
	})
	readHistory(term, history)
	defer func() { c.writeHistory(term, history) }()
	fmt.Fprintln(c.stdout, "Questions: show, explain, what-if. Orders: drain, undrain, move, start, pause, resume, cancel, set, submit. Tab completes, Ctrl-D leaves.")
	for {
		line, err := term.Prompt(prompt)
		if errors.Is(err, liner.ErrPromptAborted) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		term.AppendHistory(line)
		if err := c.runStatement(ctx, line); err != nil {
			fmt.Fprintln(c.stderr, err)
		}
	}
}

// runStatement runs one line as a question or an order. It parses the line first,
// so that syntax errors are reported without a request to a server.
func (c *cli) runStatement(ctx context.Context, line string) error {
	statement, err := lang.Parse(line)
	if err != nil {
		return err
	}
	if _, isQuestion := statement.(lang.Question); isQuestion {
		return c.runQuery(ctx, line, nil)
	}
	return c.do(ctx, api.DoRequest{Text: line, Change: model.ChangeID(newChangeID())})
}

func readHistory(term *liner.State, path string) {
	f, err := os.Open(path)
	if err != nil {
		return // the file does not exist before the first use
	}
	defer f.Close()
	_, _ = term.ReadHistory(f)
}

func (c *cli) writeHistory(term *liner.State, path string) {
	if path == "" {
		return
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, historyMode)
	if err == nil {
		defer f.Close()
		_, err = term.WriteHistory(f)
	}
	if err != nil {
		fmt.Fprintln(c.stderr, "pumicestage: history not kept:", err)
	}
}

// nameLister lists the existing names of a class, such as all VMs.
type nameLister interface {
	names(ctx context.Context, class lang.Class) []string
}

// complete returns the line up to its last, incomplete word and the possible
// completions of that word.
func complete(ctx context.Context, line string, names nameLister) (head string, completions []string) {
	start := strings.LastIndexAny(line, " \t") + 1
	head, prefix := line[:start], line[start:]
	var candidates []string
	for _, h := range lang.Hints(head) {
		switch {
		case h.Word != "":
			candidates = append(candidates, h.Word)
		case h.Class == lang.ClassField:
			candidates = append(candidates, lang.FieldsAfter(head)...)
		default:
			candidates = append(candidates, names.names(ctx, h.Class)...)
		}
	}
	for _, candidate := range candidates {
		if strings.HasPrefix(candidate, prefix) {
			completions = append(completions, candidate+" ")
		}
	}
	return head, completions
}

// cachedNames asks an entry VM for the names of a class and keeps the result, so
// that each class is queried once.
type cachedNames struct {
	cli     *cli
	byClass map[lang.Class][]string
}

// listQueries maps a class to the query whose first column lists its names.
var listQueries = map[lang.Class]string{
	lang.ClassVM: "show vms", lang.ClassJob: "show jobs", lang.ClassRack: "show racks", lang.ClassZone: "show zones",
	lang.ClassWave: "show waves", lang.ClassService: "show services", lang.ClassPool: "show pools",
	lang.ClassTeam: "show teams",
}

func (n *cachedNames) names(ctx context.Context, class lang.Class) []string {
	if found, ok := n.byClass[class]; ok {
		return found
	}
	question, ok := listQueries[class]
	if !ok {
		return nil
	}
	var found []string
	err := n.cli.call(ctx, func(ctx context.Context, cl *client.Client) error {
		answer, err := cl.Query(ctx, question, nil)
		if err != nil || answer.Table == nil {
			return err
		}
		for _, row := range answer.Table.Rows {
			found = append(found, row[0])
		}
		return nil
	})
	if err != nil {
		return nil // completion is optional; running the line reports the error
	}
	if n.byClass == nil {
		n.byClass = make(map[lang.Class][]string)
	}
	n.byClass[class] = found
	return found
}
