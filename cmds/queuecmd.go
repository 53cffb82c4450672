package cmds

import (
	"flag"
	"strconv"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
)

const (
	defaultMaxWaitMs = 1200
	defaultMaxDepth  = 256
)

var queueKind = rowKind[fleet.Queue]{
	rows:      func(t entry.TablesReply) []fleet.Queue { return t.Queues },
	fromFlags: func(c *Config) fleet.Queue { return c.queue },
	merge:     mergeQueue,
	heading:   []string{"queue", "service", "open", "urgent", "maxWaitMs", "maxDepth", "version"},
	cells: func(q fleet.Queue) []string {
		return []string{
			q.Name, q.Service, strconv.FormatBool(q.Open), strconv.FormatBool(q.Urgent),
			strconv.Itoa(q.MaxWaitMs), strconv.Itoa(q.MaxDepth), strconv.FormatInt(q.Version, 10),
		}
	},
}

func mergeQueue(old, given fleet.Queue, set flagNames) fleet.Queue {
	if set["service"] {
		old.Service = given.Service
	}
	if set["open"] {
		old.Open = given.Open
	}
	if set["urgent"] {
		old.Urgent = given.Urgent
	}
	if set["max-wait-ms"] {
		old.MaxWaitMs = given.MaxWaitMs
	}
	if set["max-depth"] {
		old.MaxDepth = given.MaxDepth
	}
	return old
}

func queueCmd() command {
	return command{
		short: "create, change or list queues",
		long: `Usage: lavenderwing queue create|change|list [FLAGS]

A queue feeds requests to one service. An open queue takes requests without a
key. A request that finds no slot within the longest wait is refused as not run.

Example: lavenderwing queue create -name proofs -service proofs -urgent`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addChangeFlags(fs)
			fs.StringVar(&c.queue.Name, "name", "", "name of the queue")
			fs.StringVar(&c.queue.Service, "service", "", "service that the queue feeds")
			fs.BoolVar(&c.queue.Open, "open", false, "take requests without a key")
			fs.BoolVar(&c.queue.Urgent, "urgent", false, "start before the same team's other requests")
			fs.IntVar(&c.queue.MaxWaitMs, "max-wait-ms", defaultMaxWaitMs, "longest wait for a slot in milliseconds")
			fs.IntVar(&c.queue.MaxDepth, "max-depth", defaultMaxDepth, "most waiting requests of a team at one entry process")
		},
		run: queueKind.run,
	}
}
