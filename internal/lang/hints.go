package lang

import (
	"errors"
	"strconv"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Class is a class of words, such as the names of pools, that the grammar accepts
// at some position.
type Class string

// The classes. Each value is the phrase for it in error messages.
const (
	ClassVM      Class = "the ID of a VM"
	ClassJob     Class = "the ID of a job"
	ClassRack    Class = "the name of a rack"
	ClassZone    Class = "the name of a zone"
	ClassWave    Class = "the name of a wave"
	ClassService Class = "the name of a service"
	ClassPool    Class = "the name of a pool"
	ClassTeam    Class = "the name of a team"
	ClassNumber  Class = "a whole number"
	ClassField   Class = "a field"
	ClassValue   Class = "a value"
	ClassText    Class = "a text in double quotes"
	ClassEnd     Class = "the end of the line"
)

// Hint is one possible continuation of a line: a keyword, or any word of a class.
type Hint struct {
	Word  string // empty if Class is set
	Class Class
}

// phrase returns the hint as listed in an error message.
func (h Hint) phrase() string {
	if h.Word != "" {
		return h.Word
	}
	return string(h.Class)
}

// To find out whether the grammar accepts a name or a quoted string at a position,
// Hints tries one example of each: the grammar does not depend on which name or
// string it is.
const (
	probeWord   = "x0"
	probeString = `"x"`
)

// Hints returns what may follow the prefix, which must end between two words. It
// returns nil if the prefix can't be split into words. Hints are derived from the
// grammar itself by trying each keyword and class of words after the prefix, so
// that error messages and completion cannot differ from what Parse accepts.
func Hints(prefix string) []Hint {
	words, err := lex(prefix)
	if err != nil {
		return nil
	}
	if accepts(words, probes[probeWord]) {
		return []Hint{{Class: classOf(words)}}
	}
	var hints []Hint
	for _, k := range keywords {
		if accepts(words, probes[k]) {
			hints = append(hints, Hint{Word: k})
		}
	}
	if accepts(words, probes[probeString]) {
		hints = append(hints, Hint{Class: ClassText})
	}
	if _, err := parseWords(&tokenReader{tokens: words, ordinalPos: true}); err == nil {
		hints = append(hints, Hint{Class: ClassEnd})
	}
	return hints
}

// expected returns the phrases of the hints for the prefix.
func expected(prefix string) []string {
	var phrases []string
	for _, h := range Hints(prefix) {
		phrases = append(phrases, h.phrase())
	}
	return phrases
}

// probes holds the tokens that Hints tries, by their text. They are created once,
// and a prefix is lexed once for all of them: lexing it for each of the about
// sixty probes would make an error in a long line correspondingly slower.
var probes = makeProbes()

func makeProbes() map[string]lexer.Token {
	made := make(map[string]lexer.Token)
	for _, text := range append([]string{probeWord, probeString}, keywords...) {
		words, err := lex(text)
		if err != nil {
			panic("lang: lexer rejects keyword: " + text)
		}
		made[text] = words[0]
	}
	return made
}

// lex splits a text into tokens, without white space and the end-of-file token.
// Quoted strings are unquoted.
func lex(text string) ([]lexer.Token, error) {
	lx, err := tokens.LexString("", text)
	if err != nil {
		return nil, err
	}
	var words []lexer.Token
	for {
		tok, err := lx.Next()
		if err != nil {
			return nil, err
		}
		switch tok.Type {
		case lexer.EOF:
			return words, nil
		case spaceType:
			continue
		case stringType:
			if tok.Value, err = strconv.Unquote(tok.Value); err != nil {
				return nil, participle.Errorf(tok.Pos, "not a text in double quotes")
			}
		}
		words = append(words, tok)
	}
}

var (
	spaceType  = tokens.Symbols()["Space"]
	stringType = tokens.Symbols()["String"]
)

// tokenReader is a lexer over a list of tokens. With ordinalPos, the offset of a
// token's position is its index in the list, which is all that accepts needs;
// otherwise tokens keep their positions, and end is the position of the end.
type tokenReader struct {
	tokens     []lexer.Token
	next       int
	end        lexer.Position
	ordinalPos bool
}

// Next implements lexer.Lexer.
func (r *tokenReader) Next() (lexer.Token, error) {
	place := lexer.Position{Offset: r.next}
	if r.next == len(r.tokens) {
		if r.ordinalPos {
			return lexer.EOFToken(place), nil
		}
		return lexer.EOFToken(r.end), nil
	}
	tok := r.tokens[r.next]
	if r.ordinalPos {
		tok.Pos = place
	}
	r.next++
	return tok, nil
}

func parseWords(r *tokenReader) (*line, error) {
	peeking, err := lexer.Upgrade(r)
	if err != nil {
		return nil, err
	}
	return parser.ParseFromLexer(peeking)
}

// accepts reports whether the grammar accepts the word after the others, even if
// the statement is still incomplete after it.
func accepts(words []lexer.Token, word lexer.Token) bool {
	_, err := parseWords(&tokenReader{tokens: append(words[:len(words):len(words)], word), ordinalPos: true})
	var located participle.Error
	return err == nil || errors.As(err, &located) && located.Position().Offset > len(words)
}

// classAfter is the class of the name or value that follows a keyword or sign.
var classAfter = map[string]Class{
	"vm": ClassVM, "job": ClassJob, "rack": ClassRack, "zone": ClassZone, "wave": ClassWave,
	"service": ClassService, "budget": ClassService, "pool": ClassPool, ",": ClassPool,
	"limit": ClassNumber, "memory-mb": ClassNumber, "accelerators": ClassNumber, "team": ClassTeam, "where": ClassField, "and": ClassField,
}

// classOf returns the class of the words that may follow the last one; ClassValue
// if classAfter has no entry for it.
func classOf(words []lexer.Token) Class {
	if len(words) == 0 {
		return ClassValue
	}
	if class, ok := classAfter[words[len(words)-1].Value]; ok {
		return class
	}
	return ClassValue
}

// FieldsAfter returns the fields that a where clause at the end of the prefix may
// use. It returns nil if the prefix names no kind.
func FieldsAfter(prefix string) []string {
	words, err := lex(prefix)
	if err != nil {
		return nil
	}
	for _, w := range words {
		if fields := Fields(Kind(w.Value)); fields != nil {
			return fields
		}
	}
	return nil
}
