package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/change"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

const (
	statusConflict      = fasthttp.StatusConflict
	statusUnprocessable = fasthttp.StatusUnprocessableEntity
)

// tokenEnvVar is the environment variable that holds the operator's token.
const tokenEnvVar = "LAVENDERWING_TOKEN"

// Config holds the options and the standard streams of all commands.
type Config struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer

	flagSet      *flag.FlagSet
	settingsFile string
	checkOnly    bool
	entryAddress string
	operator     string
	json         bool
	dryRun       bool
	subject      string
	report       string
	// metricsPort is the port of the metrics page of the node command; 0 disables the page.
	metricsPort int
	// disabled lists the parts of the scheduling that the node command turns off, separated by commas.
	disabled string
	// inForceFile is the file of the configuration in force that the config command compares with; empty for none.
	inForceFile string

	team    fleet.Team
	key     fleet.Key
	queue   fleet.Queue
	service fleet.Service
	pool    fleet.Pool
	host    fleet.Host
}

func newConfig(stdin io.Reader, stdout, stderr io.Writer) *Config {
	return &Config{Stdin: stdin, Stdout: stdout, Stderr: stderr}
}

// addSettingsFlags adds the flags of commands that read a settings file.
func (c *Config) addSettingsFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.settingsFile, "config", "", "settings file in INI")
	fs.BoolVar(&c.checkOnly, "check", false, "only check the settings")
}

// reportCheckOnly returns true if -check was given, after printing that the settings are valid.
func (c *Config) reportCheckOnly() bool {
	if c.checkOnly {
		fmt.Fprintln(c.Stdout, "settings are acceptable")
	}
	return c.checkOnly
}

// contextUntilSignal returns a context that is cancelled by SIGTERM or SIGINT.
func contextUntilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// addOperatorFlags adds the flags of commands that call an entry process as an operator.
func (c *Config) addOperatorFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.entryAddress, "entry", "127.0.0.1:8001", "address of any entry process")
	fs.StringVar(&c.operator, "operator", "operator", "name of the operator; the token comes from "+tokenEnvVar)
	fs.BoolVar(&c.json, "json", false, "print JSON")
}

// addChangeFlags adds the flags of commands that change the configuration.
func (c *Config) addChangeFlags(fs *flag.FlagSet) {
	c.addOperatorFlags(fs)
	fs.BoolVar(&c.dryRun, "dry-run", false, "only ask whether the change would be accepted")
}

// httpClient returns a client of the entry process that -entry names.
func (c *Config) httpClient() *change.HTTPClient {
	return change.NewHTTPClient(c.entryAddress, c.operator, os.Getenv(tokenEnvVar))
}

// client returns the client with which commands read and change the configuration; with -dry-run it changes nothing.
func (c *Config) client() change.Client {
	if c.dryRun {
		return change.NewDryRunClient(c.httpClient())
	}
	return c.httpClient()
}

// putRow writes a row, provided that its current version is the expected one; 0 stands for a row that does not exist.
func (c *Config) putRow(row fleet.Row, expect int64) error {
	return c.apply([]record.Put{record.NewPut(row, expect)})
}

func (c *Config) apply(puts []record.Put) error {
	reply, err := c.client().Apply(record.Change{Puts: puts})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(reply)
	}
	if reply.DryRun {
		fmt.Fprintln(c.Stdout, "would be accepted")
		return nil
	}
	fmt.Fprintf(c.Stdout, "in force from version %d\n", reply.Version)
	return nil
}

func (c *Config) printJSON(value any) error {
	encoder := json.NewEncoder(c.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints the rows in aligned columns under an upper-case heading.
func (c *Config) printTable(heading []string, rows [][]string) error {
	w := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(heading, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// parseVerb returns the only argument, which must be one of the allowed verbs.
func parseVerb(args []string, allowed ...string) (string, error) {
	if len(args) == 1 {
		for _, a := range allowed {
			if a == args[0] {
				return a, nil
			}
		}
	}
	return "", &UsageError{Message: fmt.Sprintf("want one of the verbs %s", strings.Join(allowed, ", "))}
}

// findRow returns the row with the given name.
func findRow[R fleet.Row](rows []R, name string) (R, error) {
	for _, r := range rows {
		if r.ID() == name {
			return r, nil
		}
	}
	var none R
	return none, &UsageError{Message: fmt.Sprintf("%q does not exist in the configuration", name)}
}
