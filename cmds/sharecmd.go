package cmds

import (
	"flag"

	"lavenderwing.example/lavenderwing/fleet"
)

func shareCmd() command {
	return command{
		short: "set or list teams' shares",
		long: `Usage: lavenderwing share set|list [FLAGS]

A share is a team's weight in the fair division of a service's slots while
more work waits than the slots hold.

Example: lavenderwing share set -team carvers -share 5`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addChangeFlags(fs)
			c.addTeamNameFlag(fs, "team")
			fs.IntVar(&c.team.Share, "share", defaultShare, "weight when the fleet is full")
		},
		run: func(c *Config, args []string) error {
			return editOrListTeams(c, args, func(t fleet.Team) fleet.Team { return t.WithShare(c.team.Share) })
		},
	}
}

// editOrListTeams runs the verbs of share and limit, which set one number of a team or list the teams.
func editOrListTeams(c *Config, args []string, edit func(fleet.Team) fleet.Team) error {
	v, err := parseVerb(args, "set", "list")
	if err != nil {
		return err
	}
	if v == "list" {
		return teamKind.list(c)
	}
	return teamKind.edit(c, edit)
}
