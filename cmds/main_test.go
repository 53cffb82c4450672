package cmds

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lavenderwing": func() { os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// scriptPorts is the number of free ports that each script gets as $P0, $P1 and so on, on the IP address $IP.
const scriptPorts = 24

// TestScripts runs the scripts in testdata/scripts, which use the program as operators and callers do. Each process of a
// script is a separate one, so that faults in flags, settings, exit codes and the network paths are found too.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "scripts"),
		Setup: func(env *testscript.Env) error {
			env.Setenv(tokenEnvVar, "example-token")
			return setPortVariables(env)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"expand": expandFiles,
			"await":  awaitStatus,
			"status": execForStatus,
		},
	})
}

func setPortVariables(env *testscript.Env) error {
	for i, address := range fake.LoopbackAddresses(scriptPorts) {
		ip, port, err := net.SplitHostPort(address)
		if err != nil {
			return err
		}
		env.Setenv("IP", ip)
		env.Setenv(fmt.Sprintf("P%d", i), port)
	}
	return nil
}

// expandFiles replaces references to environment variables in files of the script by their values.
func expandFiles(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// execForStatus runs a command, and fails unless it ends with the exit code that precedes it.
func execForStatus(ts *testscript.TestScript, _ bool, args []string) {
	var exit *exec.ExitError
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

// maxStatusPolls is how often a script polls for a status, every 50 ms. These 30 s are enough for a slow machine, so that
// only a fault makes the test fail.
const maxStatusPolls = 600

// awaitStatus polls a URL until GET returns the given status.
func awaitStatus(ts *testscript.TestScript, _ bool, args []string) {
	for range maxStatusPolls {
		status, _, err := fasthttp.Get(nil, args[1])
		if err == nil && fmt.Sprint(status) == args[0] {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("GET %s did not return status %s in time", args[1], args[0])
}
