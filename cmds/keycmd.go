package cmds

import (
	"flag"
	"fmt"
	"strconv"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
)

var keyKind = rowKind[fleet.Key]{
	rows:      func(t entry.TablesReply) []fleet.Key { return t.Keys },
	fromFlags: func(c *Config) fleet.Key { return c.key },
	heading:   []string{"key", "team", "withdrawn", "version"},
	cells: func(k fleet.Key) []string {
		return []string{k.Name, k.Team, strconv.FormatBool(k.Withdrawn), strconv.FormatInt(k.Version, 10)}
	},
}

func keyCmd() command {
	return command{
		short: "grant, withdraw or list keys",
		long: `Usage: lavenderwing key grant|withdraw|list [FLAGS]

Callers send a key as bearer token. Granting prints the key once; only its hash
is stored. A withdrawn key stops working everywhere within seconds.

Example: lavenderwing key grant -team carvers -name bench7`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addChangeFlags(fs)
			fs.StringVar(&c.key.Name, "name", "", "name of the key")
			fs.StringVar(&c.key.Team, "team", "", "team whose requests the key authenticates")
		},
		run: (*Config).runKey,
	}
}

func (c *Config) runKey(args []string) error {
	v, err := parseVerb(args, "grant", "withdraw", "list")
	if err != nil {
		return err
	}
	switch v {
	case "grant":
		return c.grantKey()
	case "withdraw":
		return keyKind.edit(c, fleet.Key.WithWithdrawn)
	default:
		return keyKind.list(c)
	}
}

// grantKey creates a key and prints its secret, but only after the key is in force.
func (c *Config) grantKey() error {
	key, text := fleet.NewKey(c.key.Name, c.key.Team)
	if err := c.putRow(key, 0); err != nil {
		return err
	}
	if !c.dryRun {
		fmt.Fprintln(c.Stdout, text)
	}
	return nil
}
