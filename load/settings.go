package load

import (
	"strings"
	"time"

	"lavenderwing.example/lavenderwing/conf"
)

// Settings describes a load run.
type Settings struct {
	// Entries holds the addresses of the entry processes, and Standin the address of the stand-in.
	Entries []string
	Standin string
	// Duration is how long requests are sent.
	Duration time.Duration
	// BurstDuration is how long each queue in turn bursts.
	BurstDuration time.Duration
	// BurstFactor multiplies the mean rate of the bursting queue.
	BurstFactor float64
	// RestFactor multiplies the mean rate of all other queues.
	RestFactor float64
	// SettleTime is the time after the start of each burst in which no fairness samples are taken.
	SettleTime time.Duration
	Seed       uint64
	Teams      []TeamSettings
	Queues     []QueueSettings
}

// TeamSettings describes a team that sends requests.
type TeamSettings struct {
	Name  string
	Key   string
	Share int
	Limit int
	// LoadWeight is the team's weight when the requests of a queue are distributed over the teams.
	LoadWeight int
}

// QueueSettings describes the load of one queue.
type QueueSettings struct {
	Name string
	// Pool is the pool on which the queue's requests run, and Slots is its number of slots.
	Pool  string
	Slots int
	// MeanRate is the mean rate in requests per second.
	MeanRate float64
	// MeanRunTime is the mean run time; each request takes between half and one and a half times as long.
	MeanRunTime time.Duration
	// AtMostOncePercent is the percentage of requests that are not idempotent and so must run at most once.
	AtMostOncePercent int
	Timeout           time.Duration
	Urgent            bool
}

// Defaults and upper bounds of the settings.
const (
	defaultDuration      = 20 * time.Second
	defaultBurstDuration = 4 * time.Second
	defaultBurstFactor   = 5
	defaultSettleTime    = time.Second
	defaultMeanRunTime   = 100 * time.Millisecond
	defaultTimeout       = 5 * time.Second
	defaultRestPart      = 20
	maxRate              = 100_000
	maxSlots             = 100_000
	maxDuration          = time.Hour
	percent              = 100
)

// Load reads the settings of a load run from a file.
func Load(path string) (Settings, error) {
	file, err := conf.Open(path)
	if err != nil {
		return Settings{}, err
	}
	main := file.Section("load")
	s := Settings{
		Entries:       main.List("entries"),
		Standin:       main.Address("standin"),
		Duration:      main.Duration("duration", defaultDuration, time.Second, maxDuration),
		BurstDuration: main.Duration("turn", defaultBurstDuration, time.Second, maxDuration),
		BurstFactor:   float64(main.Int("burst", defaultBurstFactor, 1, maxRate)),
		RestFactor:    1 / float64(main.Int("restPart", defaultRestPart, 1, maxRate)),
		SettleTime:    main.Duration("settle", defaultSettleTime, 0, maxDuration),
		Seed:          uint64(main.Int("seed", 1, 0, maxRate)),
	}
	if len(s.Entries) == 0 {
		file.AddProblem("load", "entries", "", "at least one address")
	}
	for _, name := range file.SectionNames("team") {
		t := file.Section("team " + name)
		s.Teams = append(s.Teams, TeamSettings{
			Name: name, Key: t.Required("key"), Share: t.Int("share", 1, 1, maxRate),
			Limit: t.Int("limit", maxSlots, 0, maxSlots), LoadWeight: t.Int("part", 1, 0, maxRate),
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
		Name:              name,
		Pool:              strings.TrimSpace(q.Required("pool")),
		Slots:             q.Int("slots", 1, 1, maxSlots),
		MeanRate:          float64(q.Int("mean", 10, 1, maxRate)),
		MeanRunTime:       q.Duration("run", defaultMeanRunTime, time.Millisecond, maxDuration),
		AtMostOncePercent: q.Int("oncePercent", 0, 0, percent),
		Timeout:           q.Duration("timeout", defaultTimeout, time.Millisecond, maxDuration),
		Urgent:            q.Bool("urgent", false),
	}
}
