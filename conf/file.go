package conf

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// File is a settings file; Err reports each section and key that was not read before as unknown.
type File struct {
	path      string
	ini       *ini.File
	requested map[string]map[string]bool
	problems  []Problem
}

// Open reads a settings file.
func Open(path string) (*File, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, path)
	if err != nil {
		return nil, trace.Wrap(err, "reading settings %s", path)
	}
	return &File{path: path, ini: file, requested: map[string]map[string]bool{}}, nil
}

// Section returns a section of the file, which has no keys if the file does not contain it.
func (f *File) Section(name string) *Section {
	if f.requested[name] == nil {
		f.requested[name] = map[string]bool{}
	}
	return &Section{file: f, name: name}
}

// SectionNames returns NAME for each section [prefix NAME], in the order of the file.
func (f *File) SectionNames(prefix string) []string {
	var names []string
	for _, s := range f.ini.SectionStrings() {
		if name, ok := strings.CutPrefix(s, prefix+" "); ok {
			names = append(names, name)
		}
	}
	return names
}

// AddProblem adds a problem that the caller has found.
func (f *File) AddProblem(section, key, value, allowed string) {
	f.problems = append(f.problems, Problem{File: f.path, Section: section, Key: key, Value: value, Allowed: allowed})
}

// Err returns an *Error with all problems, including unknown sections and keys, or nil if there are none.
func (f *File) Err() error {
	problems := f.problems
	for _, s := range f.ini.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		requested, ok := f.requested[s.Name()]
		if !ok {
			problems = append(problems, Problem{File: f.path, Section: s.Name(), Allowed: "unknown section"})
			continue
		}
		for _, k := range s.Keys() {
			if !requested[k.Name()] {
				problems = append(problems, Problem{File: f.path, Section: s.Name(), Key: k.Name(), Value: k.Value(), Allowed: "unknown key"})
			}
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return &Error{Problems: problems}
}

// Section reads the values of one section.
type Section struct {
	file *File
	name string
}

// Has reports whether the key is present.
func (s *Section) Has(key string) bool {
	return s.file.ini.HasSection(s.name) && s.file.ini.Section(s.name).HasKey(key)
}

func (s *Section) lookup(key string) (string, bool) {
	s.file.requested[s.name][key] = true
	if !s.Has(key) {
		return "", false
	}
	return s.file.ini.Section(s.name).Key(key).String(), true
}

func (s *Section) addProblem(key, value, allowed string) {
	s.file.AddProblem(s.name, key, value, allowed)
}

// String returns the value, or the fallback if the key is absent.
func (s *Section) String(key, fallback string) string {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	return value
}

// Required returns the value, and adds a problem if it is absent or empty.
func (s *Section) Required(key string) string {
	value, _ := s.lookup(key)
	if value == "" {
		s.addProblem(key, value, "required")
	}
	return value
}

// Address returns a required value of the form IP:port.
func (s *Section) Address(key string) string {
	value := s.Required(key)
	if value == "" {
		return value
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		s.addProblem(key, value, "an IP number and a port")
	}
	return value
}

// IP returns an IP address, or nil if the key is absent or invalid.
func (s *Section) IP(key string) net.IP {
	value, ok := s.lookup(key)
	if !ok {
		return nil
	}
	ip := net.ParseIP(value)
	if ip == nil {
		s.addProblem(key, value, "an IP number")
	}
	return ip
}

// Int returns an integer from low to high, or the fallback if the key is absent or invalid.
func (s *Section) Int(key string, fallback, low, high int) int {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	n, err := s.file.ini.Section(s.name).Key(key).Int()
	if err != nil || n < low || n > high {
		s.addProblem(key, value, fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

// Duration returns a duration from low to high, or the fallback if the key is absent or invalid.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		s.addProblem(key, value, fmt.Sprintf("a duration from %s to %s", low, high))
		return fallback
	}
	return d
}

// Bool returns a boolean, or the fallback if the key is absent or invalid.
func (s *Section) Bool(key string, fallback bool) bool {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	b, err := s.file.ini.Section(s.name).Key(key).Bool()
	if err != nil {
		s.addProblem(key, value, "true or false")
		return fallback
	}
	return b
}

// OneOf returns the value, or the first allowed one if the key is absent; it adds a problem if the value is not allowed.
func (s *Section) OneOf(key string, allowed ...string) string {
	value, ok := s.lookup(key)
	if !ok {
		return allowed[0]
	}
	if !slices.Contains(allowed, value) {
		s.addProblem(key, value, "one of "+strings.Join(allowed, ", "))
	}
	return value
}

// List returns the elements of a comma-separated value, without empty ones.
func (s *Section) List(key string) []string {
	value, ok := s.lookup(key)
	if !ok {
		return nil
	}
	var items []string
	for _, item := range strings.Split(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
