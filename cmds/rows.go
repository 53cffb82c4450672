package cmds

import (
	"flag"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
)

// rowKind implements the verbs create, change and list for one kind of row, such as hosts or teams.
type rowKind[R fleet.Versioned[R]] struct {
	// rows returns the rows of this kind in the configuration.
	rows func(t entry.TablesReply) []R
	// fromFlags returns the row that the flags describe.
	fromFlags func(c *Config) R
	// merge returns a copy of old in which the fields whose flags were given are replaced. It is nil for kinds without the
	// verb change.
	merge   func(old, given R, set flagNames) R
	heading []string
	cells   func(r R) []string
}

// flagNames holds the names of the flags that were given.
type flagNames map[string]bool

// givenFlagNames returns the names of the flags that the command line sets.
func givenFlagNames(fs *flag.FlagSet) flagNames {
	set := flagNames{}
	fs.Visit(func(f *flag.Flag) { set[f.Name] = true })
	return set
}

func (k rowKind[R]) create(c *Config) error { return c.putRow(k.fromFlags(c), 0) }

func (k rowKind[R]) change(c *Config) error {
	return k.edit(c, func(old R) R { return k.merge(old, k.fromFlags(c), givenFlagNames(c.flagSet)) })
}

// edit replaces the row that the flags name by what modify returns for it. The entry process rejects the change if another operator changed the row in
// the meantime.
func (k rowKind[R]) edit(c *Config, modify func(old R) R) error {
	tables, err := c.client().Tables()
	if err != nil {
		return err
	}
	old, err := findRow(k.rows(tables), k.fromFlags(c).ID())
	if err != nil {
		return err
	}
	return c.putRow(modify(old), old.RowVersion())
}

func (k rowKind[R]) list(c *Config) error {
	tables, err := c.client().Tables()
	if err != nil {
		return err
	}
	rows := k.rows(tables)
	if c.json {
		return c.printJSON(rows)
	}
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = k.cells(r)
	}
	return c.printTable(k.heading, cells)
}

// run executes one of the verbs create, change and list. Kinds of rows with other verbs have their own run function.
func (k rowKind[R]) run(c *Config, args []string) error {
	v, err := parseVerb(args, "create", "change", "list")
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
