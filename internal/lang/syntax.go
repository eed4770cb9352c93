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
	return &SyntaxError{
		Input:    input,
		Offset:   offset,
		Found:    wordAt(input, offset),
		Expected: Expected(input[:offset]),
	}
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

// Probes stand for whole classes of words when Expected tries what the grammar
// takes.
const (
	probeWord   = "x0"
	probeString = `"x"`
)

// Expected returns what may follow the prefix, asked of the grammar itself:
// each keyword and class of words is tried at the end of it. So hints and
// completion can not differ from what Parse takes.
func Expected(prefix string) []string {
	prefix = strings.TrimRight(prefix, " \t\r\n")
	if prefix != "" {
		prefix += " "
	}
	if takes(prefix, probeWord) {
		return []string{classOf(prefix)}
	}
	var expected []string
	for _, k := range keywords {
		if takes(prefix, k) {
			expected = append(expected, k)
		}
	}
	if takes(prefix, probeString) {
		expected = append(expected, "a text in double quotes")
	}
	if _, err := parser.ParseString("", prefix); err == nil {
		expected = append(expected, "the end of the line")
	}
	return expected
}

// takes reports whether the grammar takes the word after the prefix, also
// where it then misses more words.
func takes(prefix, word string) bool {
	_, err := parser.ParseString("", prefix+word)
	if err == nil {
		return true
	}
	return offsetOf(prefix+word, err) > len(prefix)
}

// classOf names the class of words that may follow the prefix by the last
// word of it.
func classOf(prefix string) string {
	words := lastWords(prefix)
	switch words[1] {
	case "vm":
		return "the ID of a VM"
	case "job":
		return "the ID of a job"
	case "rack", "zone", "wave", "service", "pool":
		return "the name of a " + words[1]
	case "budget":
		return "the name of a service"
	case "limit":
		return "a whole number"
	case "where", "and":
		return "a field"
	case ",":
		return "the name of a pool"
	}
	return "a value"
}

// lastWords returns the last two words of the prefix, the last one second.
func lastWords(prefix string) [2]string {
	var last [2]string
	lx, err := tokens.LexString("", prefix)
	if err != nil {
		return last
	}
	space := tokens.Symbols()["Space"]
	for {
		tok, err := lx.Next()
		if err != nil || tok.Type == lexer.EOF {
			return last
		}
		if tok.Type != space {
			last[0], last[1] = last[1], tok.Value
		}
	}
}
