package lang

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError reports a line that is not a valid statement.
type SyntaxError struct {
	Input    string
	Offset   int      // in bytes of Input, of the start of the offending word
	Found    string   // the offending word; empty for the end of the line
	Expected []string // what is valid at this position
}

// Error implements error. The text shows the line, carets under the offending
// word, and what is valid there.
func (e *SyntaxError) Error() string {
	var b strings.Builder
	found := fmt.Sprintf("%q", e.Found)
	if e.Found == "" {
		found = "the end of the line"
	}
	fmt.Fprintf(&b, "unexpected %s", found)
	if e.Input != "" {
		fmt.Fprintf(&b, "\n  %s\n  %s%s", singleLine(e.Input), e.indent(), e.carets())
	}
	if len(e.Expected) > 0 {
		fmt.Fprintf(&b, "\nexpected %s", oneOf(e.Expected))
	}
	return b.String()
}

func (e *SyntaxError) indent() string {
	return strings.Repeat(" ", utf8.RuneCountInString(singleLine(e.Input[:e.Offset])))
}

func (e *SyntaxError) carets() string {
	return strings.Repeat("^", max(1, utf8.RuneCountInString(e.Found)))
}

// singleLine replaces control characters with spaces, so that the text takes one
// line on a terminal and can't send it control sequences.
func singleLine(s string) string {
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

// syntaxError converts an error of the lexer or parser.
func syntaxError(input string, err error) *SyntaxError {
	offset := offsetOf(input, err)
	// The lexer fails at the first invalid character even if an earlier word
	// already violates the grammar. Report the first error of the line.
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

// firstError returns the first lexer or parser error in the input, or nil.
func firstError(input string) error {
	words, err := lex(input)
	if err != nil {
		return err
	}
	_, err = parseWords(&tokenReader{tokens: words, end: lexer.Position{Offset: len(input)}})
	return err
}

// offsetOf returns the byte offset of the error within the input; the end of the
// input if the error has no position.
func offsetOf(input string, err error) int {
	var located participle.Error
	if !errors.As(err, &located) {
		return len(input)
	}
	return min(max(located.Position().Offset, 0), len(input))
}

// wordAt returns the text from the offset to the next white space, whether or not
// the lexer accepts it as a word.
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

// errorAtWord returns the error for a word that the grammar accepts but whose
// value is invalid.
func errorAtWord(input string, w word, expected []string) *SyntaxError {
	return &SyntaxError{Input: input, Offset: w.Pos.Offset, Found: w.Text, Expected: expected}
}

// wrongStatementKind returns the error for a question where an order is required,
// or the reverse. expected lists the words that may start the line.
func wrongStatementKind(input string, expected []string) *SyntaxError {
	offset := len(input) - len(strings.TrimLeft(input, " \t\r\n"))
	return &SyntaxError{Input: input, Offset: offset, Found: wordAt(input, offset), Expected: append([]string{}, expected...)}
}
