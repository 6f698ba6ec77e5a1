// Package cmd implements ospreymoor's command line, one file for each command.
//
// It defines flags, environment variables, exit codes and what commands print. Each command checks its
// settings and then calls one package: internal/box for `serve` (the native mode), platform for `node`
// (the users' platform), internal/dev for `dev`. `report burn` and the `bundle` commands except `check` call
// the operators' service of a box.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
)

// envPrefix is the prefix of each setting's environment variable.
const envPrefix = "OSPREYMOOR_"

// errSettings is the kind of the errors of settings that are missing, unknown, invalid or contradict
// another one. Their messages name the flag, the variable and the remedy.
const errSettings = errors.ConstError("bad settings")

// Exit codes. exitSettings is for mistakes that the caller of the command must correct.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// commandLine defines all commands and flags.
type commandLine struct {
	Serve   serveCommand   `cmd:"" help:"Run an entry box."`
	Node    nodeCommand    `cmd:"" help:"Run one box on the users' platform."`
	Dev     devCommand     `cmd:"" help:"Run everything in one process, on embedded stand-ins."`
	Bundle  bundleCommand  `cmd:"" help:"Check, sign off, roll, retire or list bundles."`
	Report  reportCommand  `cmd:"" help:"Report how the service does."`
	Version versionCommand `cmd:"" help:"Print the version."`
	Standin standinCommand `cmd:"" hidden:"" help:"Run a stand-in of the platform, an engine or a service."`
}

// output is where a command prints its results, and the errors that do not end it.
type output struct {
	io.Writer
	errors io.Writer
}

// reloadSignals receives SIGHUP, which would end the process if no channel were registered for it.
var reloadSignals = make(chan os.Signal, 1)

// Main runs one command and returns the process's exit code.
func Main(args []string, out, errOut io.Writer) int {
	// Registered before anything else, since a settings file may change while the process starts.
	signal.Notify(reloadSignals, syscall.SIGHUP)
	var line commandLine
	exitCode := -1
	parser, err := kong.New(&line,
		kong.Name("ospreymoor"),
		kong.Description("Serves many models on few accelerators, for customers who do not trust each other."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exitCode = code }),
	)
	if err != nil {
		panic(err) // The definition of commandLine is invalid.
	}
	command, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode // After --help.
	}
	if err != nil {
		return printError(errOut, settingsError("%s: see ospreymoor --help", err))
	}
	if err := checkVariables(parser.Model); err != nil {
		return printError(errOut, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(output{out, errOut}); err != nil {
		return printError(errOut, err)
	}
	return exitOK
}

// printError prints an error and returns its exit code.
func printError(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintf(errOut, "ospreymoor: %s\n", err)
	if errors.Is(err, errSettings) {
		return exitSettings
	}
	return exitFailed
}

// checkVariables returns an error for the first environment variable with envPrefix that names no
// setting, which is probably misspelt.
func checkVariables(app *kong.Application) error {
	known := map[string]bool{}
	// The visit can't fail, since its function returns no error of its own.
	_ = kong.Visit(app, func(node kong.Visitable, next kong.Next) error {
		if flag, ok := node.(*kong.Flag); ok {
			for _, name := range flag.Envs {
				known[name] = true
			}
		}
		return next(nil)
	})
	for _, pair := range os.Environ() {
		name, _, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, envPrefix) && !known[name] {
			return settingsError("%s is no setting: unset it, or see --help for the names", name)
		}
	}
	return nil
}

// settingsError returns an error of kind errSettings with its own message.
func settingsError(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errSettings)
}

// missingSetting returns the error of a setting that has no value.
func missingSetting(flag, remedy string) error {
	return settingsError("--%s (%s) is missing: %s", flag, variable(flag), remedy)
}

// invalidSetting returns the error of a setting whose value is invalid.
func invalidSetting(flag string, value any, remedy string) error {
	return settingsError("--%s (%s) is %v: %s", flag, variable(flag), value, remedy)
}

// variable returns the name of a flag's environment variable.
func variable(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
