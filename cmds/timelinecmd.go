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
		short: "show the timeline of events",
		long: `Usage: lavenderwing timeline [-about NAME] [FLAGS]

Shows the events of all live entry processes, oldest first: refusals, retries,
ejected targets, leases, members and configuration.

Example: lavenderwing timeline -about proofs-3`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addOperatorFlags(fs)
			fs.StringVar(&c.subject, "about", "", "only events of this request, team, target, host or process")
		},
		run: (*Config).runTimeline,
	}
}

func (c *Config) runTimeline(_ []string) error {
	var timeline entry.TimelineReply
	if err := c.httpClient().Get(entry.TimelinePath+"?about="+url.QueryEscape(c.subject), &timeline); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(timeline)
	}
	for _, seat := range timeline.Silent {
		fmt.Fprintf(c.Stderr, "no answer from %s: its events are missing\n", seat)
	}
	rows := make([][]string, len(timeline.Events))
	for i, e := range timeline.Events {
		rows[i] = []string{time.UnixMilli(e.TimeMs).UTC().Format(time.RFC3339Nano), e.Process, e.Zone, e.Kind, e.Subject, e.Cause, e.Detail}
	}
	return c.printTable([]string{"time", "process", "zone", "kind", "subject", "cause", "detail"}, rows)
}
