package cmds

import (
	"flag"
	"runtime/debug"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/dig"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/plat"
)

// gcPercent trades processor time for memory, which entry hosts have little of.
const gcPercent = 50

func entryCmd() command {
	return command{
		short: "run the process on an entry host",
		long: `Usage: lavenderwing entry -config FILE [-check]

Runs the process on an entry host until SIGTERM or SIGINT, and then stops
gracefully: it takes nothing new, finishes what it has and gives back what it
holds. Log lines go to standard error as JSON.

Example: lavenderwing entry -config examples/sibiu/entry1.ini`,
		flags: func(c *Config, fs *flag.FlagSet) { c.fileFlags(fs) },
		run:   (*Config).runEntry,
	}
}

func (c *Config) runEntry(_ []string) error {
	settings, err := entry.Load(c.file)
	if err != nil {
		return err
	}
	if c.checkedOnly() {
		return nil
	}
	ctx, stop := untilSignal()
	defer stop()
	debug.SetGCPercent(gcPercent)
	graph, err := c.entryGraph(settings)
	if err != nil {
		return err
	}
	return graph.Invoke(func(n *entry.Node) error { return n.Run(ctx) })
}

// entryGraph builds the process from its parts.
func (c *Config) entryGraph(settings entry.Settings) (*dig.Container, error) {
	graph := dig.New()
	providers := []any{
		func() entry.Settings { return settings },
		c.newLogger,
		newScope,
		func(s entry.Settings) *plat.Client { return plat.NewClient(s.PlatformAddress, plat.WithSourceIP(s.Source)) },
		func(c *plat.Client) plat.Log { return c },
		func(c *plat.Client) plat.HostList { return c },
		func(s entry.Settings, log plat.Log, hosts plat.HostList, logger *zap.Logger, scope tally.Scope, page entry.MetricsHandler) *entry.Node {
			return entry.New(s, log, hosts, entry.WithLogger(logger), entry.WithMetrics(scope, page))
		},
	}
	for _, p := range providers {
		if err := graph.Provide(p); err != nil {
			return nil, err
		}
	}
	return graph, nil
}

// newLogger returns a logger of JSON lines on standard error.
func (c *Config) newLogger() *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(c.Stderr), zap.InfoLevel)
	return zap.New(core)
}

// metricsPeriod is how often metrics are carried to their page.
const metricsPeriod = time.Second
