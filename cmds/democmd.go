package cmds

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"time"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/load"
	"lavenderwing.example/lavenderwing/plat"
	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/stand"
)

// Sizes and times of the demonstration.
const (
	demoEntries  = 4
	demoHosts    = 4
	demoTime     = 9 * time.Second
	demoKillAt   = 4 * time.Second
	demoKeyAt    = 6 * time.Second
	demoStopWait = time.Second
	demoReady    = 10 * time.Second
	demoMean     = 30
	demoRun      = 100 * time.Millisecond
	demoSecret   = "demonstration"
	demoLostKey  = "apprentices1"
	// demoKeyGrace is how long a withdrawn key may go on working.
	demoKeyGrace = 3 * time.Second
)

func demoCmd() command {
	return command{
		short: "show a small fleet in one process",
		long: `Usage: lavenderwing demo

Runs a stand-in and four entry nodes in two availability zones inside one
process, with two of Sibiu's services. A burst goes through them; inside it one
entry node is killed and one key withdrawn. Prints what held and what did not,
and exits with 1 if a promise broke. Ends by itself in under 30 seconds.

Example: lavenderwing demo`,
		flags: func(*Config, *flag.FlagSet) {},
		run:   (*Config).runDemo,
	}
}

// demo is the small fleet of the demonstration.
type demo struct {
	stand   *stand.Platform
	nodes   []*entry.Node
	kills   []context.CancelFunc
	listens []string
	load    load.Settings
}

func (c *Config) runDemo(_ []string) error {
	fmt.Fprintln(c.Stdout, "two zones, four entry nodes, two services of four hosts, four teams; nine seconds of load")
	d, err := newDemo()
	if err != nil {
		return err
	}
	defer d.stop()
	if err := d.configure(); err != nil {
		return err
	}
	withdrawn := make(chan string, 1)
	go func() { withdrawn <- d.injectFaults() }()
	report, err := load.New(d.load, nil).Do()
	if err != nil {
		return err
	}
	report.Print(c.Stdout)
	key := <-withdrawn
	fmt.Fprintln(c.Stdout, key)
	broken := report.Violations()
	if key != demoKeyHeld {
		broken = append(broken, key)
	}
	for _, b := range broken {
		fmt.Fprintln(c.Stdout, "BROKEN:", b)
	}
	if len(broken) > 0 {
		return fmt.Errorf("%d promises broke", len(broken))
	}
	fmt.Fprintln(c.Stdout, "held: limits, at most once, true refusals, own answers, withdrawn key; through one killed entry node")
	return nil
}

// newDemo starts the stand-in and the entry nodes on free ports.
func newDemo() (*demo, error) {
	addresses := stand.LoopbackAddresses(1 + 2*demoHosts + 2*demoEntries)
	settings := stand.Settings{Listen: addresses[0], RetainedEntries: 100_000}
	for i := range 2 * demoHosts {
		pool := []string{"proofs", "suits"}[i/demoHosts]
		settings.Hosts = append(settings.Hosts, stand.HostSettings{
			Name: pool + "-" + strconv.Itoa(i%demoHosts+1), Pool: pool, Zone: demoZone(i), Rack: pool,
			Address: addresses[1+i], Slots: defaultHostSlots, Connections: 64,
		})
	}
	d := &demo{stand: stand.New(settings), load: demoLoad(settings.Listen)}
	if err := d.stand.Start(); err != nil {
		return nil, err
	}
	for i := range demoEntries {
		at := 1 + 2*demoHosts + 2*i
		s := entry.DefaultSettings()
		s.Listen, s.Seat, s.Zone, s.PlatformAddress = addresses[at], addresses[at+1], demoZone(i), settings.Listen
		s.Operators["operator"] = fleet.KeyFromSecret("", "", demoSecret).Hash
		platform := plat.NewClient(settings.Listen)
		n := entry.New(s, platform, platform)
		ctx, kill := context.WithCancel(context.Background())
		d.nodes = append(d.nodes, n)
		d.kills = append(d.kills, kill)
		d.listens = append(d.listens, s.Listen)
		d.load.Entries = append(d.load.Entries, s.Listen)
		go func() { _ = n.Run(ctx) }()
	}
	return d, nil
}

func demoZone(i int) string { return []string{"sibiu-a", "sibiu-b"}[i%2] }

func demoLoad(standin string) load.Settings {
	s := load.Settings{Standin: standin, Duration: demoTime, BurstDuration: demoTime / 3, BurstFactor: 5, RestFactor: 0.05, SettleTime: time.Second, Seed: 1}
	for i, name := range []string{"benches", "schools", "collectors", "apprentices"} {
		s.Teams = append(s.Teams, load.TeamSettings{
			Name: name, Key: name + "1." + demoSecret, Share: 4 - i, Limit: 12, LoadWeight: 1,
		})
	}
	for _, pool := range []string{"proofs", "suits"} {
		s.Queues = append(s.Queues, load.QueueSettings{
			Name: pool, Pool: pool, Slots: demoHosts * defaultHostSlots, MeanRate: demoMean * 4, MeanRunTime: demoRun,
			AtMostOncePercent: 50, Timeout: 5 * time.Second, Urgent: pool == "proofs",
		})
	}
	return s
}

// configure applies the whole fleet as one change.
func (d *demo) configure() error {
	var rows []fleet.Row
	for _, q := range d.load.Queues {
		rows = append(rows, fleet.Pool{Name: q.Pool, Partner: "sibiu"})
		rows = append(rows, fleet.Service{Name: q.Pool, Pool: q.Pool, RunLimitMs: 2000})
		rows = append(rows, fleet.Queue{Name: q.Name, Service: q.Pool, Urgent: q.Urgent, MaxWaitMs: defaultMaxWaitMs, MaxDepth: defaultMaxDepth})
	}
	for _, h := range d.stand.Hosts() {
		rows = append(rows, fleet.Host{Name: h.Name, Pool: h.Pool, Zone: h.Zone, Rack: h.Rack, Address: h.Address, Slots: h.Slots})
	}
	for _, t := range d.load.Teams {
		rows = append(rows, fleet.Team{Name: t.Name, Partner: "sibiu", Share: t.Share, Limit: t.Limit})
		rows = append(rows, fleet.KeyFromSecret(t.Name+"1", t.Name, demoSecret))
	}
	change := record.Change{}
	for _, row := range rows {
		change.Puts = append(change.Puts, record.NewPut(row, 0))
	}
	var err error
	for end := time.Now().Add(demoReady); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, err = demoSystem(d.listens[0]).Apply(change); err == nil {
			return nil
		}
	}
	return err
}
