package entry

import (
	"encoding/hex"
	"net"
	"time"

	"lavenderwing.example/lavenderwing/conf"
)

// Settings is the configuration of one entry process.
type Settings struct {
	// Listen is the address for callers and operators.
	Listen string
	// Seat is the address at which peers reach the process, and identifies the process among them.
	Seat            string
	Zone            string
	PlatformAddress string
	// Source is the local address of outgoing connections, or nil.
	Source net.IP

	// Division is the policy for dividing slots among entry processes.
	Division Division

	// ForwardAddress is the address of a target that gets all requests without admission, as a baseline for measurements, or empty.
	ForwardAddress string

	// LeaseDuration is how long elastic units of limits stay valid after a renewal is sent.
	LeaseDuration time.Duration
	// TickPeriod is the time between two runs of the periodic tasks.
	TickPeriod time.Duration
	// AppendInterval is the minimum pause after each batch that is appended to a stream.
	AppendInterval time.Duration
	// MaxAppendsPerSecond bounds the appends of all entry processes together.
	MaxAppendsPerSecond int
	// ClaimWindow is how long the identifiers of non-idempotent requests are remembered.
	ClaimWindow time.Duration
	// MaxStateAge is the age up to which the state counts as up to date with the log.
	MaxStateAge time.Duration
	// MaxIsolation is how long a process goes on authorizing requests with the keys that it knows after its state has become older than MaxStateAge.
	MaxIsolation time.Duration
	// StopTimeout bounds the wait for requests in a graceful stop.
	StopTimeout time.Duration

	MaxBodyBytes int
	// ReadTimeout bounds the read of a request, the write of its reply and the idle time of a caller's connection.
	ReadTimeout time.Duration
	// MaxCallers is the maximum number of concurrent connections of callers.
	MaxCallers int
	// RetryPercent is the number of retries allowed per hundred first attempts.
	RetryPercent int

	// PeerSecret authenticates entry processes to each other; all processes of a fleet share it.
	PeerSecret string

	// Operators maps the names of operators to the SHA-256 hashes of their tokens.
	Operators map[string][]byte
}

// Division is a policy for dividing slots among entry processes.
type Division string

// The policies for dividing slots. All but DivideByDemand are baselines for measurements.
const (
	// DivideByDemand divides slots by max-min fairness between teams over the whole fleet.
	DivideByDemand Division = "demand"
	// DivideByWeight divides slots by demand, and lets each process apply the weights of teams on its own.
	DivideByWeight Division = "weight"
	// DivideEvenly gives each process the same number of slots, and lets it apply the weights of teams on its own.
	DivideEvenly Division = "even"
)

// Defaults and bounds of the settings.
const (
	defaultLeaseDuration       = 6 * time.Second
	defaultTickPeriod          = 20 * time.Millisecond
	defaultAppendInterval      = 20 * time.Millisecond
	defaultMaxAppendsPerSecond = 300
	defaultClaimWindow         = 15 * time.Minute
	defaultMaxStateAge         = 5 * time.Second
	defaultMaxIsolation        = time.Hour
	defaultStopTimeout         = 30 * time.Second
	defaultMaxBodyBytes        = 1 << 20
	defaultReadTimeout         = 10 * time.Second
	defaultMaxCallers          = 4096
	defaultRetryPercent        = 10

	minDuration       = time.Millisecond
	maxDuration       = 24 * time.Hour
	maxBodyBytesLimit = 64 << 20
	maxCount          = 1 << 20
	maxPercent        = 100
)

// DefaultSettings returns the default settings, without addresses and zone.
func DefaultSettings() Settings {
	return Settings{
		Division:            DivideByDemand,
		LeaseDuration:       defaultLeaseDuration,
		TickPeriod:          defaultTickPeriod,
		AppendInterval:      defaultAppendInterval,
		MaxAppendsPerSecond: defaultMaxAppendsPerSecond,
		ClaimWindow:         defaultClaimWindow,
		MaxStateAge:         defaultMaxStateAge,
		MaxIsolation:        defaultMaxIsolation,
		StopTimeout:         defaultStopTimeout,
		MaxBodyBytes:        defaultMaxBodyBytes,
		ReadTimeout:         defaultReadTimeout,
		MaxCallers:          defaultMaxCallers,
		RetryPercent:        defaultRetryPercent,
		Operators:           map[string][]byte{},
	}
}

// Load reads the settings of an entry process from a file.
func Load(path string) (Settings, error) {
	file, err := conf.Open(path)
	if err != nil {
		return Settings{}, err
	}
	section := file.Section("entry")
	limits := file.Section("limits")
	s := DefaultSettings()
	s.Listen = section.Address("listen")
	s.Seat = section.Address("seat")
	s.Zone = section.Required("zone")
	s.PlatformAddress = section.Address("platform")
	s.Source = section.IP("source")
	s.PeerSecret = file.Section("peers").String("secret", "")
	s.Division = Division(section.OneOf("division", string(DivideByDemand), string(DivideByWeight), string(DivideEvenly)))
	if section.Has("forward") {
		s.ForwardAddress = section.Address("forward")
	}
	s.LeaseDuration = section.Duration("lease", s.LeaseDuration, time.Second, time.Hour)
	s.TickPeriod = section.Duration("tick", s.TickPeriod, minDuration, time.Second)
	s.AppendInterval = section.Duration("commit", s.AppendInterval, minDuration, time.Second)
	s.MaxAppendsPerSecond = section.Int("appendBudget", s.MaxAppendsPerSecond, 1, maxCount)
	s.ClaimWindow = section.Duration("claimWindow", s.ClaimWindow, time.Minute, maxDuration)
	s.MaxStateAge = section.Duration("freshFor", s.MaxStateAge, minDuration, maxDuration)
	s.MaxIsolation = section.Duration("isolatedFor", s.MaxIsolation, 0, maxDuration)
	s.StopTimeout = section.Duration("stopWait", s.StopTimeout, minDuration, maxDuration)
	s.MaxBodyBytes = limits.Int("maxBody", s.MaxBodyBytes, 1, maxBodyBytesLimit)
	s.ReadTimeout = limits.Duration("readWait", s.ReadTimeout, minDuration, maxDuration)
	s.MaxCallers = limits.Int("maxCallers", s.MaxCallers, 1, maxCount)
	s.RetryPercent = limits.Int("retryPercent", s.RetryPercent, 0, maxPercent)
	for _, name := range file.SectionNames("operator") {
		s.Operators[name] = readTokenHash(file, "operator "+name)
	}
	return s, file.Err()
}

func readTokenHash(file *conf.File, section string) []byte {
	text := file.Section(section).Required("tokenHash")
	hash, err := hex.DecodeString(text)
	if err != nil || len(hash) != tokenHashSize {
		file.AddProblem(section, "tokenHash", text, "the SHA-256 sum of a token in 64 hexadecimal digits")
	}
	return hash
}
