package cmds

import (
	"flag"
	"strconv"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
)

const defaultRunLimitMs = 10_000

var serviceKind = rowKind[fleet.Service]{
	rows:      func(t entry.TablesReply) []fleet.Service { return t.Services },
	fromFlags: func(c *Config) fleet.Service { return c.service },
	merge:     mergeService,
	heading:   []string{"service", "pool", "runLimitMs", "version"},
	cells: func(s fleet.Service) []string {
		return []string{s.Name, s.Pool, strconv.Itoa(s.RunLimitMs), strconv.FormatInt(s.Version, 10)}
	},
}

func mergeService(old, given fleet.Service, set flagNames) fleet.Service {
	if set["pool"] {
		old.Pool = given.Pool
	}
	if set["run-limit-ms"] {
		old.RunLimitMs = given.RunLimitMs
	}
	return old
}

func serviceCmd() command {
	return command{
		short: "create, change or list services",
		long: `Usage: lavenderwing service create|change|list [FLAGS]

A service runs requests on the hosts of one pool. A target stops a request by
itself after the run limit.

Example: lavenderwing service create -name proofs -pool proofs -run-limit-ms 10000`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addChangeFlags(fs)
			fs.StringVar(&c.service.Name, "name", "", "name of the service")
			fs.StringVar(&c.service.Pool, "pool", "", "pool whose hosts run the service")
			fs.IntVar(&c.service.RunLimitMs, "run-limit-ms", defaultRunLimitMs, "longest run of a request in milliseconds")
		},
		run: serviceKind.run,
	}
}
