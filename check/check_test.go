package check

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// cleanConfig returns a configuration without findings.
func cleanConfig() *work.Config {
	return &work.Config{
		Version: 7, MaxBodyBytes: 262144,
		Queues: []work.Queue{
			{Name: "orders", Host: "shop.example", PathPrefix: "/orders/", Pool: "batch", MaxAttempts: 3, SlackFactor: 3, FixedSlackMs: 600, TimeoutMs: 3000},
			{Name: "open", Host: "shop.example", PathPrefix: "/", Pool: "live", Public: true, Priority: 1, MaxAttempts: 1, SlackFactor: 2, FixedSlackMs: 900, TimeoutMs: 900, Advisor: &work.AdvisorConfig{BaseLatencyMs: 100, PerTargetLatencyMs: 2, TicketValidityMs: 500}},
		},
		Pools: []work.Pool{{Name: "batch"}, {Name: "live", EnforcesCapacity: true}, {Name: "spare", Standby: true}},
		Teams: []work.Team{
			{Name: "red", Keys: []string{"red-secret-1", "red-secret-2"}, Weight: 2, Cap: work.Resources{CPU: 16000}},
			{Name: "blue", Keys: []string{"blue-secret-1"}, Weight: 1},
		},
	}
}

// lines returns the findings as "severity part field", one a line.
func lines(findings []Finding) string {
	var b strings.Builder
	for _, f := range findings {
		fmt.Fprintf(&b, "%s %s %s\n", f.Severity, f, f.Field)
	}
	return b.String()
}

