package cmds

import (
	"flag"
	"strconv"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
)

const (
	defaultShare = 1
	defaultLimit = 8
)

var teamKind = rowKind[fleet.Team]{
	rows:      func(t entry.TablesReply) []fleet.Team { return t.Teams },
	fromFlags: func(c *Config) fleet.Team { return c.team },
	merge:     mergeTeam,
	heading:   []string{"team", "partner", "share", "limit", "version"},
	cells: func(t fleet.Team) []string {
		return []string{t.Name, t.Partner, strconv.Itoa(t.Share), strconv.Itoa(t.Limit), strconv.FormatInt(t.Version, 10)}
	},
}

func mergeTeam(old, given fleet.Team, set flagNames) fleet.Team {
	if set["partner"] {
		old.Partner = given.Partner
	}
	if set["share"] {
		old = old.WithShare(given.Share)
	}
	if set["limit"] {
		old = old.WithLimit(given.Limit)
	}
	return old
}

func teamCmd() command {
	return command{
		short: "create, change or list teams",
		long: `Usage: lavenderwing team create|change|list [FLAGS]

A team submits work under its keys. Its share is its weight in the division of
slots while the fleet is full; its limit is the most slots that it may occupy at
once across the fleet.

Example: lavenderwing team create -name carvers -partner sibiu -share 3 -limit 40`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addChangeFlags(fs)
			c.addTeamNameFlag(fs, "name")
			fs.StringVar(&c.team.Partner, "partner", "", "partner that the team belongs to")
			fs.IntVar(&c.team.Share, "share", defaultShare, "weight when the fleet is full")
			fs.IntVar(&c.team.Limit, "limit", defaultLimit, "most slots across the fleet")
		},
		run: teamKind.run,
	}
}

func (c *Config) addTeamNameFlag(fs *flag.FlagSet, flagName string) {
	fs.StringVar(&c.team.Name, flagName, "", "name of the team")
}
