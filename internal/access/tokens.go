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
	// tokenPrefix makes a token recognisable to people and to scanners that
	// look for secrets in places where none should be.
	tokenPrefix = "pst_"
	// minTokenLength is the least length of a token that is let in. The file
	// of hashes may be read by more people than the tokens, and a short token
	// is found from its hash by trying.
	minTokenLength = 24
	// hashPrefix names the hash in token files. Tokens are random and long, so
	// a fast hash is enough: there is nothing to guess.
	hashPrefix = "sha256:"
	// maxNameLength bounds an operator's name.
	maxNameLength = 64
)

// NewToken returns a random token and its hash for the token file.
func NewToken() (token, hash string) {
	token = tokenPrefix + strings.ToLower(rand.Text())
	return token, Hash(token)
}

// Hash returns the hash of a token as token files hold it.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// holder is one operator in the token file.
type holder struct {
	Identity
	hash [sha256.Size]byte
}

// Tokens is a Gate by bearer tokens. The token file is read anew when it
// changes; a file that cannot be read or has mistakes leaves the last good one
// in force. It is safe for concurrent use.
type Tokens struct {
	file *watched[[]holder]
}

var _ Gate = (*Tokens)(nil)

// NewTokens reads the token file: a section [operator NAME] for each, with
// role and hash. Mistakes in the first reading are an error.
func NewTokens(path string, clock clockwork.Clock, log logr.Logger) (*Tokens, error) {
	file, err := newWatched([]string{path}, clock, log, func(texts [][]byte) ([]holder, error) {
		return parseTokens(path, texts[0])
	})
	if err != nil {
		return nil, err
	}
	return &Tokens{file: file}, nil
}

// Admit implements Gate. The given token is compared with every hash, each in
// constant time, so that the time taken tells nothing of who there is.
func (t *Tokens) Admit(r *http.Request, need Role) (Identity, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Identity{}, &Error{Detail: "an operator's token is required"}
	}
	sum := sha256.Sum256([]byte(token))
	var found Identity
	for _, h := range t.file.get() {
		if subtle.ConstantTimeCompare(sum[:], h.hash[:]) == 1 {
			found = h.Identity
		}
	}
	if found.Name == "" || len(token) < minTokenLength {
		return Identity{}, &Error{Detail: "this token is not known"}
	}
	if found.Role < need {
		return found, &Error{Known: true, Detail: fmt.Sprintf("operator %s has role %s, this needs %s", found.Name, found.Role, need)}
	}
	return found, nil
}

// FileError reports mistakes in a file of this package. It holds no value of
// the file.
type FileError struct {
	Path     string
	Problems []string
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + strings.Join(e.Problems, "; ") }

func parseTokens(path string, text []byte) ([]holder, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, KeyValueDelimiters: "=", ChildSectionDelimiter: "\x00"}, text)
	if err != nil {
		return nil, &FileError{Path: path, Problems: []string{"not INI"}} // the library's text quotes the line
	}
	var holders []holder
	var problems []string
	seen := make(map[string]bool)
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		h, found := parseHolder(s)
		if seen[s.Name()] {
			found = append(found, "["+s.Name()+"] stands twice")
		}
		seen[s.Name()] = true
		problems = append(problems, found...)
		holders = append(holders, h)
	}
	if len(problems) > 0 {
		return nil, &FileError{Path: path, Problems: problems}
	}
	if len(holders) == 0 {
		return nil, &FileError{Path: path, Problems: []string{"no [operator NAME] section: nobody could be let in"}}
	}
	return holders, nil
}

func parseHolder(s *ini.Section) (holder, []string) {
	var h holder
	var problems []string
	bad := func(format string, args ...any) {
		problems = append(problems, "["+s.Name()+"] "+fmt.Sprintf(format, args...))
	}
	name, ok := strings.CutPrefix(s.Name(), "operator ")
	if !ok || name == "" || len(name) > maxNameLength {
		bad("expected [operator NAME]")
	}
	h.Name = name
	for _, key := range s.Keys() {
		switch key.Name() {
		case "role", "hash":
		default:
			bad("%s: unknown key, expected role or hash", key.Name())
		}
	}
	if h.Role, ok = ParseRole(s.Key("role").Value()); !ok {
		bad("role: expected view, operate or configure")
	}
	digits, prefixed := strings.CutPrefix(s.Key("hash").Value(), hashPrefix)
	sum, err := hex.DecodeString(digits)
	if err != nil || !prefixed || len(sum) != len(h.hash) {
		bad("hash: expected %s and %d hexadecimal digits", hashPrefix, 2*len(h.hash))
	}
	copy(h.hash[:], sum)
	return h, problems
}
