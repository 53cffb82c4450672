//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Results of a script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// maxTime is the longest that a script may run.
const maxTime = 110 * time.Second

// scenarios maps the name of a script to what it does; it returns false if the case could not be played.
var scenarios = map[string]func(rec *record, dir string, trouble bool) (bool, error){
	"entry":   playEntry,
	"crashes": playCrashes,
	"wave":    playWave,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 SCENARIO FOLDER")
		return cannotRun
	}
	scenario, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario")
		return cannotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("scenario %s, trouble %t", os.Args[1], trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			rec.add("interrupted")
		case <-time.After(maxTime):
			rec.add("took too long")
		}
		endProcesses()
		os.Exit(cannotRun)
	}()
	played, err := scenario(rec, dir, trouble)
	switch {
	case err != nil || !played:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	case rec.violationCount() > 0:
		rec.mu.Lock()
		fmt.Println(rec.violations[0])
		rec.mu.Unlock()
		return broken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return held
}
