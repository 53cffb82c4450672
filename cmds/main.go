package cmds

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"sort"

	"lavenderwing.example/lavenderwing/change"
	"lavenderwing.example/lavenderwing/conf"
)

// Exit codes, which all commands share.
const (
	ExitOK = 0
	// ExitFailed means that the command failed for any reason without an exit code of its own.
	ExitFailed = 1
	// ExitUsage means that the command line or a settings file is invalid.
	ExitUsage = 2
	// ExitConflict means that another change to the same row came first.
	ExitConflict = 3
	// ExitRefused means that the change was rejected as invalid.
	ExitRefused = 4
	// ExitViolation means that a load run observed a violated guarantee.
	ExitViolation = 5
)

// UsageError reports an invalid command line or settings file.
type UsageError struct {
	Message string
}

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

// ViolationError reports the guarantees that were violated during a load run.
type ViolationError struct {
	Violations []string
}

// Error lists the violated guarantees.
func (e *ViolationError) Error() string { return fmt.Sprintf("violated guarantees: %v", e.Violations) }

// command describes a subcommand: its help texts, its flags and the function that runs it.
type command struct {
	short    string
	long     string
	addFlags func(c *Config, fs *flag.FlagSet)
	run      func(c *Config, args []string) error
}

func commands() map[string]command {
	return map[string]command{
		"apply":    applyCmd(),
		"config":   configCmd(),
		"demo":     demoCmd(),
		"entry":    entryCmd(),
		"host":     hostCmd(),
		"key":      keyCmd(),
		"limit":    limitCmd(),
		"load":     loadCmd(),
		"node":     nodeCmd(),
		"pool":     poolCmd(),
		"queue":    queueCmd(),
		"service":  serviceCmd(),
		"share":    shareCmd(),
		"standin":  standinCmd(),
		"status":   statusCmd(),
		"team":     teamCmd(),
		"timeline": timelineCmd(),
		"why":      whyCmd(),
	}
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	c := newConfig(stdin, stdout, stderr)
	err := c.execute(args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	fmt.Fprintf(stderr, "lavenderwing: %v\n", err)
	return exitCode(err)
}

func (c *Config) execute(args []string) error {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		c.usage()
		return nil
	}
	cmd, ok := commands()[args[0]]
	if !ok {
		return &UsageError{Message: fmt.Sprintf("no command %q; see lavenderwing help", args[0])}
	}
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	fs.SetOutput(c.Stderr)
	fs.Usage = func() {
		fmt.Fprintf(c.Stderr, "%s\n\nFlags:\n", cmd.long)
		fs.PrintDefaults()
	}
	c.flagSet = fs
	cmd.addFlags(c, fs)
	// Verbs come before the flags, as in "team list -json", but flag.Parse stops at the first argument that is not a flag.
	var verbs []string
	rest := args[1:]
	for len(rest) > 0 && rest[0] != "" && rest[0][0] != '-' {
		verbs = append(verbs, rest[0])
		rest = rest[1:]
	}
	if err := fs.Parse(rest); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &UsageError{Message: err.Error()}
	}
	return cmd.run(c, append(verbs, fs.Args()...))
}

func (c *Config) usage() {
	all := commands()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintln(c.Stdout, "Usage: lavenderwing COMMAND [VERB] [FLAGS]\n\nCommands:")
	for _, name := range names {
		fmt.Fprintf(c.Stdout, "  %-10s %s\n", name, all[name].short)
	}
	fmt.Fprintln(c.Stdout, "\nlavenderwing COMMAND -h shows a command's verbs, flags and an example.")
	fmt.Fprintln(c.Stdout, "Exit codes: 0 done, 1 failed, 2 usage or settings, 3 conflict with an earlier change, 4 change rejected, 5 a guarantee was violated.")
}

func exitCode(err error) int {
	var usage *UsageError
	var settings *conf.Error
	var call *change.CallError
	var violation *ViolationError
	switch {
	case errors.As(err, &usage), errors.As(err, &settings):
		return ExitUsage
	case errors.As(err, &violation):
		return ExitViolation
	case errors.As(err, &call) && call.Status == statusConflict:
		return ExitConflict
	case errors.As(err, &call) && call.Status == statusUnprocessable:
		return ExitRefused
	default:
		return ExitFailed
	}
}
