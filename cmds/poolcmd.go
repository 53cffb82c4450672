package cmds

import (
	"flag"
	"strconv"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
)

var poolKind = rowKind[fleet.Pool]{
	rows:      func(t entry.TablesReply) []fleet.Pool { return t.Pools },
	fromFlags: func(c *Config) fleet.Pool { return c.pool },
	merge:     mergePool,
	heading:   []string{"pool", "partner", "spare", "version"},
	cells: func(p fleet.Pool) []string {
		return []string{p.Name, p.Partner, strconv.FormatBool(p.Spare), strconv.FormatInt(p.Version, 10)}
	},
}

func mergePool(old, given fleet.Pool, set flagNames) fleet.Pool {
	if set["partner"] {
		old.Partner = given.Partner
	}
	if set["spare"] {
		old.Spare = given.Spare
	}
	return old
}

func poolCmd() command {
	return command{
		short: "create, change or list pools",
		long: `Usage: lavenderwing pool create|change|list [FLAGS]

A pool is a group of hosts; a host belongs to exactly one.

Example: lavenderwing pool create -name proofs -partner sibiu`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addChangeFlags(fs)
			fs.StringVar(&c.pool.Name, "name", "", "name of the pool")
			fs.StringVar(&c.pool.Partner, "partner", "", "partner that owns the pool")
			fs.BoolVar(&c.pool.Spare, "spare", false, "the pool supplies hosts to other pools and serves no requests")
		},
		run: poolKind.run,
	}
}
