package cmds

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"time"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/load"
	"lavenderwing.example/lavenderwing/logapi"
	"lavenderwing.example/lavenderwing/record"
)

// Sizes and times of the demo fleet.
const (
	demoEntries     = 4
	demoHosts       = 4
	demoDuration    = 9 * time.Second
	demoKillAt      = 4 * time.Second
	demoWithdrawAt  = 6 * time.Second
	demoStopTimeout = time.Second
	// demoCallTimeout bounds one call to an entry node, and also all attempts of configure together.
	demoCallTimeout  = 10 * time.Second
	demoMeanRate     = 30
	demoRunTime      = 100 * time.Millisecond
	demoSecret       = "demonstration"
	demoWithdrawnKey = "apprentices1"
	// demoWithdrawTimeout is the time after which every entry node must refuse a withdrawn key.
	demoWithdrawTimeout = 3 * time.Second
)

func demoCmd() command {
	return command{
		short: "show a small fleet in one process",
		long: `Usage: lavenderwing demo

Runs a stand-in and four entry nodes in two availability zones inside one
process, with two of Sibiu's services. During a burst of load, one entry node is
killed and one key is withdrawn. Prints a report and each guarantee that was
violated, and exits with 1 if there was one. Ends by itself in under 30 seconds.

Example: lavenderwing demo`,
		addFlags: func(*Config, *flag.FlagSet) {},
		run:      (*Config).runDemo,
	}
}

// demo is the fleet of the demo command, which runs in this process.
type demo struct {
	standin   *fake.Platform
	nodes     []*entry.Node
	cancels   []context.CancelFunc
	addresses []string
	load      load.Settings
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
	keyResults := make(chan string, 1)
	go func() { keyResults <- d.injectFaults() }()
	report, err := load.New(d.load, nil).Run()
	if err != nil {
		return err
	}
	report.Print(c.Stdout)
	keyResult := <-keyResults
	fmt.Fprintln(c.Stdout, keyResult)
	violations := report.Violations()
	if keyResult != demoKeyRejected {
		violations = append(violations, keyResult)
	}
	for _, v := range violations {
		fmt.Fprintln(c.Stdout, "BROKEN:", v)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d guarantees were violated", len(violations))
	}
	fmt.Fprintln(c.Stdout, "all guarantees held while one entry node was killed: team limits, at most one run, correct refusals, no crossed answers, withdrawn key refused")
	return nil
}

// newDemo starts the stand-in and the entry nodes on free ports.
func newDemo() (*demo, error) {
	addresses := fake.LoopbackAddresses(1 + 2*demoHosts + 2*demoEntries)
	settings := fake.Settings{Listen: addresses[0], RetainedEntries: 100_000}
	for i := range 2 * demoHosts {
		pool := []string{"proofs", "suits"}[i/demoHosts]
		settings.Hosts = append(settings.Hosts, fake.HostSettings{
			Name: pool + "-" + strconv.Itoa(i%demoHosts+1), Pool: pool, Zone: demoZone(i), Rack: pool,
			Address: addresses[1+i], Slots: defaultHostSlots, Connections: 64,
		})
	}
	d := &demo{standin: fake.New(settings), load: demoLoad(settings.Listen)}
	if err := d.standin.Start(); err != nil {
		return nil, err
	}
	for i := range demoEntries {
		first := 1 + 2*demoHosts + 2*i
		s := entry.DefaultSettings()
		s.Listen, s.Seat, s.Zone, s.PlatformAddress = addresses[first], addresses[first+1], demoZone(i), settings.Listen
		s.Operators["operator"] = fleet.KeyFromSecret("", "", demoSecret).Hash
		platform := logapi.NewClient(settings.Listen)
		n := entry.New(s, platform, platform)
		ctx, cancel := context.WithCancel(context.Background())
		d.nodes = append(d.nodes, n)
		d.cancels = append(d.cancels, cancel)
		d.addresses = append(d.addresses, s.Listen)
		d.load.Entries = append(d.load.Entries, s.Listen)
		go func() { _ = n.Run(ctx) }()
	}
	return d, nil
}

func demoZone(i int) string { return []string{"sibiu-a", "sibiu-b"}[i%2] }

// demoLoad returns a load in which the two queues burst in turn at 600 requests per second. The pool of each queue can
// run 320 per second, which are 32 slots at 100 ms, so that every burst fills a pool.
func demoLoad(standin string) load.Settings {
	s := load.Settings{Standin: standin, Duration: demoDuration, BurstDuration: demoDuration / 3, BurstFactor: 5, RestFactor: 0.05, SettleTime: time.Second, Seed: 1}
	for i, name := range []string{"benches", "schools", "collectors", "apprentices"} {
		s.Teams = append(s.Teams, load.TeamSettings{
			Name: name, Key: name + "1." + demoSecret, Share: 4 - i, Limit: 12, LoadWeight: 1,
		})
	}
	for _, pool := range []string{"proofs", "suits"} {
		s.Queues = append(s.Queues, load.QueueSettings{
			Name: pool, Pool: pool, Slots: demoHosts * defaultHostSlots, MeanRate: demoMeanRate * 4, MeanRunTime: demoRunTime,
			AtMostOncePercent: 50, Timeout: 5 * time.Second, Urgent: pool == "proofs",
		})
	}
	return s
}

// configure applies the rows of the fleet as one change, and retries while the first entry node is starting.
func (d *demo) configure() error {
	var rows []fleet.Row
	for _, q := range d.load.Queues {
		rows = append(rows, fleet.Pool{Name: q.Pool, Partner: "sibiu"})
		rows = append(rows, fleet.Service{Name: q.Pool, Pool: q.Pool, RunLimitMs: 2000})
		rows = append(rows, fleet.Queue{Name: q.Name, Service: q.Pool, Urgent: q.Urgent, MaxWaitMs: defaultMaxWaitMs, MaxDepth: defaultMaxDepth})
	}
	for _, h := range d.standin.Hosts() {
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
	for deadline := time.Now().Add(demoCallTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if _, err = demoClient(d.addresses[0]).Apply(change); err == nil {
			return nil
		}
	}
	return err
}
