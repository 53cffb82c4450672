package cmds

import (
	"context"
	"flag"
	"time"

	"lavenderwing.example/lavenderwing/stand"
)

// standinStopWait bounds the stand-in's wait for running requests.
const standinStopWait = 2 * time.Second

func standinCmd() command {
	return command{
		short: "run the stand-in for the platform",
		long: `Usage: lavenderwing standin -config FILE [-check]

Runs the stand-in for the platform that tests and experiments use: a log
service, a host list and executors. POST a JSON object of faults to /v1/faults
to make things go wrong; /v1/totals shows what the executors saw.

Example: lavenderwing standin -config examples/sibiu/standin.ini`,
		flags: func(c *Config, fs *flag.FlagSet) { c.fileFlags(fs) },
		run:   (*Config).runStandin,
	}
}

func (c *Config) runStandin(_ []string) error {
	settings, err := stand.Load(c.file)
	if err != nil {
		return err
	}
	if c.checkedOnly() {
		return nil
	}
	ctx, stop := untilSignal()
	defer stop()
	s := stand.New(settings)
	if err := s.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	wait, cancel := context.WithTimeout(context.Background(), standinStopWait)
	defer cancel()
	s.Stop(wait)
	return nil
}