// TestFindings guards against a mistake that the check passes over, one that it reports twice or elsewhere, and a change that is allowed and reported.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *work.Config)
		want   string
	}{
		"clean":                      {func(*work.Config) {}, ""},
		"version 0":                  {func(c *work.Config) { c.Version = 0 }, "error configuration version\n"},
		"negative body":              {func(c *work.Config) { c.MaxBodyBytes = -1 }, "error configuration maxBodyBytes\n"},
		"no queues":                  {func(c *work.Config) { c.Queues = nil }, "warning configuration \nnote pool batch \nnote pool live \n"},
		"queue without a name":       {func(c *work.Config) { c.Queues[0].Name = "" }, "error queue \"\" name\n"},
		"two queues of a name":       {func(c *work.Config) { c.Queues[1].Name = "orders" }, "error queue orders name\n"},
		"two pools of a name":        {func(c *work.Config) { c.Pools = append(c.Pools, work.Pool{Name: "live"}) }, "error pool live name\n"},
		"two teams of a name":        {func(c *work.Config) { c.Teams[1].Name = "red" }, "error team red name\n"},
		"same host and prefix":       {func(c *work.Config) { c.Queues[1].PathPrefix = "/orders/" }, "warning queue open pathPrefix\n"},
		"same prefix, other host":    {func(c *work.Config) { c.Queues[1].Host, c.Queues[1].PathPrefix = "open.example", "/orders/" }, ""},
		"longer prefix after it":     {func(c *work.Config) { c.Queues[1].PathPrefix = "/orders/new/" }, ""},
		"empty host":                 {func(c *work.Config) { c.Queues[0].Host = "" }, "warning queue orders host\n"},
		"host in upper case":         {func(c *work.Config) { c.Queues[0].Host = "Shop.example" }, "warning queue orders host\n"},
		"host with a port":           {func(c *work.Config) { c.Queues[0].Host = "shop.example:80" }, "warning queue orders host\n"},
		"host in brackets":           {func(c *work.Config) { c.Queues[0].Host = "[::1]" }, ""},
		"host with a slash":          {func(c *work.Config) { c.Queues[0].Host = "shop.example/" }, "warning queue orders host\n"},
		"empty prefix":               {func(c *work.Config) { c.Queues[0].PathPrefix = "" }, "warning queue orders pathPrefix\n"},
		"prefix without a slash":     {func(c *work.Config) { c.Queues[0].PathPrefix = "orders/" }, "warning queue orders pathPrefix\n"},
		"prefix not normalized":      {func(c *work.Config) { c.Queues[0].PathPrefix = "/a/../orders/" }, "warning queue orders pathPrefix\n"},
		"unknown pool":               {func(c *work.Config) { c.Queues[0].Pool = "bath" }, "error queue orders pool\nnote pool batch \n"},
		"standby pool":               {func(c *work.Config) { c.Queues[0].Pool = "spare" }, "error queue orders pool\nnote pool batch \n"},
		"no standby pool":            {func(c *work.Config) { c.Pools = c.Pools[:2] }, "note configuration standby\n"},
		"two standby pools":          {func(c *work.Config) { c.Pools = append(c.Pools, work.Pool{Name: "spare2", Standby: true}) }, "warning pool spare2 standby\n"},
		"negative priority":          {func(c *work.Config) { c.Queues[0].Priority = -1 }, "error queue orders priority\n"},
		"no attempts":                {func(c *work.Config) { c.Queues[0].MaxAttempts = 0 }, "warning queue orders maxAttempts\n"},
		"negative attempts":          {func(c *work.Config) { c.Queues[0].MaxAttempts = -1 }, "error queue orders maxAttempts\n"},
		"slack factor below 1":       {func(c *work.Config) { c.Queues[0].SlackFactor = 0.9 }, "warning queue orders slackFactor\n"},
		"slack factor of 1":          {func(c *work.Config) { c.Queues[0].SlackFactor = 1 }, ""},
		"negative slack factor":      {func(c *work.Config) { c.Queues[0].SlackFactor = -2 }, "error queue orders slackFactor\n"},
		"negative objective":         {func(c *work.Config) { c.Queues[0].FixedSlackMs = -1 }, "error queue orders fixedSlackMs\n"},
		"objective that overflows":   {func(c *work.Config) { c.Queues[0].FixedSlackMs, c.Queues[0].TimeoutMs = maxObjectiveMs+1, 0 }, "error queue orders fixedSlackMs\n"},
		"timeout below objective":    {func(c *work.Config) { c.Queues[0].TimeoutMs = 599 }, "warning queue orders timeoutMs\n"},
		"no timeout":                 {func(c *work.Config) { c.Queues[0].TimeoutMs = 0 }, ""},
		"negative timeout":           {func(c *work.Config) { c.Queues[0].TimeoutMs = -1 }, "error queue orders timeoutMs\n"},
		"advisor at the objective":   {func(c *work.Config) { c.Queues[1].Advisor.BaseLatencyMs = 898 }, ""},
		"advisor beyond objective":   {func(c *work.Config) { c.Queues[1].Advisor.BaseLatencyMs = 899 }, "warning queue open advisor.baseLatencyMs\n"},
		"advisor, slack factor of 1": {func(c *work.Config) { c.Queues[1].Advisor.BaseLatencyMs, c.Queues[1].SlackFactor = 899, 1 }, "warning queue open advisor.baseLatencyMs\n"},
		"advisor, relative only":     {func(c *work.Config) { c.Queues[1].FixedSlackMs = 0 }, "note queue open advisor.baseLatencyMs\n"},
		"negative advisor": {
			func(c *work.Config) {
				*c.Queues[1].Advisor = work.AdvisorConfig{BaseLatencyMs: -1, PerTargetLatencyMs: -1, TicketValidityMs: -1}
			},
			"error queue open advisor.baseLatencyMs\nerror queue open advisor.perTargetLatencyMs\nerror queue open advisor.ticketValidityMs\n",
		},
		"weight of 0":            {func(c *work.Config) { c.Teams[1].Weight = 0 }, "note team blue weight\n"},
		"weight of 0 with a cap": {func(c *work.Config) { c.Teams[0].Weight = 0 }, "warning team red weight\n"},
		"negative weight":        {func(c *work.Config) { c.Teams[0].Weight = -1 }, "error team red weight\n"},
		"negative caps":          {func(c *work.Config) { c.Teams[1].Cap = work.Resources{CPU: -1, MemMB: -1, GPUs: -1} }, "error team blue cap.cpu\nerror team blue cap.memMB\nerror team blue cap.gpus\n"},
		"team without keys":      {func(c *work.Config) { c.Teams[1].Keys = nil }, "warning team blue keys\n"},
		"empty key":              {func(c *work.Config) { c.Teams[1].Keys = []string{""} }, "error team blue keys\n"},
		"key of two teams":       {func(c *work.Config) { c.Teams[1].Keys = []string{"red-secret-2"} }, "error team blue keys\n"},
		"key twice in a team":    {func(c *work.Config) { c.Teams[1].Keys = append(c.Teams[1].Keys, "blue-secret-1") }, "warning team blue keys\n"},
		"key that ends in space": {func(c *work.Config) { c.Teams[1].Keys = []string{"blue-secret-1 "} }, "warning team blue keys\n"},
		"team of public jobs":    {func(c *work.Config) { c.Teams[1] = work.Team{Weight: 1} }, "note team \"\" name\n"},
		"nameless team, no public queue": {
			func(c *work.Config) { c.Teams[1], c.Queues[1].Public = work.Team{Weight: 1}, false },
			"error team \"\" name\nwarning team \"\" keys\n",
		},
		"several": {
			func(c *work.Config) {
				c.Teams[0].Weight, c.Queues[1].Priority, c.Queues[0].MaxAttempts, c.Version = 0, -1, 0, 0
			},
			"error configuration version\nerror queue open priority\nwarning queue orders maxAttempts\nwarning team red weight\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := cleanConfig()
			c.change(config)
			findings := Config(config)
			is.Equal(lines(findings), c.want)
			for _, f := range findings {
				is.True(f.Allowed != "" || f.Severity == Note) // what is allowed is said
			}
		})
	}
}

