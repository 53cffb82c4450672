package cmds

import (
	"flag"
	"net/url"
	"time"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/event"
)

func timelineCmd() command {
	return command{
		short: "show the time line of events",
		long: `Usage: lavenderwing timeline [-about NAME] [FLAGS]

Shows what entry processes decided, oldest first: refusals, retries, ejected
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
	var events []event.Event
	if err := c.realSystem().Get(entry.TimelinePath+"?about="+url.QueryEscape(c.about), &events); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(events)
	}
	rows := make([][]string, len(events))
	for i, e := range events {
		rows[i] = []string{time.UnixMilli(e.TimeMs).UTC().Format(time.RFC3339Nano), e.Process, e.Zone, e.Kind, e.Subject, e.Cause, e.Detail}
	}
	return c.printTable([]string{"time", "process", "zone", "kind", "subject", "cause", "detail"}, rows)
}
