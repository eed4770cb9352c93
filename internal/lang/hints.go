package lang

import (
	"strings"

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
	prefix = strings.TrimRight(prefix, " \t\r\n")
	if prefix != "" {
		prefix += " "
	}
	if takes(prefix, probeWord) {
		return []Hint{{Class: classOf(prefix)}}
	}
	var hints []Hint
	for _, k := range keywords {
		if takes(prefix, k) {
			hints = append(hints, Hint{Word: k})
		}
	}
	if takes(prefix, probeString) {
		hints = append(hints, Hint{Class: ClassText})
	}
	if _, err := parser.ParseString("", prefix); err == nil {
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

// takes reports whether the grammar takes the word after the prefix, also
// where it then misses more words.
func takes(prefix, word string) bool {
	_, err := parser.ParseString("", prefix+word)
	if err == nil {
		return true
	}
	return offsetOf(prefix+word, err) > len(prefix)
}

// classAfter gives the class of the name that follows a word.
var classAfter = map[string]Class{
	"vm": ClassVM, "job": ClassJob, "rack": ClassRack, "zone": ClassZone, "wave": ClassWave,
	"service": ClassService, "budget": ClassService, "pool": ClassPool, ",": ClassPool,
	"limit": ClassNumber, "where": ClassField, "and": ClassField,
}

// classOf names the class of words that may follow the prefix by the last
// word of it.
func classOf(prefix string) Class {
	words := split(prefix)
	if len(words) == 0 {
		return ClassValue
	}
	if class, ok := classAfter[words[len(words)-1]]; ok {
		return class
	}
	return ClassValue
}

// FieldsAfter returns the fields that a where clause at the end of the prefix
// may use.
func FieldsAfter(prefix string) []string {
	for _, word := range split(prefix) {
		if fields := Fields(Kind(word)); fields != nil {
			return fields
		}
	}
	return nil
}

// split returns the words of a line as far as it has any.
func split(line string) []string {
	lx, err := tokens.LexString("", line)
	if err != nil {
		return nil
	}
	space := tokens.Symbols()["Space"]
	var words []string
	for {
		tok, err := lx.Next()
		if err != nil || tok.Type == lexer.EOF {
			return words
		}
		if tok.Type != space {
			words = append(words, tok.Value)
		}
	}
}
