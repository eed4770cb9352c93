package lang

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/pumicestage/pumicestage/policy/model"
)

// The length of a line is limited because reporting a syntax error parses the
// text before the error some fifty times to find what is expected there. Lines
// that operators type are far shorter; an error at the end of a line of maximum
// length costs some milliseconds.
const (
	maxLineBytes = 4096
	maxWords     = 128
)

// maxLimit is the maximum of a service's limit of requests in flight.
const maxLimit = 1_000_000_000

// Parse parses one line. Its error is a *SyntaxError.
func Parse(input string) (Statement, error) {
	if len(input) > maxLineBytes {
		return nil, tooLong(len(input), "bytes", maxLineBytes)
	}
	words, err := lex(input)
	if err != nil {
		return nil, syntaxError(input, err)
	}
	if len(words) > maxWords {
		return nil, tooLong(len(words), "words", maxWords)
	}
	tree, err := parseWords(&tokenReader{tokens: words, end: lexer.Position{Offset: len(input)}})
	if err != nil {
		return nil, syntaxError(input, err)
	}
	return convert(input, tree)
}

func tooLong(n int, of string, limit int) *SyntaxError {
	return &SyntaxError{Found: fmt.Sprintf("a line of %d %s", n, of), Expected: []string{fmt.Sprintf("at most %d", limit)}}
}

// ParseQuestion is like Parse but accepts only questions.
func ParseQuestion(input string) (Question, error) {
	st, err := Parse(input)
	if err != nil {
		return nil, err
	}
	q, ok := st.(Question)
	if !ok {
		return nil, wrongStatementKind(input, questionWords)
	}
	return q, nil
}

// ParseOrder is like Parse but accepts only orders.
func ParseOrder(input string) (Order, error) {
	st, err := Parse(input)
	if err != nil {
		return nil, err
	}
	o, ok := st.(Order)
	if !ok {
		return nil, wrongStatementKind(input, orderWords)
	}
	return o, nil
}

var (
	questionWords = []string{"show", "explain", "what-if"}
	orderWords    = []string{"drain", "undrain", "move", "start", "pause", "resume", "cancel", "set", "submit"}
)

// convert converts the parse tree of a line to its statement. input is the text
// of the line, for errors.
func convert(input string, tree *line) (Statement, error) {
	switch {
	case tree.Show != nil:
		return convertShow(input, tree.Show)
	case tree.Explain != nil:
		return Explain{Subject: Subject(tree.Explain.Subject), Name: tree.Explain.Name.Text}, nil
	case tree.WhatIf != nil:
		return convertWhatIf(tree.WhatIf), nil
	case tree.Drain != nil:
		return Drain{Reason: reason(tree.Drain.Reason), Scope: scope(&tree.Drain.Scope), Cut: tree.Drain.Cut}, nil
	case tree.Undrain != nil:
		return Undrain{Reason: reason(tree.Undrain.Reason), VM: model.VMID(tree.Undrain.VM.Text)}, nil
	case tree.Move != nil:
		return move(tree.Move), nil
	case tree.Start != nil:
		return start(&tree.Start.Run, tree.Start.Reason), nil
	case tree.Pause != nil:
		return PauseWave{Reason: reason(tree.Pause.Reason), Wave: waveName(tree.Pause.Wave)}, nil
	case tree.Resume != nil:
		return ResumeWave{Reason: reason(tree.Resume.Reason), Wave: waveName(tree.Resume.Wave)}, nil
	case tree.Cancel != nil:
		return convertCancel(input, tree.Cancel)
	case tree.Submit != nil:
		return convertSubmit(input, tree.Submit)
	default:
		return convertSet(input, tree.Set)
	}
}

func convertShow(input string, s *showLine) (Statement, error) {
	show := Show{Kind: Kind(s.Kind)}
	if s.Budget != nil {
		show.Kind = ShowBudgets
		show.Service = model.ServiceName(s.Budget.Text)
	}
	conditions, err := convertWhere(input, show.Kind, s.Where)
	show.Where = conditions
	return show, err
}

func convertWhere(input string, kind Kind, where *wherePart) ([]Condition, error) {
	if where == nil {
		return nil, nil
	}
	var conditions []Condition
	for _, c := range where.Conditions {
		if !hasField(kind, c.Field.Text) {
			return nil, errorAtWord(input, c.Field, Fields(kind))
		}
		conditions = append(conditions, Condition{Field: c.Field.Text, Comparison: Comparison(c.Comparison), Value: c.Value.Text})
	}
	return conditions, nil
}

func convertWhatIf(w *whatIfLine) Statement {
	switch {
	case w.Drain != nil:
		return WhatIf{Order: Drain{Scope: scope(w.Drain)}}
	case w.Lose != nil:
		lost := scope(w.Lose)
		return WhatIf{Lose: &lost}
	case w.Move != nil:
		return WhatIf{Order: move(w.Move)}
	case w.Wave != nil:
		return WhatIf{Order: start(w.Wave, nil)}
	default:
		return WhatIf{Declaration: true}
	}
}

func convertCancel(input string, c *cancelLine) (Statement, error) {
	if c.Wave != nil {
		return CancelWave{Reason: reason(c.Reason), Wave: waveName(*c.Wave)}, nil
	}
	if c.Job != nil {
		return CancelJobs{Reason: reason(c.Reason), Job: model.JobID(c.Job.Text)}, nil
	}
	conditions, err := convertWhere(input, ShowJobs, c.Jobs)
	if err != nil {
		return nil, err
	}
	return CancelJobs{Reason: reason(c.Reason), Where: conditions}, nil
}

func convertSet(input string, s *setLine) (Statement, error) {
	limit, err := strconv.Atoi(s.Limit.Text)
	if err != nil || limit < 0 || limit > maxLimit {
		return nil, errorAtWord(input, s.Limit, []string{"a whole number of at least 0"})
	}
	return SetLimit{Reason: reason(s.Reason), Service: model.ServiceName(s.Service.Text), Limit: limit}, nil
}

func scope(s *scopePart) Scope { return Scope{Subject: Subject(s.Subject), Name: s.Name.Text} }

func move(m *moveLine) Move {
	return Move{Reason: reason(m.Reason), VM: model.VMID(m.VM.Text), Pool: model.PoolName(m.Pool.Text)}
}

func start(r *runPart, clause *reasonPart) StartWave {
	st := StartWave{Reason: reason(clause), Wave: waveName(r.Name)}
	for _, p := range r.Pools {
		st.Pools = append(st.Pools, model.PoolName(p.Text))
	}
	return st
}

func waveName(w word) model.WaveName { return model.WaveName(w.Text) }

func reason(r *reasonPart) Reason {
	if r == nil {
		return Reason{}
	}
	return Reason{Text: strings.TrimSpace(r.Text)}
}
