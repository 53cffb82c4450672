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

Applies a whole file as one change: either all of it is accepted, or nothing is
and every reason is printed. Rows that exist already are replaced; rows that the
file does not name stay as they are.

Example: lavenderwing apply -config examples/sibiu/fleet.ini`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addSettingsFlags(fs)
			c.addChangeFlags(fs)
		},
		run: (*Config).runApply,
	}
}

func (c *Config) runApply(_ []string) error {
	rows, err := loadFleet(c.settingsFile)
	if err != nil {
		return err
	}
	if c.reportCheckOnly() {
		return nil
	}
	tables, err := c.client().Tables()
	if err != nil {
		return err
	}
	versions := versionsByRow(tables)
	puts := make([]record.Put, len(rows))
	for i, row := range rows {
		puts[i] = record.NewPut(row, versions[rowKey(row)])
	}
	return c.apply(puts)
}

// rowKey returns a key that is unique over all kinds of rows.
func rowKey(row fleet.Row) string { return fmt.Sprintf("%T %s", row, row.ID()) }

// versionsByRow returns the version of each row of the configuration; the keys of the map come from rowKey.
func versionsByRow(t entry.TablesReply) map[string]int64 {
	versions := map[string]int64{}
	addVersions(versions, t.Pools)
	addVersions(versions, t.Hosts)
	addVersions(versions, t.Services)
	addVersions(versions, t.Queues)
	addVersions(versions, t.Teams)
	addVersions(versions, t.Keys)
	return versions
}

func addVersions[R fleet.Versioned[R]](versions map[string]int64, rows []R) {
	for _, r := range rows {
		versions[rowKey(r)] = r.RowVersion()
	}
}

// Upper bounds of the settings.
const (
	maxShare = 1_000_000
	maxSlots = 1_000_000
	maxWait  = 24 * time.Hour
)

// loadFleet reads the rows of a file, ordered so that each row refers only to earlier ones.
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
			Address: s.Address("address"), Slots: s.Int("slots", defaultHostSlots, 1, maxSlots),
			Draining: s.Bool("draining", false),
		})
	}
	for _, name := range file.SectionNames("service") {
		s := file.Section("service " + name)
		runLimit := s.Duration("runLimit", defaultRunLimitMs*time.Millisecond, time.Millisecond, maxWait)
		rows = append(rows, fleet.Service{Name: name, Pool: s.Required("pool"), RunLimitMs: int(runLimit.Milliseconds())})
	}
	for _, name := range file.SectionNames("queue") {
		rows = append(rows, loadQueue(file, name))
	}
	for _, name := range file.SectionNames("team") {
		s := file.Section("team " + name)
		rows = append(rows, fleet.Team{
			Name: name, Partner: s.Required("partner"),
			Share: s.Int("share", defaultShare, 1, maxShare), Limit: s.Int("limit", defaultLimit, 0, maxSlots),
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
	wait := s.Duration("maxWait", defaultMaxWaitMs*time.Millisecond, time.Millisecond, maxWait)
	return fleet.Queue{
		Name: name, Service: s.Required("service"), Open: s.Bool("open", false), Urgent: s.Bool("urgent", false),
		MaxWaitMs: int(wait.Milliseconds()), MaxDepth: s.Int("maxDepth", defaultMaxDepth, 1, maxSlots),
	}
}
