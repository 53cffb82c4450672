package cmds

import (
	"flag"
	"io"
	"os"

	"lavenderwing.example/lavenderwing/load"
)

func loadCmd() command {
	return command{
		short: "send load to entry processes and check the outcomes",
		long: `Usage: lavenderwing load -config FILE [-check] [-json]

Sends an open-loop load in which one queue after the other bursts at several
times its mean rate, and compares the outcomes with the runs that the stand-in's
executors counted. Exits with 5 if a guarantee was violated.

Example: lavenderwing load -config examples/sibiu/load.ini`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			c.addSettingsFlags(fs)
			fs.BoolVar(&c.json, "json", false, "print JSON")
		},
		run: (*Config).runLoad,
	}
}

func (c *Config) runLoad(_ []string) error {
	settings, err := load.Load(c.settingsFile)
	if err != nil {
		return err
	}
	if c.reportCheckOnly() {
		return nil
	}
	report, err := load.New(settings, c.progressWriter()).Run()
	if err != nil {
		return err
	}
	if c.json {
		err = c.printJSON(report)
	} else {
		report.Print(c.Stdout)
	}
	if err != nil {
		return err
	}
	if violations := report.Violations(); len(violations) > 0 {
		return &ViolationError{Violations: violations}
	}
	return nil
}

// progressWriter returns standard error if it is a terminal, and nil otherwise.
func (c *Config) progressWriter() io.Writer {
	file, ok := c.Stderr.(*os.File)
	if !ok {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return c.Stderr
}
