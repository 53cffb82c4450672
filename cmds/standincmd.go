package cmds

import (
	"context"
	"flag"
	"time"

	"lavenderwing.example/lavenderwing/fake"
)

// standinStopTimeout bounds how long the stand-in waits for running requests when it stops.
const standinStopTimeout = 2 * time.Second

func standinCmd() command {
	return command{
		short: "run the stand-in for the platform",
		long: `Usage: lavenderwing standin -config FILE [-check]

Runs the stand-in for the platform that tests and experiments use: a log
service, a host list and executors. POST a JSON object to /v1/faults to inject
faults; /v1/totals shows the executors' counts.

Example: lavenderwing standin -config examples/sibiu/standin.ini`,
		addFlags: func(c *Config, fs *flag.FlagSet) { c.addSettingsFlags(fs) },
		run:      (*Config).runStandin,
	}
}

func (c *Config) runStandin(_ []string) error {
	settings, err := fake.Load(c.settingsFile)
	if err != nil {
		return err
	}
	if c.reportCheckOnly() {
		return nil
	}
	ctx, stop := contextUntilSignal()
	defer stop()
	s := fake.New(settings)
	if err := s.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	wait, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
	defer cancel()
	s.Stop(wait)
	return nil
}
