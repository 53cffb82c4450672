package cmds

import (
	"flag"
	"strconv"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
)

const defaultHostSlots = 8

var hostKind = rowKind[fleet.Host]{
	rows:      func(t entry.TablesReply) []fleet.Host { return t.Hosts },
	fromFlags: func(c *Config) fleet.Host { return c.host },
	merge:     mergeHost,
	heading:   []string{"host", "pool", "zone", "rack", "address", "slots", "draining", "version"},
	cells: func(h fleet.Host) []string {
		return []string{
			h.Name, h.Pool, h.Zone, h.Rack, h.Address, strconv.Itoa(h.Slots),
			strconv.FormatBool(h.Draining), strconv.FormatInt(h.Version, 10),
		}
	},
}

func mergeHost(old, given fleet.Host, set flagNames) fleet.Host {
	if set["pool"] {
		old = old.WithPool(given.Pool)
	}
	if set["zone"] {
		old.Zone = given.Zone
	}
	if set["rack"] {
		old.Rack = given.Rack
	}
	if set["address"] {
		old.Address = given.Address
	}
	if set["slots"] {
		old.Slots = given.Slots
	}
	if set["draining"] {
		old = old.WithDraining(given.Draining)
	}
	return old
}

func hostCmd() command {
	return command{
		short: "create, change or list hosts",
		long: `Usage: lavenderwing host create|change|list [FLAGS]

A draining host gets no new work and finishes what it runs.

Example: lavenderwing host change -name proofs-3 -draining`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addChangeFlags(fs)
			fs.StringVar(&c.host.Name, "name", "", "name of the host")
			fs.StringVar(&c.host.Pool, "pool", "", "pool that the host belongs to")
			fs.StringVar(&c.host.Zone, "zone", "", "availability zone")
			fs.StringVar(&c.host.Rack, "rack", "", "rack")
			fs.StringVar(&c.host.Address, "address", "", "address of the host's executor")
			fs.IntVar(&c.host.Slots, "slots", defaultHostSlots, "requests that the executor runs at once")
			fs.BoolVar(&c.host.Draining, "draining", false, "give the host no new work")
		},
		run: hostKind.run,
	}
}
