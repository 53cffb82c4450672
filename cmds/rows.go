package cmds

import (
	"flag"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
)

// rowKind is what create, change and list need to know of one kind of row.
type rowKind[R fleet.Versioned[R]] struct {
	// rows picks the rows out of the configuration.
	rows func(t entry.TablesReply) []R
	// flags returns the row that the flags describe.
	flags func(c *Config) R
	// merge copies into old each field whose flag was given.
	merge   func(old, given R, set flagSet) R
	heading []string
	cells   func(r R) []string
}

// flagSet holds the names of the flags that were given.
type flagSet map[string]bool

func givenFlags(fs *flag.FlagSet) flagSet {
	set := flagSet{}
	fs.Visit(func(f *flag.Flag) { set[f.Name] = true })
	return set
}

func (k rowKind[R]) create(c *Config) error { return c.put(k.flags(c), 0) }

func (k rowKind[R]) change(c *Config) error {
	return k.edit(c, func(old R) R { return k.merge(old, k.flags(c), givenFlags(c.flags)) })
}

// edit applies a change to the row of the flags' name, over the version that is in force now.
func (k rowKind[R]) edit(c *Config, change func(old R) R) error {
	tables, err := c.system().Tables()
	if err != nil {
		return err
	}
	old, err := find(k.rows(tables), k.flags(c).ID())
	if err != nil {
		return err
	}
	return c.put(change(old), old.RowVersion())
}

func (k rowKind[R]) list(c *Config) error {
	tables, err := c.system().Tables()
	if err != nil {
		return err
	}
	rows := k.rows(tables)
	if c.json {
		return c.printJSON(rows)
	}
	lines := make([][]string, len(rows))
	for i, r := range rows {
		lines[i] = k.cells(r)
	}
	return c.printTable(k.heading, lines)
}

// run carries out one of the verbs that all kinds of rows share.
func (k rowKind[R]) run(c *Config, args []string) error {
	v, err := verb(args, "create", "change", "list")
	if err != nil {
		return err
	}
	switch v {
	case "create":
		return k.create(c)
	case "change":
		return k.change(c)
	default:
		return k.list(c)
	}
}
