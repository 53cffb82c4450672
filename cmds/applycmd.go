package cmds

import (
	"flag"
	"fmt"
	"time"

	"lavenderwing.example/lavenderwing/conf"
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

func applyCmd() command {
	return command{
		short: "apply a file of pools, hosts, services, queues, teams and keys",
		long: `Usage: lavenderwing apply -config FILE [-check] [FLAGS]

Applies a whole file as one change: all of it is accepted, or none with every
reason. Rows that stand already are replaced, rows that the file does not name
stay as they are.

Example: lavenderwing apply -config examples/sibiu/fleet.ini`,
		flags: func(c *Config, fs *flag.FlagSet) {
			c.fileFlags(fs)
			c.changeFlags(fs)
		},
		run: (*Config).runApply,
	}
}

func (c *Config) runApply(_ []string) error {
	rows, err := loadFleet(c.file)
	if err != nil {
		return err
	}
	if c.checkedOnly() {
		return nil
	}
	tables, err := c.system().Tables()
	if err != nil {
		return err
	}
	versions := versionsOf(tables)
	puts := make([]record.Put, len(rows))
	for i, row := range rows {
		puts[i] = record.NewPut(row, versions[rowName(row)])
	}
	return c.applyPuts(puts)
}

// rowName is unique over all kinds of rows.
func rowName(row fleet.Row) string { return fmt.Sprintf("%T %s", row, row.ID()) }

func versionsOf(t entry.TablesReply) map[string]int64 {
	versions := map[string]int64{}
	note(versions, t.Pools)
	note(versions, t.Hosts)
	note(versions, t.Services)
	note(versions, t.Queues)
	note(versions, t.Teams)
	note(versions, t.Keys)
	return versions
}

func note[R fleet.Versioned[R]](versions map[string]int64, rows []R) {
	for _, r := range rows {
		versions[rowName(r)] = r.RowVersion()
	}
}

const (
	mostShare = 1_000_000
	mostSlots = 1_000_000
	mostWait  = 24 * time.Hour
)

// loadFleet reads the rows of a file in an order in which each refers only to earlier ones.
func loadFleet(path string) ([]fleet.Row, error) {
	file, err := conf.Open(path)
	if err != nil {
		return nil, err
	}
	var rows []fleet.Row
	for _, name := range file.SectionNames("pool") {
		s := file.Section("pool " + name)
		rows = append(rows, fleet.Pool{Name: name, Partner: s.Required("partner"), Spare: s.Bool("spare", false)})
	}
	for _, name := range file.SectionNames("host") {
		s := file.Section("host " + name)
		rows = append(rows, fleet.Host{
			Name: name, Pool: s.Required("pool"), Zone: s.Required("zone"), Rack: s.String("rack", ""),
			Address: s.Address("address"), Slots: s.Int("slots", defaultHostSlots, 1, mostSlots),
			Draining: s.Bool("draining", false),
		})
	}
	for _, name := range file.SectionNames("service") {
		s := file.Section("service " + name)
		limit := s.Duration("runLimit", defaultRunLimitMs*time.Millisecond, time.Millisecond, mostWait)
		rows = append(rows, fleet.Service{Name: name, Pool: s.Required("pool"), RunLimitMs: int(limit.Milliseconds())})
	}
	for _, name := range file.SectionNames("queue") {
		rows = append(rows, loadQueue(file, name))
	}
	for _, name := range file.SectionNames("team") {
		s := file.Section("team " + name)
		rows = append(rows, fleet.Team{
			Name: name, Partner: s.Required("partner"),
			Share: s.Int("share", defaultShare, 1, mostShare), Limit: s.Int("limit", defaultLimit, 0, mostSlots),
		})
	}
	for _, name := range file.SectionNames("key") {
		s := file.Section("key " + name)
		rows = append(rows, fleet.KeyFromSecret(name, s.Required("team"), s.Required("secret")))
	}
	return rows, file.Err()
}

func loadQueue(file *conf.File, name string) fleet.Queue {
	s := file.Section("queue " + name)
	wait := s.Duration("maxWait", defaultMaxWaitMs*time.Millisecond, time.Millisecond, mostWait)
	return fleet.Queue{
		Name: name, Service: s.Required("service"), Open: s.Bool("open", false), Urgent: s.Bool("urgent", false),
		MaxWaitMs: int(wait.Milliseconds()), MaxDepth: s.Int("maxDepth", defaultMaxDepth, 1, mostSlots),
	}
}
