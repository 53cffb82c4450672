package cmds

import (
	"flag"
	"fmt"
	"net/url"
	"time"

	"lavenderwing.example/lavenderwing/entry"
)

func timelineCmd() command {
	return command{
		short: "show the time line of events",
		long: `Usage: lavenderwing timeline [-about NAME] [FLAGS]

Shows what all live entry processes decided, oldest first: refusals, retries, ejected
targets, leases, members and configuration.

Example: lavenderwing timeline -about proofs-3`,
		flags: func(c *Config, fs *flag.FlagSet) {
			c.operatorFlags(fs)
			fs.StringVar(&c.about, "about", "", "only events of this request, team, target, host or process")
		},
		run: (*Config).runTimeline,
	}
}

func (c *Config) runTimeline(_ []string) error {
	var line entry.TimelineReply
	if err := c.realSystem().Get(entry.TimelinePath+"?about="+url.QueryEscape(c.about), &line); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(line)
	}
	for _, seat := range line.Silent {
		fmt.Fprintf(c.Stderr, "no answer from %s: its part is missing\n", seat)
	}
	rows := make([][]string, len(line.Events))
	for i, e := range line.Events {
		rows[i] = []string{time.UnixMilli(e.TimeMs).UTC().Format(time.RFC3339Nano), e.Process, e.Zone, e.Kind, e.Subject, e.Cause, e.Detail}
	}
	return c.printTable([]string{"time", "process", "zone", "kind", "subject", "cause", "detail"}, rows)
}
