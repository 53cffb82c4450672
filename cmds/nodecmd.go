package cmds

import (
	"flag"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/uber-go/tally/v4"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/agent"
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/logs"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// memoryLimitShare is the share of the host's memory that becomes the soft memory limit of the Go runtime.
const memoryLimitShare = 0.6

func nodeCmd() command {
	return command{
		short: "run the process on an entry host of the platform",
		long: `Usage: lavenderwing node [-settings FILE] [-check] [-disable LIST]

Runs the process on an entry host of the platform until SIGTERM or SIGINT, and
then stops gracefully. The platform sets the path of the settings file;
-settings overrides it. Log lines go to standard output as JSON.

Example: lavenderwing node -settings settings.toml -check`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			fs.StringVar(&c.settingsFile, "settings", platform.SettingsPath(), "settings file of the platform, in TOML")
			fs.IntVar(&c.metricsPort, "metrics", 0, "port of the metrics page, 0 for none")
			fs.BoolVar(&c.checkOnly, "check", false, "only check the settings")
			fs.StringVar(&c.disabled, "disable", "", "parts of the scheduling to turn off, separated by commas: learn, shed, preempt, peaks")
		},
		run: (*Config).runNode,
	}
}

func (c *Config) runNode(_ []string) error {
	settings, err := platform.LoadSettings(c.settingsFile)
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	features, err := work.ParseDisabled(c.disabled)
	if err != nil {
		return &UsageError{Message: "-disable: " + err.Error()}
	}
	if c.reportCheckOnly() {
		return nil
	}
	ctx, stop := contextUntilSignal()
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	reload := platform.SettingsLoader(c.settingsFile)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB)*memoryLimitShare) << 20)
	writer := logs.NewWriter(c.Stdout)
	defer writer.Close()
	graph := dig.New()
	providers := []any{
		func() work.Settings { return settings },
		func() *zap.Logger { return logs.NewLogger(writer) },
		newScope,
		func(s work.Settings, log *zap.Logger, scope tally.Scope, page entry.MetricsHandler) (*agent.Agent, error) {
			return agent.New(s, agent.WithLogger(log), agent.WithMetrics(scope, http.Handler(page), c.metricsPort), agent.WithReload(reload, hangup), agent.WithFeatures(features))
		},
	}
	for _, p := range providers {
		if err := graph.Provide(p); err != nil {
			return err
		}
	}
	return graph.Invoke(func(a *agent.Agent) error { return a.Run(ctx) })
}
