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

Sends an open-loop load in which each queue in turn asks for several times its
mean, and compares every outcome with what the stand-in's executors saw. Exits
with 5 when a promise was broken.

Example: lavenderwing load -config examples/sibiu/load.ini`,
		flags: func(c *Config, fs *flag.FlagSet) {
			c.fileFlags(fs)
			fs.BoolVar(&c.json, "json", false, "print JSON")
		},
		run: (*Config).runLoad,
	}
}

func (c *Config) runLoad(_ []string) error {
	settings, err := load.Load(c.file)
	if err != nil {
		return err
	}
	if c.checkedOnly() {
		return nil
	}
	report, err := load.New(settings, c.terminal()).Do()
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
	if broken := report.Violations(); len(broken) > 0 {
		return &ViolationError{Violations: broken}
	}
	return nil
}

// terminal returns where progress is shown, or nil when standard error is no terminal.
func (c *Config) terminal() io.Writer {
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
