package cmds

import (
	"flag"
	"fmt"
	"strconv"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
)

var keyKind = rowKind[fleet.Key]{
	rows:    func(t entry.TablesReply) []fleet.Key { return t.Keys },
	flags:   func(c *Config) fleet.Key { return c.key },
	heading: []string{"key", "team", "withdrawn", "version"},
	cells: func(k fleet.Key) []string {
		return []string{k.Name, k.Team, strconv.FormatBool(k.Withdrawn), strconv.FormatInt(k.Version, 10)}
	},
}

func keyCmd() command {
	return command{
		short: "grant, withdraw or list keys",
		long: `Usage: lavenderwing key grant|withdraw|list [FLAGS]

Callers show a key as bearer token. Granting prints the key once; only its
hash is kept. A withdrawn key stops working within seconds everywhere.

Example: lavenderwing key grant -team carvers -name bench7`,
		flags: func(c *Config, fs *flag.FlagSet) {
			c.changeFlags(fs)
			fs.StringVar(&c.key.Name, "name", "", "name of the key")
			fs.StringVar(&c.key.Team, "team", "", "team that the key admits")
		},
		run: (*Config).runKey,
	}
}

func (c *Config) runKey(args []string) error {
	v, err := verb(args, "grant", "withdraw", "list")
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

// grantKey prints the secret only after the key is in force.
func (c *Config) grantKey() error {
	key, text := fleet.NewKey(c.key.Name, c.key.Team)
	if err := c.put(key, 0); err != nil {
		return err
	}
	if !c.dryRun {
		fmt.Fprintln(c.Stdout, text)
	}
	return nil
}
