package cmds

import (
	"flag"
	"fmt"
	"os"

	"lavenderwing.example/lavenderwing/check"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

func configCmd() command {
	return command{
		short: "check a configuration of the platform before it is written",
		long: `Usage: lavenderwing config check [-against FILE] [-settings FILE] [-json] FILE

Reads a configuration in JSON, as operators write it to the store, and prints
errors, entries that can never match, limits that contradict each other, and with
-against what differs from the version in force. API keys are shown by their first
four characters. Makes no calls. Ends with code 0 if there are at most notes, 1 if
there are errors or warnings, and 2 if a file cannot be read.

Example: lavenderwing config check -against inforce.json -settings settings.toml next.json`,
		addFlags: func(c *Config, fs *flag.FlagSet) {
			fs.StringVar(&c.inForceFile, "against", "", "configuration in force, in JSON")
			fs.StringVar(&c.settingsFile, "settings", "", "settings file of the platform, in TOML")
			fs.BoolVar(&c.json, "json", false, "print JSON")
		},
		run: (*Config).runConfig,
	}
}

// FindingsError means that the check of a configuration found errors or warnings.
type FindingsError struct {
	File     string
	Errors   int
	Warnings int
}

// Error returns the numbers of findings.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("%s: errors %d, warnings %d", e.File, e.Errors, e.Warnings)
}

// findingReply is a finding in the output of config check.
type findingReply struct {
	Severity string `json:"severity"`
	Kind     string `json:"kind"`
	Name     string `json:"name,omitempty"`
	Field    string `json:"field,omitempty"`
	Path     string `json:"path,omitempty"`
	Problem  string `json:"problem"`
	Allowed  string `json:"allowed,omitempty"`
	Old      string `json:"old,omitempty"`
	New      string `json:"new,omitempty"`
}

// checkReply is the output of config check.
type checkReply struct {
	Version  int64          `json:"version"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Notes    int            `json:"notes"`
	Findings []findingReply `json:"findings"`
}

func (c *Config) runConfig(args []string) error {
	if len(args) != 2 || args[0] != "check" {
		return &UsageError{Message: "want config check, with one file after the flags"}
	}
	file := args[1]
	config, raw, err := readConfig(file)
	if err != nil {
		return err
	}
	options := []check.Option{check.WithUnread(platform.UnreadConfigFields(raw))}
	if c.inForceFile != "" {
		inForce, _, err := readConfig(c.inForceFile)
		if err != nil {
			return err
		}
		options = append(options, check.WithInForce(inForce))
	}
	if c.settingsFile != "" {
		settings, err := platform.LoadSettings(c.settingsFile)
		if err != nil {
			return &UsageError{Message: err.Error()}
		}
		options = append(options, check.WithSettings(settings))
	}
	findings := check.Config(config, options...)
	if err := c.printFindings(config.Version, findings); err != nil {
		return err
	}
	failed := &FindingsError{File: file, Errors: check.Count(findings, check.Error), Warnings: check.Count(findings, check.Warning)}
	if failed.Errors+failed.Warnings > 0 {
		return failed
	}
	return nil
}

// readConfig reads and decodes a file that holds a configuration. Its errors do not repeat values, which may be secrets.
func readConfig(file string) (*work.Config, []byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &UsageError{Message: err.Error()}
	}
	config, err := platform.DecodeConfig(raw)
	if err != nil {
		return nil, nil, &UsageError{Message: file + ": " + err.Error()}
	}
	return config, raw, nil
}

func (c *Config) printFindings(version int64, findings []check.Finding) error {
	if c.json {
		reply := checkReply{
			Version: version, Errors: check.Count(findings, check.Error), Warnings: check.Count(findings, check.Warning), Notes: check.Count(findings, check.Note),
			Findings: make([]findingReply, len(findings)),
		}
		for i, f := range findings {
			reply.Findings[i] = findingReply{
				Severity: f.Severity.String(), Kind: string(f.Kind), Name: f.Name, Field: string(f.Field), Path: pathOf(f),
				Problem: f.Problem, Allowed: f.Allowed, Old: f.Old, New: f.New,
			}
		}
		return c.printJSON(reply)
	}
	if len(findings) == 0 {
		fmt.Fprintln(c.Stdout, "no findings")
		return nil
	}
	rows := make([][]string, len(findings))
	for i, f := range findings {
		rows[i] = []string{f.Severity.String(), f.String(), pathOf(f), f.Problem, f.Allowed}
	}
	return c.printTable([]string{"severity", "where", "field", "finding", "allowed"}, rows)
}

// pathOf returns the name of the finding's field in the file.
func pathOf(f check.Finding) string { return platform.ConfigPath(string(f.Kind), string(f.Field)) }