// TestSettings guards against findings that depend on what the deployment has: an advisor, and a cloud that moves hosts.
func TestSettings(t *testing.T) {
	moving := work.Settings{AdvisorAddress: "127.0.0.1:1", Cloud: work.CloudLimits{Address: "127.0.0.1:2"}}
	for name, c := range map[string]struct {
		settings work.Settings
		pools    int
		want     string
	}{
		"all there":        {moving, 3, ""},
		"no standby pool":  {moving, 2, "warning configuration standby\n"},
		"no cloud":         {work.Settings{AdvisorAddress: "127.0.0.1:1"}, 2, ""},
		"no advisor there": {work.Settings{Cloud: moving.Cloud}, 3, "error queue open advisor\n"},
	} {
		t.Run(name, func(t *testing.T) {
			config := cleanConfig()
			config.Pools = config.Pools[:c.pools]
			is.New(t).Equal(lines(Config(config, WithSettings(c.settings))), c.want)
		})
	}
}

// TestUnread guards against parts that the decoder drops and the check does not report.
func TestUnread(t *testing.T) {
	findings := Config(cleanConfig(), WithUnread([]work.UnreadField{{Path: "a.b"}, {Path: "a.c", Want: "a number"}}))
	is.New(t).Equal(lines(findings), "warning configuration a.c\nnote configuration a.b\n")
}

// TestDifferences guards against a difference that is not reported or is reported with a wrong value, and against one that changes the exit code.
func TestDifferences(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *work.Config)
		want   string
	}{
		"nothing":         {func(*work.Config) {}, ""},
		"same version":    {func(c *work.Config) { c.Version = 7 }, "error configuration version: is 7 and not higher than 7, which is in force, so that processes ignore the configuration\n"},
		"order only":      {func(c *work.Config) { c.Pools[0], c.Pools[1] = c.Pools[1], c.Pools[0] }, ""},
		"order of keys":   {func(c *work.Config) { k := c.Teams[0].Keys; k[0], k[1] = k[1], k[0] }, ""},
		"body":            {func(c *work.Config) { c.MaxBodyBytes = 5 }, "note configuration maxBodyBytes: changes from 262144 to 5\n"},
		"pool of a queue": {func(c *work.Config) { c.Queues[0].Pool = "live" }, "note pool batch : is fed by no queue\nnote queue orders pool: changes from batch to live; it also applies to accepted jobs\n"},
		"advisor":         {func(c *work.Config) { c.Queues[1].Advisor = nil }, "note queue open advisor.baseLatencyMs: changes from 100 to none\nnote queue open advisor.perTargetLatencyMs: changes from 2 to none\nnote queue open advisor.ticketValidityMs: changes from 500 to none\n"},
		"numbers":         {func(c *work.Config) { c.Queues[0].SlackFactor, c.Queues[0].TimeoutMs = 2.5, 2000 }, "note queue orders slackFactor: changes from 3 to 2.5\nnote queue orders timeoutMs: changes from 3000 to 2000\n"},
		"cap removed":     {func(c *work.Config) { c.Teams[0].Cap.CPU = 0 }, "note team red cap.cpu: changes from 16000 to no limit\n"},
		"cap in cores":    {func(c *work.Config) { c.Teams[0].Cap.CPU = 16 }, "warning team red cap.cpu: is 16 after 16000, which looks like another unit\nnote team red cap.cpu: changes from 16000 to 16\n"},
		"cap much lower":  {func(c *work.Config) { c.Teams[0].Cap.CPU = 17 }, "note team red cap.cpu: changes from 16000 to 17\n"},
		"entries added":   {func(c *work.Config) { c.Pools = append(c.Pools, work.Pool{Name: "more"}) }, "note pool more : is fed by no queue\nnote pool more : is added\n"},
		"queue removed":   {func(c *work.Config) { c.Queues = c.Queues[:1] }, "note pool live : is fed by no queue\nnote queue open : is removed; accepted jobs keep its priority, attempts, objective and advisor\n"},
		"team removed":    {func(c *work.Config) { c.Teams = c.Teams[:1] }, "note team blue : is removed; accepted jobs continue without a cap and with a weight of 1\nnote team blue keys: loses key blue... of 13 characters, whose requests are refused from then on\n"},
		"keys":            {func(c *work.Config) { c.Teams[0].Keys = []string{"red-secret-1", "new-secret-33"} }, "note team red keys: gains key new-... of 13 characters\nnote team red keys: loses key red-... of 12 characters, whose requests are refused from then on\n"},
		"key to other team": {func(c *work.Config) {
			c.Teams[0].Keys, c.Teams[1].Keys = []string{"red-secret-1"}, []string{"blue-secret-1", "red-secret-2"}
		}, "note team red keys: loses key red-... of 12 characters to team blue\nnote team blue keys: gains key red-... of 12 characters\n"},
		"second of a name": {func(c *work.Config) {
			c.Queues = append(c.Queues, work.Queue{Name: "new", Host: "h", PathPrefix: "/", Pool: "live", MaxAttempts: 1, SlackFactor: 1})
			c.Queues[2].Name = "open"
		}, "error queue open name: is also the name of an earlier queue\n"},
	} {
		t.Run(name, func(t *testing.T) {
			config := cleanConfig()
			config.Version = 8
			c.change(config)
			var b strings.Builder
			for _, f := range Config(config, WithInForce(cleanConfig())) {
				fmt.Fprintf(&b, "%s %s %s: %s\n", f.Severity, f, f.Field, f.Problem)
			}
			is.New(t).Equal(b.String(), c.want)
		})
	}
}

