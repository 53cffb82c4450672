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
	"lavenderwing.example/lavenderwing/logapi"
)

// gcPercent makes the garbage collector run more often, because memory is scarcer than processor time on entry hosts.
const gcPercent = 50

func entryCmd() command {
	return command{
		short: "run the process on an entry host",
		long: `Usage: lavenderwing entry -config FILE [-check]

Runs the process on an entry host until SIGTERM or SIGINT, and then stops
gracefully: it accepts no new requests, finishes those that it has and releases
the slots that it holds. Log lines go to standard error as JSON.

Example: lavenderwing entry -config examples/sibiu/entry1.ini`,
		addFlags: func(c *Config, fs *flag.FlagSet) { c.addSettingsFlags(fs) },
		run:      (*Config).runEntry,
	}
}

func (c *Config) runEntry(_ []string) error {
	settings, err := entry.Load(c.settingsFile)
	if err != nil {
		return err
	}
	if c.reportCheckOnly() {
		return nil
	}
	ctx, stop := contextUntilSignal()
	defer stop()
	debug.SetGCPercent(gcPercent)
	graph, err := c.entryGraph(settings)
	if err != nil {
		return err
	}
	return graph.Invoke(func(n *entry.Node) error { return n.Run(ctx) })
}

// entryGraph returns the dependency graph that builds an entry process.
func (c *Config) entryGraph(settings entry.Settings) (*dig.Container, error) {
	graph := dig.New()
	providers := []any{
		func() entry.Settings { return settings },
		c.newLogger,
		newScope,
		func(s entry.Settings) *logapi.Client {
			return logapi.NewClient(s.PlatformAddress, logapi.WithSourceIP(s.Source))
		},
		func(c *logapi.Client) logapi.Log { return c },
		func(c *logapi.Client) logapi.HostList { return c },
		func(s entry.Settings, log logapi.Log, hosts logapi.HostList, logger *zap.Logger, scope tally.Scope, page entry.MetricsHandler) *entry.Node {
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

// newLogger returns a logger that writes JSON lines to standard error.
func (c *Config) newLogger() *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(c.Stderr), zap.InfoLevel)
	return zap.New(core)
}

// metricsInterval is how often the metrics page is updated.
const metricsInterval = time.Second
