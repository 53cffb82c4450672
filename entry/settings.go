package entry

import (
	"encoding/hex"
	"net"
	"time"

	"lavenderwing.example/lavenderwing/conf"
)

// Settings configures one entry process.
type Settings struct {
	// Listen serves callers and operators.
	Listen string
	// Seat is the address for peers; no two live processes share it.
	Seat     string
	Zone     string
	PlatformAddress string
	// Source is the local address of outgoing connections, or nil.
	Source net.IP

	// Division is how slots are divided over entry processes.
	Division Division

	// ForwardAddress is a target that takes every request without any decision, as a baseline of measurements, or empty.
	ForwardAddress string

	// LeaseDuration is how long elastic units of limits stay good after a renewal is sent.
	LeaseDuration time.Duration
	// TickPeriod is the period of the systems that run over the tables.
	TickPeriod time.Duration
	// AppendInterval is the shortest time between two appends to one stream.
	AppendInterval time.Duration
	// MaxAppendsPerSecond is the most appends a second by all entry processes together.
	MaxAppendsPerSecond int
	// ClaimWindow is how long a non-idempotent request's identifier is remembered.
	ClaimWindow time.Duration
	// MaxStateAge is how old the newest evidence of the log's end may be.
	MaxStateAge time.Duration
	// MaxIsolation is how long a process without such evidence goes on with the keys that it knows.
	MaxIsolation time.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration

	MaxBodyBytes    int
	ReadTimeout   time.Duration
	MaxCallers int
	// RetryPercent is how many retries each hundred first tries allow.
	RetryPercent int

	// PeerSecret is shared by all entry processes of a fleet.
	PeerSecret string

	// Operators maps each operator's name to the SHA-256 sum of a token.
	Operators map[string][]byte
}

// Division is a policy of dividing slots over entry processes.
type Division string

// The policies; all but the first serve as baselines.
const (
	// DivideByDemand gives slots by max-min fairness over teams in the whole fleet.
	DivideByDemand Division = "demand"
	// DivideByWeight gives slots by demand, and lets each process weigh teams by itself.
	DivideByWeight Division = "weight"
	// DivideEvenly gives each process the same slots, and lets it weigh teams by itself.
	DivideEvenly Division = "even"
)

// Defaults and bounds of the settings.
const (
	defaultLease       = 6 * time.Second
	defaultTick        = 20 * time.Millisecond
	defaultCommit      = 20 * time.Millisecond
	defaultAppends     = 300
	defaultClaimWindow = 15 * time.Minute
	defaultFreshFor    = 5 * time.Second
	defaultIsolatedFor = time.Hour
	defaultStopWait    = 30 * time.Second
	defaultMaxBody     = 1 << 20
	defaultReadWait    = 10 * time.Second
	defaultMaxCallers  = 4096
	defaultRetries     = 10

	shortest = time.Millisecond
	longest  = 24 * time.Hour
	bodyMost = 64 << 20
	most     = 1 << 20
	percent  = 100
)

// DefaultSettings returns the settings of a process whose addresses and zone are not set.
func DefaultSettings() Settings {
	return Settings{
		Division:     DivideByDemand,
		LeaseDuration:        defaultLease,
		TickPeriod:         defaultTick,
		AppendInterval:       defaultCommit,
		MaxAppendsPerSecond: defaultAppends,
		ClaimWindow:  defaultClaimWindow,
		MaxStateAge:     defaultFreshFor,
		MaxIsolation:  defaultIsolatedFor,
		StopTimeout:     defaultStopWait,
		MaxBodyBytes:      defaultMaxBody,
		ReadTimeout:     defaultReadWait,
		MaxCallers:   defaultMaxCallers,
		RetryPercent: defaultRetries,
		Operators:    map[string][]byte{},
	}
}

// Load reads the settings of an entry process from a file.
func Load(path string) (Settings, error) {
	file, err := conf.Open(path)
	if err != nil {
		return Settings{}, err
	}
	main := file.Section("entry")
	limits := file.Section("limits")
	s := DefaultSettings()
	s.Listen = main.Address("listen")
	s.Seat = main.Address("seat")
	s.Zone = main.Required("zone")
	s.PlatformAddress = main.Address("platform")
	s.Source = main.IP("source")
	s.PeerSecret = file.Section("peers").String("secret", "")
	s.Division = Division(main.OneOf("division", string(DivideByDemand), string(DivideByWeight), string(DivideEvenly)))
	if main.Has("forward") {
		s.ForwardAddress = main.Address("forward")
	}
	s.LeaseDuration = main.Duration("lease", s.LeaseDuration, time.Second, time.Hour)
	s.TickPeriod = main.Duration("tick", s.TickPeriod, shortest, time.Second)
	s.AppendInterval = main.Duration("commit", s.AppendInterval, shortest, time.Second)
	s.MaxAppendsPerSecond = main.Int("appendBudget", s.MaxAppendsPerSecond, 1, most)
	s.ClaimWindow = main.Duration("claimWindow", s.ClaimWindow, time.Minute, longest)
	s.MaxStateAge = main.Duration("freshFor", s.MaxStateAge, shortest, longest)
	s.MaxIsolation = main.Duration("isolatedFor", s.MaxIsolation, 0, longest)
	s.StopTimeout = main.Duration("stopWait", s.StopTimeout, shortest, longest)
	s.MaxBodyBytes = limits.Int("maxBody", s.MaxBodyBytes, 1, bodyMost)
	s.ReadTimeout = limits.Duration("readWait", s.ReadTimeout, shortest, longest)
	s.MaxCallers = limits.Int("maxCallers", s.MaxCallers, 1, most)
	s.RetryPercent = limits.Int("retryPercent", s.RetryPercent, 0, percent)
	for _, name := range file.SectionNames("operator") {
		s.Operators[name] = operatorHash(file, "operator "+name)
	}
	return s, file.Err()
}

func operatorHash(file *conf.File, section string) []byte {
	text := file.Section(section).Required("tokenHash")
	hash, err := hex.DecodeString(text)
	if err != nil || len(hash) != hashSize {
		file.AddProblem(section, "tokenHash", text, "the SHA-256 sum of a token in 64 hexadecimal digits")
	}
	return hash
}
