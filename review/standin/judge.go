//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// maxRecordLines bounds the record of a case.
const maxRecordLines = 40000

// end is the end of a run.
type end struct {
	executor string
	run      int
	how      string
	number   int64
	noted    bool
	lapsed   bool
}

// item is what the executors have seen of a work item.
type item struct {
	running map[string]int
	ends    []*end
	// suspicious holds the starts after an end that was `done`, with the end.
	suspicious []suspicion
}

// suspicion is a start after a run that had ended `done`; it breaks the rule if that end is taken note of.
type suspicion struct {
	what string
	end  *end
}

// judge records what executors and consumers see, and checks the rule TWICE as it is written.
type judge struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	lines  int
	items  map[string]*item
	byEnd  map[string]map[int64]*end
	broken []string
	starts int
}

func newJudge(path string) (*judge, error) {
	f, err := os.Create(path)
	return &judge{file: f, began: time.Now(), items: map[string]*item{}, byEnd: map[string]map[int64]*end{}}, err
}

// note writes a line to the record.
func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(format, args...)
}

func (j *judge) write(format string, args ...any) {
	if j.lines++; j.lines <= maxRecordLines {
		fmt.Fprintf(j.file, "%8.3f %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (j *judge) item(task string) *item {
	it := j.items[task]
	if it == nil {
		it = &item{running: map[string]int{}}
		j.items[task] = it
	}
	return it
}

// startsOf counts the starts of a job's work items.
func (j *judge) startsOf(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task, it := range j.items {
		if strings.HasPrefix(task, id+".") {
			n += len(it.ends) + len(it.running)
		}
	}
	return n
}

func (j *judge) started(executor, task string, run int, fence int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	j.write("%s starts %s run %d, fence %d", executor, task, run, fence)
	it := j.item(task)
	for other, former := range it.running {
		j.break_("TWICE: %s run %d starts on %s while run %d is on %s", task, run, executor, former, other)
	}
	for _, e := range it.ends {
		if e.how == "done" && !e.lapsed {
			it.suspicious = append(it.suspicious, suspicion{end: e, what: fmt.Sprintf("TWICE: %s run %d starts on %s at %.3f, after run %d had ended done on %s", task, run, executor, time.Since(j.began).Seconds(), e.run, e.executor)})
		}
	}
	it.running[executor] = run
}

func (j *judge) ended(executor, task string, run int, how string, number int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write("%s ends %s run %d %s, end %d", executor, task, run, how, number)
	it := j.item(task)
	delete(it.running, executor)
	e := &end{executor: executor, run: run, how: how, number: number}
	it.ends = append(it.ends, e)
	if j.byEnd[executor] == nil {
		j.byEnd[executor] = map[int64]*end{}
	}
	j.byEnd[executor][number] = e
}

// acknowledged notes that ack_seq has reached the ends of an executor up to a number.
func (j *judge) acknowledged(executor string, upTo int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write("%s is told to forget its ends up to %d", executor, upTo)
	for number, e := range j.byEnd[executor] {
		e.noted = e.noted || number <= upTo
	}
}

// lapsed notes that the lease of an executor lapses: ends that are not taken note of yet never will be.
func (j *judge) lapsed(executor string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write("%s: its lease lapses", executor)
	for _, e := range j.byEnd[executor] {
		e.lapsed = e.lapsed || !e.noted
	}
}

func (j *judge) break_(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.broken = append(j.broken, text)
	j.write("BROKEN %s", text)
}

func (j *judge) breakRule(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.break_(format, args...)
}

// verdict checks what remained open, writes the result and returns the exit status.
func (j *judge) verdict() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		for _, s := range it.suspicious {
			if s.end.noted && !s.end.lapsed {
				j.break_("%s, an end that was taken note of", s.what)
			}
		}
	}
	result := fmt.Sprintf("RESULT: %d starts, rule broken %d times", j.starts, len(j.broken))
	fmt.Fprintln(j.file, result)
	fmt.Println(result)
	for n, b := range j.broken {
		if n == 5 {
			break
		}
		fmt.Println("  " + b)
	}
	if len(j.broken) > 0 {
		return 1
	}
	return 0
}
