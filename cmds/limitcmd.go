package cmds

import (
	"flag"

	"lavenderwing.example/lavenderwing/fleet"
)

func limitCmd() command {
	return command{
		short: "set or list teams' limits",
		long: `Usage: lavenderwing limit set|list [FLAGS]

A limit is the most slots that a team occupies at once across the fleet. A
lowered limit cuts no running request; nothing new starts above it.

Example: lavenderwing limit set -team carvers -limit 24`,
		flags: func(c *Config, fs *flag.FlagSet) {
			c.changeFlags(fs)
			c.teamName(fs, "team")
			fs.IntVar(&c.team.Limit, "limit", defaultLimit, "most slots across the fleet")
		},
		run: func(c *Config, args []string) error {
			return setOrList(c, args, func(t fleet.Team) fleet.Team { return t.WithLimit(c.team.Limit) })
		},
	}
}
