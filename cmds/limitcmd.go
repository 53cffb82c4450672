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
lowered limit does not stop running requests; no new request starts above it.

Example: lavenderwing limit set -team carvers -limit 24`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addChangeFlags(fs)
			c.addTeamNameFlag(fs, "team")
			fs.IntVar(&c.team.Limit, "limit", defaultLimit, "most slots across the fleet")
		},
		run: func(c *Config, args []string) error {
			return editOrListTeams(c, args, func(t fleet.Team) fleet.Team { return t.WithLimit(c.team.Limit) })
		},
	}
}
