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
	rows:    func(t entry.TablesReply) []fleet.Team { return t.Teams },
	flags:   func(c *Config) fleet.Team { return c.team },
	merge:   mergeTeam,
	heading: []string{"team", "partner", "share", "limit", "version"},
	cells: func(t fleet.Team) []string {
		return []string{t.Name, t.Partner, strconv.Itoa(t.Share), strconv.Itoa(t.Limit), strconv.FormatInt(t.Version, 10)}
	},
}

func mergeTeam(old, given fleet.Team, set flagSet) fleet.Team {
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

A team submits work under its keys. Its share weighs when the fleet is full;
its limit is the most slots it may ever occupy across the fleet.

Example: lavenderwing team create -name carvers -partner sibiu -share 3 -limit 40`,
		flags: func(c *Config, fs *flag.FlagSet) {
			c.changeFlags(fs)
			c.teamName(fs, "name")
			fs.StringVar(&c.team.Partner, "partner", "", "partner that the team belongs to")
			fs.IntVar(&c.team.Share, "share", defaultShare, "weight when the fleet is full")
			fs.IntVar(&c.team.Limit, "limit", defaultLimit, "most slots across the fleet")
		},
		run: teamKind.run,
	}
}

func (c *Config) teamName(fs *flag.FlagSet, flagName string) {
	fs.StringVar(&c.team.Name, flagName, "", "name of the team")
}