// TestNoFindingShowsAKey guards against API keys in reports, which operators paste into tickets.
func TestNoFindingShowsAKey(t *testing.T) {
	for _, key := range []string{"k", "abcd", "abcdefg", "abcdefgh", "äöüßäöüß", "red-secret-1 ", "\x1b[31msecret", strings.Repeat("s", 300)} {
		t.Run(fmt.Sprintf("%d bytes", len(key)), func(t *testing.T) {
			is := is.New(t)
			config, old := cleanConfig(), cleanConfig()
			config.Teams[0].Keys, config.Teams[1].Keys = []string{key, key}, []string{key}
			old.Teams[1].Keys = []string{"zzzz-old-" + key}
			findings := Config(config, WithInForce(old))
			is.True(len(findings) > 3) // shared, repeated, gained and lost
			for _, f := range findings {
				for _, text := range []string{f.Problem, f.Allowed, f.Old, f.New} {
					is.True(!strings.Contains(text, "\x1b")) // no control characters
					is.True(len(key) < 4 || !strings.Contains(text, key))
				}
			}
		})
	}
	is := is.New(t)
	is.Equal(Mask("abcdefg"), "a key of 7 characters")
	is.Equal(Mask("abcdefgh"), "key abcd... of 8 characters")
	is.Equal(Mask("äöüßäöüß"), "key äöüß... of 8 characters")
}

// TestOrderIsStable guards against findings whose order differs from one run to the next, so that reports cannot be compared.
func TestOrderIsStable(t *testing.T) {
	config, old := cleanConfig(), cleanConfig()
	old.Queues, old.Teams = old.Queues[:1], nil
	for i := range 20 {
		config.Teams = append(config.Teams, work.Team{Name: fmt.Sprint(i), Weight: -1})
		old.Pools = append(old.Pools, work.Pool{Name: fmt.Sprint(i)})
	}
	first := fmt.Sprint(Config(config, WithInForce(old)))
	for range 20 {
		is.New(t).Equal(fmt.Sprint(Config(config, WithInForce(old))), first)
	}
}

// TestExtremeNumbers guards against a panic or an endless text for numbers that processes accept.
func TestExtremeNumbers(t *testing.T) {
	config := cleanConfig()
	for i := range config.Queues {
		q := &config.Queues[i]
		q.Priority, q.MaxAttempts, q.SlackFactor, q.FixedSlackMs, q.TimeoutMs = math.MinInt, math.MaxInt, math.MaxFloat64, math.MinInt64, math.MaxInt64
		q.Advisor = &work.AdvisorConfig{BaseLatencyMs: math.MaxFloat64, PerTargetLatencyMs: math.MaxFloat64, TicketValidityMs: math.MinInt64}
	}
	config.Version, config.Teams[0].Cap.CPU = math.MaxInt64, math.MinInt64
	old := cleanConfig()
	old.Version = math.MaxInt64
	findings := Config(config, WithInForce(old))
	is.New(t).True(Count(findings, Error) > 0)
	for _, f := range findings {
		is.New(t).True(len(f.Problem) < 300)
	}
}
