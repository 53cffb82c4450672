package cmds

import (
	"flag"
	"fmt"
	"strconv"

	"lavenderwing.example/lavenderwing/entry"
)

func statusCmd() command {
	return command{
		short: "show what an entry process knows and does",
		long: `Usage: lavenderwing status [FLAGS]

Shows the configuration version in force at one entry process, how recently it
read the log to its end, the other entry processes it knows, and each team's
slots and requests there.

Example: lavenderwing status -entry 127.0.0.1:8001`,
		addFlags: func(c *Config, fs *flag.FlagSet) { c.addOperatorFlags(fs) },
		run:      (*Config).runStatus,
	}
}

func (c *Config) runStatus(_ []string) error {
	var s entry.StatusReply
	if err := c.httpClient().Get(entry.StatusPath, &s); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(s)
	}
	fmt.Fprintf(c.Stdout, "seat %s in zone %s, incarnation %s\n", s.Seat, s.Zone, s.Incarnation)
	fmt.Fprintf(c.Stdout, "version %d in force, offset %d, log last read to its end %d ms ago\n", s.Version, s.Offset, s.StateAgeMs)
	fmt.Fprintf(c.Stdout, "ready %t, lease valid %t, keys trusted %t\n\n", s.Ready, s.LeaseValid, s.TrustsKeys)
	members := make([][]string, len(s.Members))
	for i, m := range s.Members {
		members[i] = []string{m.Seat, m.Zone, m.Address, strconv.FormatBool(m.Live), m.Incarnation}
	}
	if err := c.printTable([]string{"seat", "zone", "address", "live", "incarnation"}, members); err != nil {
		return err
	}
	fmt.Fprintln(c.Stdout)
	teams := make([][]string, len(s.Teams))
	for i, t := range s.Teams {
		teams[i] = []string{t.Team, strconv.Itoa(t.Held), strconv.Itoa(t.Usable), strconv.Itoa(t.Running), strconv.Itoa(t.Waiting)}
	}
	return c.printTable([]string{"team", "held", "usable", "running", "waiting"}, teams)
}
