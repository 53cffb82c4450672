//go:build review3

// Command standin3 plays clients, servers and the platform for the scripts in review/11 to review/15. It starts the entry processes as the deploy file does and judges what clients and servers see.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxRunTime ends a run that hangs, well within the 120 s of a script.
const maxRunTime = 110 * time.Second

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which reports whether the rule held.
var cases = map[string]func(*bench, bool) (bool, error){
	"cancel":   runCancel,
	"memory":   runMemory,
	"oversize": runOversize,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file that gets the record")
	program := flag.String("program", "target/lavenderwing", "program of the entry processes")
	flag.Parse()
	f, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	path, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	b := newBench(path, dir)
	defer b.close()
	defer func() {
		if err := os.WriteFile(*out, []byte(b.text()), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			b.copyLogs(keep)
		}
	}()
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := f(b, trouble)
		done <- result{held, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			b.record("case could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return exitNotRun
		case !r.held:
			fmt.Println("rule broken")
			return exitBroken
		}
		fmt.Println("rule held")
		return exitHeld
	case <-time.After(maxRunTime):
		b.record("case did not end in %v", maxRunTime)
		return exitNotRun
	}
}
