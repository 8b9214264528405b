package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/internal/entry/client"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/setting"
)

// The exit codes of the command line.
const (
	// ExitDone means success.
	ExitDone = 0
	// ExitFailed means a failure that has no code of its own.
	ExitFailed = 1
	// ExitInput means wrong input.
	ExitInput = 2
	// ExitRefused means that the instance refused the request.
	ExitRefused = 3
	// ExitUnknown means that the outcome of a change is unknown.
	ExitUnknown = 4
)

// errInput is wrapped by errors in the input of a command.
var errInput = errors.New("wrong input")

// app holds the output streams and the global flags that all commands share.
type app struct {
	out     io.Writer
	errOut  io.Writer
	address string
	key     string
	scheme  string
	json    bool
}

// Main runs the command line and returns its exit code. adapterCommands are added to the
// commands of this package.
func Main(args []string, out, errOut io.Writer, adapterCommands ...*cobra.Command) int {
	a := &app{
		out:    out,
		errOut: errOut,
	}
	root := a.root()
	root.AddCommand(adapterCommands...)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(errOut, "egretbend: %v\n", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var fieldErrs setting.FieldErrors
	if errors.As(err, &fieldErrs) || errors.Is(err, errInput) {
		return ExitInput
	}
	var e *problem.Error
	if !errors.As(err, &e) {
		return ExitFailed
	}
	switch {
	case e.Kind.Status == http.StatusBadRequest:
		return ExitInput
	case e.Kind.Outcome == problem.Unknown:
		return ExitUnknown
	}
	return ExitRefused
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "egretbend",
		Short:         "Rollout service for reinforcement learning",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.address, "address", "127.0.0.1:7100", "address of any instance")
	flags.StringVar(&a.key, "key", "", "bearer token sent to the instance")
	flags.StringVar(&a.scheme, "scheme", "http", "http or https")
	flags.BoolVar(&a.json, "json", false, "print JSON")
	root.AddCommand(
		a.serveCommand(),
		a.checkCommand(),
		a.digestCommand(),
		a.schemaCommand(),
		a.generateCommand(),
		a.explainCommand(),
		a.addressesCommand(),
		a.configCommand(),
		a.statusCommand(),
		a.drainCommand(),
		a.whyCommand(),
		a.stepsCommand(),
	)
	return root
}

func (a *app) client() client.Client {
	return client.Client{
		Address: a.address,
		Scheme:  a.scheme,
		Key:     a.key,
	}
}

// printJSON prints v as indented JSON.
func (a *app) printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.out, string(b))
	return err
}
