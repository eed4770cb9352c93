package lang

import (
	"errors"
	"strconv"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Class is a class of words that may stand at a place.
type Class string

// The classes, as a phrase of an error message.
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

// Hint is one thing that may stand at a place: a word of the language, or any
// word of a class.
type Hint struct {
	Word  string // empty where Class is set
	Class Class
}

func (h Hint) phrase() string {
	if h.Word != "" {
		return h.Word
	}
	return string(h.Class)
}

// Probes stand for whole classes of words when Hints tries what the grammar
// takes.
const (
	probeWord   = "x0"
	probeString = `"x"`
)

// Hints returns what may follow the prefix, which ends between two words. The
// grammar itself is asked: each keyword and class of words is tried at the end
// of the prefix, so hints and completion cannot differ from what Parse takes.
func Hints(prefix string) []Hint {
	words, err := lex(prefix)
	if err != nil {
		return nil
	}
	if takes(words, probes[probeWord]) {
		return []Hint{{Class: classOf(words)}}
	}
	var hints []Hint
	for _, k := range keywords {
		if takes(words, probes[k]) {
			hints = append(hints, Hint{Word: k})
		}
	}
	if takes(words, probes[probeString]) {
		hints = append(hints, Hint{Class: ClassText})
	}
	if _, err := parseWords(&replay{words: words, count: true}); err == nil {
		hints = append(hints, Hint{Class: ClassEnd})
	}
	return hints
}

func expected(prefix string) []string {
	var phrases []string
	for _, h := range Hints(prefix) {
		phrases = append(phrases, h.phrase())
	}
	return phrases
}

// probes are the tokens that Hints tries. They are made once, and a prefix is
// lexed once for all of them: an error in a long line would else cost its
// length sixty times over.
var probes = makeProbes()

func makeProbes() map[string]lexer.Token {
	made := make(map[string]lexer.Token)
	for _, text := range append([]string{probeWord, probeString}, keywords...) {
		words, err := lex(text)
		if err != nil {
			panic("lang: a keyword that the lexer does not know: " + text)
		}
		made[text] = words[0]
	}
	return made
}

// lex returns the words of a text without the spaces and the end; texts in
// quotes without the quotes.
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

// replay is a lexer of words at hand. With count, their positions are their
// places in the list, which is all that takes asks for.
type replay struct {
	words []lexer.Token
	next  int
	end   lexer.Position
	count bool
}

// Next implements lexer.Lexer.
func (r *replay) Next() (lexer.Token, error) {
	place := lexer.Position{Offset: r.next}
	if r.next == len(r.words) {
		if r.count {
			return lexer.EOFToken(place), nil
		}
		return lexer.EOFToken(r.end), nil
	}
	tok := r.words[r.next]
	if r.count {
		tok.Pos = place
	}
	r.next++
	return tok, nil
}

func parseWords(r *replay) (*line, error) {
	peeking, err := lexer.Upgrade(r)
	if err != nil {
		return nil, err
	}
	return parser.ParseFromLexer(peeking)
}

// takes reports whether the grammar takes the word after the others, also
// where it then misses more words.
func takes(words []lexer.Token, word lexer.Token) bool {
	_, err := parseWords(&replay{words: append(words[:len(words):len(words)], word), count: true})
	var located participle.Error
	return err == nil || errors.As(err, &located) && located.Position().Offset > len(words)
}

// classAfter gives the class of the name that follows a word.
var classAfter = map[string]Class{
	"vm": ClassVM, "job": ClassJob, "rack": ClassRack, "zone": ClassZone, "wave": ClassWave,
	"service": ClassService, "budget": ClassService, "pool": ClassPool, ",": ClassPool,
	"limit": ClassNumber, "memory-mb": ClassNumber, "accelerators": ClassNumber, "team": ClassTeam, "where": ClassField, "and": ClassField,
}

// classOf names the class of words that may follow the last one.
func classOf(words []lexer.Token) Class {
	if len(words) == 0 {
		return ClassValue
	}
	if class, ok := classAfter[words[len(words)-1].Value]; ok {
		return class
	}
	return ClassValue
}

// FieldsAfter returns the fields that a where clause at the end of the prefix
// may use.
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
