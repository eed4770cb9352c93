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

// historyMode keeps the history from other users: reasons may name customers.
const historyMode = 0o600

const prompt = "pumicestage> "

func addShell(app *kingpin.Application, c *cli) {
	cmd := app.Command("shell", "Ask questions and give orders at a prompt with history and completion.")
	history := cmd.Flag("history", "File that keeps the history; empty for none.").Default(defaultHistory()).String()
	cmd.Action(action(func(ctx context.Context) error {
		if !liner.TerminalSupported() || c.stdin != io.Reader(os.Stdin) || !isTerminal(os.Stdin) {
			return c.lines(ctx)
		}
		return c.shell(ctx, *history)
	}))
}

func defaultHistory() string {
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

// lines runs the lines of a stream that is no terminal and stops at the first
// that fails.
func (c *cli) lines(ctx context.Context) error {
	scanner := bufio.NewScanner(c.stdin)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.statement(ctx, line); err != nil {
			return err
		}
	}
	return scanner.Err()
}

func (c *cli) shell(ctx context.Context, history string) error {
	term := liner.NewLiner()
	defer term.Close()
	term.SetCtrlCAborts(true)
	names := &nameSource{cli: c}
	term.SetWordCompleter(func(line string, pos int) (string, []string, string) {
		head, words := complete(ctx, line[:pos], names)
		return head, words, line[pos:]
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
		if err := c.statement(ctx, line); err != nil {
			fmt.Fprintln(c.stderr, err)
		}
	}
}

// statement runs one line. It is parsed here first, so that a slip needs no
// server to be told.
func (c *cli) statement(ctx context.Context, line string) error {
	st, err := lang.Parse(line)
	if err != nil {
		return err
	}
	if _, isQuestion := st.(lang.Question); isQuestion {
		return c.ask(ctx, line, nil)
	}
	return c.do(ctx, api.DoRequest{Text: line, Change: model.ChangeID(newChangeID())})
}

func readHistory(term *liner.State, path string) {
	f, err := os.Open(path)
	if err != nil {
		return // the first time there is none
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

// namer tells the names that exist of a class.
type namer interface {
	names(ctx context.Context, class lang.Class) []string
}

// complete returns the line up to the word at its end, and what that word may
// become.
func complete(ctx context.Context, line string, names namer) (head string, words []string) {
	start := strings.LastIndexAny(line, " \t") + 1
	head, part := line[:start], line[start:]
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
	for _, w := range candidates {
		if strings.HasPrefix(w, part) {
			words = append(words, w+" ")
		}
	}
	return head, words
}

// nameSource asks an entry VM for names, once for each class.
type nameSource struct {
	cli   *cli
	known map[lang.Class][]string
}

// listOf is the question whose first column has the names of a class.
var listOf = map[lang.Class]string{
	lang.ClassVM: "show vms", lang.ClassJob: "show jobs", lang.ClassRack: "show racks", lang.ClassZone: "show zones",
	lang.ClassWave: "show waves", lang.ClassService: "show services", lang.ClassPool: "show pools",
	lang.ClassTeam: "show teams",
}

func (n *nameSource) names(ctx context.Context, class lang.Class) []string {
	if found, ok := n.known[class]; ok {
		return found
	}
	question, ok := listOf[class]
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
		return nil // completion is a help; the line itself will tell the error
	}
	if n.known == nil {
		n.known = make(map[lang.Class][]string)
	}
	n.known[class] = found
	return found
}
