// Command maddergap is a storage gateway: instances ("heads") that schedule WebDAV requests
// over storage nodes.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// cli declares the subcommands. badday is the former name of scenario and still accepted.
type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run a gateway instance (a head)."`
	Check    checkCmd    `cmd:"" help:"Check a configuration and its node list, and report every mistake."`
	Demo     demoCmd     `cmd:"" help:"Run an instance with embedded fake nodes and two volumes."`
	Node     nodeCmd     `cmd:"" help:"Run a fake storage node (for tests and rehearsals, never for data)."`
	Scenario scenarioCmd `cmd:"" name:"scenario" aliases:"badday" help:"Run a scripted fault scenario and check the seven rules on records of the sockets."`
	Soak     soakCmd     `cmd:"" help:"Run a fleet of instances under random overlapping faults, and check the rules on records of the sockets."`
	Flood    floodCmd    `cmd:"" help:"Flood an instance with connections from many loopback addresses and report what each kind of client got."`
	Bench    benchCmd    `cmd:"" help:"Benchmark an instance against net/http/httputil.ReverseProxy."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// usageError wraps the error for a mistake in the command line. It makes the exit code exitUsage.
type usageError struct{ error }

// streams holds the standard output and standard error of a command.
type streams struct{ out, err io.Writer }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var commands cli
	helpExit := -1 // exit code after --help, which is handled while parsing; -1 if it is not given
	parser, err := kong.New(&commands,
		kong.Name("maddergap"),
		kong.Description("A storage gateway that keeps seven rules."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { helpExit = code }),
		kong.UsageOnError(),
		kong.Bind(&streams{stdout, stderr}))
	if err != nil {
		fmt.Fprintln(stderr, "maddergap:", err)
		return exitError
	}
	ctx, err := parser.Parse(args)
	if helpExit >= 0 {
		return helpExit
	}
	if err != nil {
		fmt.Fprintln(stderr, "maddergap:", err, "(maddergap --help lists the commands)")
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(stderr, "maddergap:", err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	if errors.As(err, new(usageError)) {
		return exitUsage
	}
	return exitError
}
