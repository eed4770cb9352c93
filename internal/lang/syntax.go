package lang

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError reports a line that is not of the language.
type SyntaxError struct {
	Input    string
	Offset   int      // byte of Input where the offending word starts
	Found    string   // the word; empty for the end of the line
	Expected []string // what may stand there instead
}

// Error implements error: the line, a caret under the word, and what may
// stand there.
func (e *SyntaxError) Error() string {
	var b strings.Builder
	found := fmt.Sprintf("%q", e.Found)
	if e.Found == "" {
		found = "the end of the line"
	}
	fmt.Fprintf(&b, "unexpected %s", found)
	if e.Input != "" {
		fmt.Fprintf(&b, "\n  %s\n  %s%s", flat(e.Input), e.indent(), e.carets())
	}
	if len(e.Expected) > 0 {
		fmt.Fprintf(&b, "\nexpected %s", oneOf(e.Expected))
	}
	return b.String()
}

func (e *SyntaxError) indent() string {
	return strings.Repeat(" ", utf8.RuneCountInString(flat(e.Input[:e.Offset])))
}

func (e *SyntaxError) carets() string {
	return strings.Repeat("^", max(1, utf8.RuneCountInString(e.Found)))
}

// flat puts the line on one line of the terminal and keeps control characters
// out of it.
func flat(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
}

func oneOf(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	return "one of: " + strings.Join(words, ", ")
}

func syntaxError(input string, err error) *SyntaxError {
	offset := offsetOf(input, err)
	// The lexer stops at a character it has no word for also where an earlier
	// word has left the grammar already; the first mistake is the one to tell.
	if earlier := firstError(input[:offset]); earlier != nil {
		offset = min(offset, offsetOf(input[:offset], earlier))
	}
	return &SyntaxError{
		Input:    input,
		Offset:   offset,
		Found:    wordAt(input, offset),
		Expected: expected(input[:offset]),
	}
}

func firstError(input string) error {
	words, err := lex(input)
	if err != nil {
		return err
	}
	_, err = parseWords(&replay{words: words, end: lexer.Position{Offset: len(input)}})
	return err
}

func offsetOf(input string, err error) int {
	var located participle.Error
	if !errors.As(err, &located) {
		return len(input)
	}
	return min(max(located.Position().Offset, 0), len(input))
}

// wordAt returns the word that starts at the offset, as the lexer or, where
// that has no word for it, the eye would take it.
func wordAt(input string, offset int) string {
	rest := input[offset:]
	if rest == "" {
		return ""
	}
	if end := strings.IndexAny(rest, " \t\r\n"); end > 0 {
		return rest[:end]
	}
	return strings.TrimRight(rest, " \t\r\n")
}

func atWord(input string, w word, expected []string) *SyntaxError {
	return &SyntaxError{Input: input, Offset: w.Pos.Offset, Found: w.Text, Expected: expected}
}

func misplaced(input string, expected []string) *SyntaxError {
	offset := len(input) - len(strings.TrimLeft(input, " \t\r\n"))
	return &SyntaxError{Input: input, Offset: offset, Found: wordAt(input, offset), Expected: append([]string{}, expected...)}
}
