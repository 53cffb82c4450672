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

// tokenVariable names the environment variable that holds the operator's token.
const tokenVariable = "LAVENDERWING_TOKEN"

// Config carries every command's options and streams.
type Config struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer

	flags    *flag.FlagSet
	file     string
	check    bool
	entry    string
	operator string
	json     bool
	dryRun   bool
	about    string
	report   string
	// metricsPort is where a process on the platform shows its metrics.
	metricsPort int

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

// fileFlags adds the flags of commands that run from a settings file.
func (c *Config) fileFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.file, "config", "", "settings file in INI")
	fs.BoolVar(&c.check, "check", false, "only check the settings")
}

// checkedOnly reports whether the settings, which are acceptable, were only to be checked.
func (c *Config) checkedOnly() bool {
	if c.check {
		fmt.Fprintln(c.Stdout, "settings are acceptable")
	}
	return c.check
}

// untilSignal returns a context that ends when the process is asked to stop.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// operatorFlags adds the flags of commands that speak to an entry process.
func (c *Config) operatorFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.entry, "entry", "127.0.0.1:8001", "address of any entry process")
	fs.StringVar(&c.operator, "operator", "operator", "name of the operator; the token comes from "+tokenVariable)
	fs.BoolVar(&c.json, "json", false, "print JSON")
}

// changeFlags adds the flags of commands that change the configuration.
func (c *Config) changeFlags(fs *flag.FlagSet) {
	c.operatorFlags(fs)
	fs.BoolVar(&c.dryRun, "dry-run", false, "only ask whether the change would be accepted")
}

// realSystem returns the entry process that the flags name.
func (c *Config) realSystem() *change.HTTPClient {
	return change.NewHTTPClient(c.entry, c.operator, os.Getenv(tokenVariable))
}

func (c *Config) system() change.Client {
	if c.dryRun {
		return change.NewDryRunClient(c.realSystem())
	}
	return c.realSystem()
}

// put applies one row over the version that was read before.
func (c *Config) put(row fleet.Row, expect int64) error {
	return c.applyPuts([]record.Put{record.NewPut(row, expect)})
}

func (c *Config) applyPuts(puts []record.Put) error {
	reply, err := c.system().Apply(record.Change{Puts: puts})
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

// printTable prints a heading and rows in aligned columns.
func (c *Config) printTable(heading []string, rows [][]string) error {
	w := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(heading, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// verb returns the only argument, which must be one of the allowed ones.
func verb(args []string, allowed ...string) (string, error) {
	if len(args) == 1 {
		for _, a := range allowed {
			if a == args[0] {
				return a, nil
			}
		}
	}
	return "", &UsageError{Message: fmt.Sprintf("want one of the verbs %s", strings.Join(allowed, ", "))}
}

// find returns the row of that name.
func find[R fleet.Row](rows []R, name string) (R, error) {
	for _, r := range rows {
		if r.ID() == name {
			return r, nil
		}
	}
	var none R
	return none, &UsageError{Message: fmt.Sprintf("there is nothing named %q", name)}
}
