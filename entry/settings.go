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
	// Seat is the address for peers, which identifies the process among the live ones.
	Seat     string
	Zone     string
	Platform string
	// Source is the local address of outgoing connections, or nil.
	Source net.IP

	// Division is the policy of dividing slots over entry processes.
	Division Division

	// Forward is the address of a target that gets all requests without admission, as a baseline of measurements, or empty.
	Forward string

	// Lease is how long elastic units of limits stay valid after a renewal is sent.
	Lease time.Duration
	// Tick is the period of the periodic tasks.
	Tick time.Duration
	// Commit is the minimum time between two appends to one stream.
	Commit time.Duration
	// AppendBudget is the maximum number of appends a second by all entry processes together.
	AppendBudget int
	// ClaimWindow is how long the identifiers of non-idempotent requests are remembered.
	ClaimWindow time.Duration
	// FreshFor is the age up to which the state counts as up to date with the log.
	FreshFor time.Duration
	// IsolatedFor is how long a process whose state is older goes on authorizing requests with the keys that it knows.
	IsolatedFor time.Duration
	// StopWait bounds the wait for requests in a graceful stop.
	StopWait time.Duration

	MaxBody    int
	ReadWait   time.Duration
	MaxCallers int
	// RetryPercent is the number of retries allowed per hundred first attempts.
	RetryPercent int

	// PeerSecret authenticates entry processes to each other; all processes of a fleet share it.
	PeerSecret string

	// Operators maps the names of operators to the SHA-256 hashes of their tokens.
	Operators map[string][]byte
}

// Division is a policy of dividing slots over entry processes.
type Division string

// The policies of division. All but DivideByDemand are baselines of measurements.
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
	defaultLease        = 6 * time.Second
	defaultTick         = 20 * time.Millisecond
	defaultCommit       = 20 * time.Millisecond
	defaultAppendBudget = 300
	defaultClaimWindow  = 15 * time.Minute
	defaultFreshFor     = 5 * time.Second
	defaultIsolatedFor  = time.Hour
	defaultStopWait     = 30 * time.Second
	defaultMaxBody      = 1 << 20
	defaultReadWait     = 10 * time.Second
	defaultMaxCallers   = 4096
	defaultRetryPercent = 10

	minDuration  = time.Millisecond
	maxDuration  = 24 * time.Hour
	maxBodyBytes = 64 << 20
	maxCount     = 1 << 20
	maxPercent   = 100
)

// DefaultSettings returns the default settings, without addresses and zone.
func DefaultSettings() Settings {
	return Settings{
		Division:     DivideByDemand,
		Lease:        defaultLease,
		Tick:         defaultTick,
		Commit:       defaultCommit,
		AppendBudget: defaultAppendBudget,
		ClaimWindow:  defaultClaimWindow,
		FreshFor:     defaultFreshFor,
		IsolatedFor:  defaultIsolatedFor,
		StopWait:     defaultStopWait,
		MaxBody:      defaultMaxBody,
		ReadWait:     defaultReadWait,
		MaxCallers:   defaultMaxCallers,
		RetryPercent: defaultRetryPercent,
		Operators:    map[string][]byte{},
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
	s.Platform = section.Address("platform")
	s.Source = section.IP("source")
	s.PeerSecret = file.Section("peers").String("secret", "")
	s.Division = Division(section.OneOf("division", string(DivideByDemand), string(DivideByWeight), string(DivideEvenly)))
	if section.Has("forward") {
		s.Forward = section.Address("forward")
	}
	s.Lease = section.Duration("lease", s.Lease, time.Second, time.Hour)
	s.Tick = section.Duration("tick", s.Tick, minDuration, time.Second)
	s.Commit = section.Duration("commit", s.Commit, minDuration, time.Second)
	s.AppendBudget = section.Int("appendBudget", s.AppendBudget, 1, maxCount)
	s.ClaimWindow = section.Duration("claimWindow", s.ClaimWindow, time.Minute, maxDuration)
	s.FreshFor = section.Duration("freshFor", s.FreshFor, minDuration, maxDuration)
	s.IsolatedFor = section.Duration("isolatedFor", s.IsolatedFor, 0, maxDuration)
	s.StopWait = section.Duration("stopWait", s.StopWait, minDuration, maxDuration)
	s.MaxBody = limits.Int("maxBody", s.MaxBody, 1, maxBodyBytes)
	s.ReadWait = limits.Duration("readWait", s.ReadWait, minDuration, maxDuration)
	s.MaxCallers = limits.Int("maxCallers", s.MaxCallers, 1, maxCount)
	s.RetryPercent = limits.Int("retryPercent", s.RetryPercent, 0, maxPercent)
	for _, name := range file.Named("operator") {
		s.Operators[name] = readTokenHash(file, "operator "+name)
	}
	return s, file.Err()
}

func readTokenHash(file *conf.File, section string) []byte {
	text := file.Section(section).Required("tokenHash")
	hash, err := hex.DecodeString(text)
	if err != nil || len(hash) != tokenHashSize {
		file.Reject(section, "tokenHash", text, "the SHA-256 sum of a token in 64 hexadecimal digits")
	}
	return hash
}
