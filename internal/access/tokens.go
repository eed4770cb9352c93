package access

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gopkg.in/ini.v1"
)

const (
	// tokenPrefix makes tokens recognizable to people and to secret scanners.
	tokenPrefix = "pst_"
	// minTokenLength is the minimum length of an accepted token, in bytes. The
	// file of hashes may be readable by more people than the tokens, and a short
	// token can be found from its hash by brute force.
	minTokenLength = 24
	// hashPrefix names the hash function in token files. A fast hash is
	// sufficient, because tokens are random and too long to be guessed.
	hashPrefix = "sha256:"
	// maxNameLength is the maximum length of an operator's name, in bytes.
	maxNameLength = 64
)

// NewToken returns a new random token, and its hash for the token file.
func NewToken() (token, hash string) {
	token = tokenPrefix + strings.ToLower(rand.Text())
	return token, Hash(token)
}

// Hash returns the hash of a token as it is written in token files.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// operator is the entry of one operator in the token file.
type operator struct {
	Identity
	hash [sha256.Size]byte
}

// Tokens is an Authorizer that checks bearer tokens against a token file. It
// reloads the file when it changes; if the file cannot be read or is invalid, the
// last valid contents stay in use. It is safe for concurrent use.
type Tokens struct {
	file *watchedFiles[[]operator]
}

var _ Authorizer = (*Tokens)(nil)

// NewTokens loads the token file, which has a section [operator NAME] with the
// keys role and hash for each operator. It returns a *FileError if the file
// cannot be read or is invalid.
func NewTokens(path string, clock clockwork.Clock, log logr.Logger) (*Tokens, error) {
	file, err := newWatchedFiles([]string{path}, clock, log, func(texts [][]byte) ([]operator, error) {
		return parseTokens(path, texts[0])
	})
	if err != nil {
		return nil, err
	}
	return &Tokens{file: file}, nil
}

// Authorize implements Authorizer. It compares the token's hash with that of
// every operator in constant time, so that the time taken reveals nothing about
// the operators.
func (t *Tokens) Authorize(r *http.Request, need Role) (Identity, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Identity{}, &Error{Detail: "an operator's token is required"}
	}
	sum := sha256.Sum256([]byte(token))
	var found Identity
	for _, o := range t.file.get() {
		if subtle.ConstantTimeCompare(sum[:], o.hash[:]) == 1 {
			found = o.Identity
		}
	}
	if found.Name == "" || len(token) < minTokenLength {
		return Identity{}, &Error{Detail: "this token is not known"}
	}
	if found.Role < need {
		return found, &Error{Authenticated: true, Detail: fmt.Sprintf("operator %s has role %s, this needs %s", found.Name, found.Role, need)}
	}
	return found, nil
}

// FileError reports why a token or certificate file cannot be used. It contains
// no values from the file, which may be secret.
type FileError struct {
	Path     string
	Problems []string
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + strings.Join(e.Problems, "; ") }

func parseTokens(path string, text []byte) ([]operator, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, KeyValueDelimiters: "=", ChildSectionDelimiter: "\x00"}, text)
	if err != nil {
		return nil, &FileError{Path: path, Problems: []string{"not INI"}} // the library's error quotes the line, which may contain a secret
	}
	var operators []operator
	var problems []string
	seen := make(map[string]bool)
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		o, found := parseOperator(s)
		if seen[s.Name()] {
			found = append(found, "["+s.Name()+"] stands twice")
		}
		seen[s.Name()] = true
		problems = append(problems, found...)
		operators = append(operators, o)
	}
	if len(problems) > 0 {
		return nil, &FileError{Path: path, Problems: problems}
	}
	if len(operators) == 0 {
		return nil, &FileError{Path: path, Problems: []string{"no [operator NAME] section: nobody could be let in"}}
	}
	return operators, nil
}

func parseOperator(s *ini.Section) (operator, []string) {
	var o operator
	var problems []string
	bad := func(format string, args ...any) {
		problems = append(problems, "["+s.Name()+"] "+fmt.Sprintf(format, args...))
	}
	name, ok := strings.CutPrefix(s.Name(), "operator ")
	if !ok || name == "" || len(name) > maxNameLength {
		bad("expected [operator NAME]")
	}
	o.Name = name
	for _, key := range s.Keys() {
		switch key.Name() {
		case "role", "hash":
		default:
			bad("%s: unknown key, expected role or hash", key.Name())
		}
	}
	if o.Role, ok = ParseRole(s.Key("role").Value()); !ok {
		bad("role: expected view, operate or configure")
	}
	digits, prefixed := strings.CutPrefix(s.Key("hash").Value(), hashPrefix)
	sum, err := hex.DecodeString(digits)
	if err != nil || !prefixed || len(sum) != len(o.hash) {
		bad("hash: expected %s and %d hexadecimal digits", hashPrefix, 2*len(o.hash))
	}
	copy(o.hash[:], sum)
	return o, problems
}
