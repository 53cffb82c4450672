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

// File is a settings file of which every section and key must be asked for.
type File struct {
	path     string
	ini      *ini.File
	used     map[string]map[string]bool
	problems []Problem
}

// Open reads a settings file.
func Open(path string) (*File, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, path)
	if err != nil {
		return nil, trace.Wrap(err, "reading settings %s", path)
	}
	return &File{path: path, ini: file, used: map[string]map[string]bool{}}, nil
}

// Section returns the readers of one section's keys.
func (f *File) Section(name string) *Section {
	if f.used[name] == nil {
		f.used[name] = map[string]bool{}
	}
	return &Section{file: f, name: name}
}

// Named returns the names N of all sections written as [prefix N], in the order of the file.
func (f *File) Named(prefix string) []string {
	var names []string
	for _, s := range f.ini.SectionStrings() {
		if name, ok := strings.CutPrefix(s, prefix+" "); ok {
			names = append(names, name)
		}
	}
	return names
}

// Reject adds a problem that only the caller can see.
func (f *File) Reject(section, key, value, allowed string) {
	f.problems = append(f.problems, Problem{File: f.path, Section: section, Key: key, Value: value, Allowed: allowed})
}

// Err returns an *Error with all problems, unknown sections and keys included, and nil when there are none.
func (f *File) Err() error {
	problems := f.problems
	for _, s := range f.ini.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		used, ok := f.used[s.Name()]
		if !ok {
			problems = append(problems, Problem{File: f.path, Section: s.Name(), Allowed: "unknown section"})
			continue
		}
		for _, k := range s.Keys() {
			if !used[k.Name()] {
				problems = append(problems, Problem{File: f.path, Section: s.Name(), Key: k.Name(), Value: k.Value(), Allowed: "unknown key"})
			}
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return &Error{Problems: problems}
}

// Section reads the keys of one section.
type Section struct {
	file *File
	name string
}

// Has reports whether the key is present.
func (s *Section) Has(key string) bool {
	return s.file.ini.HasSection(s.name) && s.file.ini.Section(s.name).HasKey(key)
}

func (s *Section) value(key string) (string, bool) {
	s.file.used[s.name][key] = true
	if !s.Has(key) {
		return "", false
	}
	return s.file.ini.Section(s.name).Key(key).String(), true
}

func (s *Section) reject(key, value, allowed string) {
	s.file.Reject(s.name, key, value, allowed)
}

// String returns the value, or the fallback when the key is absent.
func (s *Section) String(key, fallback string) string {
	value, ok := s.value(key)
	if !ok {
		return fallback
	}
	return value
}

// Required returns the value, which must not be empty.
func (s *Section) Required(key string) string {
	value, _ := s.value(key)
	if value == "" {
		s.reject(key, value, "required")
	}
	return value
}

// Address returns a required IP:port.
func (s *Section) Address(key string) string {
	value := s.Required(key)
	if value == "" {
		return value
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		s.reject(key, value, "an IP number and a port")
	}
	return value
}

// IP returns an IP number, or nil when the key is absent.
func (s *Section) IP(key string) net.IP {
	value, ok := s.value(key)
	if !ok {
		return nil
	}
	ip := net.ParseIP(value)
	if ip == nil {
		s.reject(key, value, "an IP number")
	}
	return ip
}

// Int returns a whole number within the bounds, or the fallback when the key is absent.
func (s *Section) Int(key string, fallback, low, high int) int {
	value, ok := s.value(key)
	if !ok {
		return fallback
	}
	n, err := s.file.ini.Section(s.name).Key(key).Int()
	if err != nil || n < low || n > high {
		s.reject(key, value, fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

// Duration returns a duration within the bounds, or the fallback when the key is absent.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	value, ok := s.value(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		s.reject(key, value, fmt.Sprintf("a duration from %s to %s", low, high))
		return fallback
	}
	return d
}

// Bool returns true or false, or the fallback when the key is absent.
func (s *Section) Bool(key string, fallback bool) bool {
	value, ok := s.value(key)
	if !ok {
		return fallback
	}
	b, err := s.file.ini.Section(s.name).Key(key).Bool()
	if err != nil {
		s.reject(key, value, "true or false")
		return fallback
	}
	return b
}

// OneOf returns one of the allowed values, the first of which stands for an absent key.
func (s *Section) OneOf(key string, allowed ...string) string {
	value, ok := s.value(key)
	if !ok {
		return allowed[0]
	}
	if !slices.Contains(allowed, value) {
		s.reject(key, value, "one of "+strings.Join(allowed, ", "))
	}
	return value
}

// List returns the comma-separated values.
func (s *Section) List(key string) []string {
	value, ok := s.value(key)
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
