//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the time since its start.
type record struct {
	mu         sync.Mutex
	file       *os.File
	start      time.Time
	violations []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// violate writes a line about a broken rule.
func (r *record) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

func (r *record) violationCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.violations)
}
