package load

import (
	"strings"
	"time"

	"lavenderwing.example/lavenderwing/conf"
)

// Settings describes one load run.
type Settings struct {
	Entries []string
	Standin string
	// Duration is how long requests are sent.
	Duration time.Duration
	// BurstDuration is how long each queue in turn asks for Burst times its mean.
	BurstDuration time.Duration
	// BurstFactor multiplies the mean rate of the queue whose turn it is.
	BurstFactor float64
	// RestFactor multiplies the mean rate of every other queue.
	RestFactor float64
	// SettleTime is the time after a change of turn for which the share is not judged.
	SettleTime time.Duration
	Seed   uint64
	Teams  []TeamSettings
	Queues []QueueSettings
}

// TeamSettings describes a team that submits load.
type TeamSettings struct {
	Name  string
	Key   string
	Share int
	Limit int
	// LoadWeight is the team's relative part of each queue's requests.
	LoadWeight int
}

// QueueSettings describes one queue's load.
type QueueSettings struct {
	Name string
	// Pool is where the queue's requests run, and Slots its size.
	Pool  string
	Slots int
	// MeanRate is the mean rate in requests a second.
	MeanRate float64
	// MeanRunTime is the mean run time; each run takes from half to one and a half of it.
	MeanRunTime time.Duration
	// AtMostOncePercent of the requests must not run twice.
	AtMostOncePercent int
	Timeout     time.Duration
	Urgent      bool
}

// Defaults and bounds.
const (
	defaultDuration = 20 * time.Second
	defaultTurn     = 4 * time.Second
	defaultBurst    = 5
	defaultSettle   = time.Second
	defaultRun      = 100 * time.Millisecond
	defaultTimeout  = 5 * time.Second
	restPart        = 20
	mostRate        = 100_000
	mostSlots       = 100_000
	mostTime        = time.Hour
	percent         = 100
)

// Load reads the settings of a load run from a file.
func Load(path string) (Settings, error) {
	file, err := conf.Open(path)
	if err != nil {
		return Settings{}, err
	}
	main := file.Section("load")
	s := Settings{
		Entries:  main.List("entries"),
		Standin:  main.Address("standin"),
		Duration: main.Duration("duration", defaultDuration, time.Second, mostTime),
		BurstDuration:     main.Duration("turn", defaultTurn, time.Second, mostTime),
		BurstFactor:    float64(main.Int("burst", defaultBurst, 1, mostRate)),
		RestFactor:     1 / float64(main.Int("restPart", restPart, 1, mostRate)),
		SettleTime:   main.Duration("settle", defaultSettle, 0, mostTime),
		Seed:     uint64(main.Int("seed", 1, 0, mostRate)),
	}
	if len(s.Entries) == 0 {
		file.AddProblem("load", "entries", "", "at least one address")
	}
	for _, name := range file.SectionNames("team") {
		t := file.Section("team " + name)
		s.Teams = append(s.Teams, TeamSettings{
			Name: name, Key: t.Required("key"), Share: t.Int("share", 1, 1, mostRate),
			Limit: t.Int("limit", mostSlots, 0, mostSlots), LoadWeight: t.Int("part", 1, 0, mostRate),
		})
	}
	for _, name := range file.SectionNames("queue") {
		s.Queues = append(s.Queues, loadQueue(file, name))
	}
	if len(s.Teams) == 0 || len(s.Queues) == 0 {
		file.AddProblem("load", "", "", "at least one [team NAME] and one [queue NAME]")
	}
	return s, file.Err()
}

func loadQueue(file *conf.File, name string) QueueSettings {
	q := file.Section("queue " + name)
	return QueueSettings{
		Name:        name,
		Pool:        strings.TrimSpace(q.Required("pool")),
		Slots:       q.Int("slots", 1, 1, mostSlots),
		MeanRate:        float64(q.Int("mean", 10, 1, mostRate)),
		MeanRunTime:         q.Duration("run", defaultRun, time.Millisecond, mostTime),
		AtMostOncePercent: q.Int("oncePercent", 0, 0, percent),
		Timeout:     q.Duration("timeout", defaultTimeout, time.Millisecond, mostTime),
		Urgent:      q.Bool("urgent", false),
	}
}
