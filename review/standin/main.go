//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// couldNotRun is the exit status of a case that could not run.
const couldNotRun = 2

// maxCaseTime is below the time that a script may take.
const maxCaseTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(couldNotRun)
	}
	cases := map[string]func(j *judge, trouble bool) error{"history": manyJobs, "ends": manyEnds, "route": removedRoute, "wave": unseenWave}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(couldNotRun)
	}
	time.AfterFunc(maxCaseTime, func() {
		fmt.Println("the case takes too long")
		os.Exit(couldNotRun)
	})
	j, err := newJudge(os.Args[2])
	if err == nil {
		err = play(j, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(couldNotRun)
	}
	os.Exit(j.verdict())
}
