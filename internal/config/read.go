package config

import (
	"errors"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// section is one section as read from a file; its values are not yet parsed.
type section struct {
	file   string
	kind   string
	name   string
	title  string // kind and name: "service preview"
	values map[string]string
	order  []string // keys in the order of the file
}

// setDefault sets a key that has no entry in the section.
func (s *section) setDefault(key, value string) {
	if _, ok := s.values[key]; ok {
		return
	}
	s.values[key] = value
}

// iniOptions keeps the library from merging duplicate sections and keys and from
// inheriting keys, so that these can be reported as problems.
var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\x00",
}

// listFiles returns path itself if it is a file, or the .ini files in the
// directory, sorted by name. Its errors are *ReadError.
func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	found, err := filepath.Glob(filepath.Join(path, "*.ini"))
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	if len(found) == 0 {
		return nil, &ReadError{Path: path, Err: errors.New("no .ini file in the folder")}
	}
	sort.Strings(found)
	return found, nil
}

// readSections parses the text of one file. Text that is not INI is reported as
// one problem, and the other files are still checked.
func readSections(file string, text []byte) ([]*section, []Problem) {
	parsed, err := ini.LoadSources(iniOptions, text)
	if err != nil {
		return nil, []Problem{{File: file, Given: oneLine(err.Error()), Expected: "INI: [section] lines and key = value lines"}}
	}
	var sections []*section
	var problems []Problem
	for _, raw := range parsed.Sections() {
		if raw.Name() == ini.DefaultSection {
			problems = append(problems, keysOutsideSections(file, raw)...)
			continue
		}
		s, found := readSection(file, raw)
		problems = append(problems, found...)
		if s != nil {
			sections = append(sections, s)
		}
	}
	return sections, problems
}

func keysOutsideSections(file string, raw *ini.Section) []Problem {
	var problems []Problem
	for _, key := range raw.Keys() {
		problems = append(problems, Problem{File: file, Key: key.Name(), Given: "a key before the first section", Expected: "every key in a section"})
	}
	return problems
}

func readSection(file string, raw *ini.Section) (*section, []Problem) {
	title := strings.Join(strings.Fields(raw.Name()), " ")
	kind, name, _ := strings.Cut(title, " ")
	spec, ok := schema[kind]
	if !ok {
		return nil, []Problem{{File: file, Section: title, Given: "section " + quote(kind), Expected: "one of " + sectionKinds()}}
	}
	s := &section{file: file, kind: kind, name: name, title: title, values: make(map[string]string)}
	problems := s.checkTitle(spec)
	for _, key := range raw.Keys() {
		problems = append(problems, s.readKey(spec, key)...)
	}
	return s, problems
}

func (s *section) checkTitle(spec sectionSpec) []Problem {
	if !spec.named && s.name != "" {
		return []Problem{s.problem("", "name "+quote(s.name), "["+s.kind+"] without a name")}
	}
	if spec.named && !validName(s.name) {
		return []Problem{s.problem("", "name "+quote(s.name), "["+s.kind+" NAME] with NAME of "+nameRule)}
	}
	return nil
}

func (s *section) readKey(spec sectionSpec, key *ini.Key) []Problem {
	name := key.Name()
	isVM := s.kind == kindRack && strings.HasPrefix(name, vmKeyPrefix)
	if !spec.has(name) && !isVM {
		expected := spec.describeKeys()
		if s.kind == kindRack {
			expected += ", or " + vmKeyPrefix + "ID"
		}
		return []Problem{s.problem(name, "unknown key", expected)}
	}
	s.values[name] = strings.TrimSpace(key.Value())
	s.order = append(s.order, name)
	if n := len(key.ValueWithShadows()); n > 1 {
		return []Problem{s.problem(name, "the key more than once", "it once")}
	}
	return nil
}

func (s *section) problem(key, given, expected string) Problem {
	return Problem{File: s.file, Section: s.title, Key: key, Given: given, Expected: expected}
}

// duplicateSections reports sections that occur more than once in all files.
func duplicateSections(sections []*section) []Problem {
	first := make(map[string]*section)
	var problems []Problem
	for _, s := range sections {
		if other, ok := first[s.title]; ok {
			problems = append(problems, s.problem("", "the section again (first in "+other.file+")", "each section once"))
			continue
		}
		first[s.title] = s
	}
	return problems
}

func sectionKinds() string {
	var kinds []string
	for kind, spec := range schema {
		if spec.named {
			kind += " NAME"
		}
		kinds = append(kinds, "["+kind+"]")
	}
	sort.Strings(kinds)
	return strings.Join(kinds, ", ")
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
