package cmds

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"
)

func whyCmd() command {
	return command{
		short: "show the log lines about a job, host, target, pool, queue, team or zone",
		long: `Usage: lavenderwing why NAME [FILE...]

Reads the JSON log lines of one or more processes on the platform, from files or
standard input, and prints the lines about NAME, ordered by time. Also prints,
from between the first and the last of these lines, the lines about the targets
that they name and those about the holder and the store. NAME is a job, host,
target, pool, queue, team or availability zone. Text before the first brace of a
line is ignored.

Example: lavenderwing why 5c0e7a21d94b36f8 edge1.log edge2.log`,
		addFlags: func(c *Config, fs *flag.FlagSet) { fs.BoolVar(&c.json, "json", false, "print the lines as JSON") },
		run:      (*Config).runWhy,
	}
}

// logLine holds the fields of a log line that the why command uses.
type logLine struct {
	TimeMs  float64 `json:"ts"`
	Kind    string  `json:"msg"`
	Subject string  `json:"subject"`
	Cause   string  `json:"cause"`
	Detail  string  `json:"detail"`
	Epoch   int64   `json:"epoch"`
	Job     string  `json:"job"`
	Queue   string  `json:"queue"`
	Team    string  `json:"team"`
	Method  string  `json:"method"`
	Status  int     `json:"status"`
	Reason  string  `json:"reason"`
	Outcome string  `json:"outcome"`
	raw     string
}

// mentions reports whether the line is about the given name or a part of it, such as a step of a job. A line that has a
// subject also counts if its cause contains the name, because a cause can name several targets.
func (l *logLine) mentions(name string) bool {
	for _, field := range []string{l.Subject, l.Job, l.Team, l.Queue} {
		if field == name || strings.HasPrefix(field, name+".") {
			return true
		}
	}
	return l.Subject != "" && (containsName(l.Cause, name) || l.namesZone(name))
}

// namesZone reports whether the line's detail names an availability zone, as the lines about work that leaves an evacuated one do.
func (l *logLine) namesZone(name string) bool {
	for word := range strings.FieldsSeq(l.Detail) {
		if word == "zone="+name {
			return true
		}
	}
	return false
}

// containsName reports whether the text contains the name as a whole, and not as a part of a longer name such as i-10 for i-1.
func containsName(text, name string) bool {
	for from := 0; name != ""; {
		at := strings.Index(text[from:], name)
		if at < 0 {
			return false
		}
		begin, end := from+at, from+at+len(name)
		if (begin == 0 || !isNameByte(text[begin-1])) && (end == len(text) || !isNameByte(text[end])) {
			return true
		}
		from = begin + 1
	}
	return false
}

func isNameByte(b byte) bool {
	return b == '-' || b == '_' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
}

// holderAndStoreKinds are the kinds of lines about the holder and the store, which affect every job of that time.
var holderAndStoreKinds = map[string]bool{
	"holding": true, "recovered": true, "held": true, "store lost": true, "store regained": true,
}

func (c *Config) runWhy(args []string) error {
	if len(args) == 0 {
		return &UsageError{Message: "why needs the name of a job, host, target, pool, queue, team or zone"}
	}
	lines, err := c.readLogs(args[1:])
	if err != nil {
		return err
	}
	found := selectRelevant(lines, args[0])
	if len(found) == 0 {
		return &UsageError{Message: fmt.Sprintf("no line names %q", args[0])}
	}
	rows := make([][]string, len(found))
	for i, l := range found {
		if c.json {
			fmt.Fprintln(c.Stdout, l.raw)
		}
		rows[i] = l.cells()
	}
	if c.json {
		return nil
	}
	return c.printTable([]string{"time", "what", "subject", "cause", "detail", "epoch"}, rows)
}

func (c *Config) readLogs(files []string) ([]*logLine, error) {
	if len(files) == 0 {
		return parseLog(c.Stdin)
	}
	var lines []*logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		found, err := parseLog(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

// maxLogLineBytes bounds the length of a log line.
const maxLogLineBytes = 1 << 20

func parseLog(r io.Reader) ([]*logLine, error) {
	var lines []*logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		brace := strings.IndexByte(scanner.Text(), '{')
		if brace < 0 {
			continue
		}
		l := &logLine{raw: scanner.Text()[brace:]}
		// A log may also contain lines of other programs, which are skipped.
		if json.Unmarshal([]byte(l.raw), l) == nil && l.Kind != "" {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// selectRelevant returns the lines that mention the name, ordered by time. Between the first and the last of them, it
// also returns the lines about the targets that their causes name, and those about the holder and the store.
func selectRelevant(lines []*logLine, name string) []*logLine {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].TimeMs < lines[b].TimeMs })
	targets := map[string]bool{}
	var firstMs, lastMs float64
	for _, l := range lines {
		if !l.mentions(name) {
			continue
		}
		if firstMs == 0 {
			firstMs = l.TimeMs
		}
		lastMs = l.TimeMs
		// The cause of a "placed" line holds only the first and the last target, such as i-3..i-7. The causes of other
		// kinds of lines are split as well, because some of them are the name of one target.
		for _, t := range strings.Split(l.Cause, "..") {
			if strings.HasPrefix(t, "i-") {
				targets[t] = true
			}
		}
	}
	var selected []*logLine
	for _, l := range lines {
		inTimeSpan := l.TimeMs >= firstMs && l.TimeMs <= lastMs
		if firstMs > 0 && (l.mentions(name) || (inTimeSpan && (targets[l.Subject] || holderAndStoreKinds[l.Kind]))) {
			selected = append(selected, l)
		}
	}
	return selected
}

// cells returns the line as a row of the printed table.
func (l *logLine) cells() []string {
	subject, cause, detail := l.Subject, l.Cause, l.Detail
	if subject == "" {
		subject = l.Job
	}
	if cause == "" {
		cause = strings.TrimSpace(l.Reason + " " + l.Outcome)
	}
	if detail == "" && l.Method != "" {
		detail = fmt.Sprintf("%s queue=%s team=%s status=%d", l.Method, l.Queue, l.Team, l.Status)
	}
	at := time.UnixMicro(int64(l.TimeMs * 1000)).UTC().Format("15:04:05.000")
	return []string{at, l.Kind, subject, cause, detail, fmt.Sprint(l.Epoch)}
}
