// Command egretplay runs instances of the service as separate processes on a
// simulated platform, and prints a JSON report as the last line. It exits with an
// error if anything was lost, duplicated or mixed up.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/platform/standin"
)

func main() {
	cmd := rootCommand()
	cmd.AddCommand(soakCommand(), crashesCommand())
	if err := cmd.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "egretplay: %v\n", err)
		os.Exit(1)
	}
}

// errViolated is returned if a run violated a guarantee; the notes of the report
// say which.
var errViolated = errors.New("a guarantee was violated; see the notes")

// rootCommand returns the root command, which runs one scenario.
func rootCommand() *cobra.Command {
	plan := standin.Plan{}
	cmd := &cobra.Command{
		Use:           "egretplay",
		Short:         "Run trainers and clients against instances on a simulated platform",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			report, err := standin.RunScenario(context.Background(), plan)
			if perr := printLine(report); perr != nil {
				return perr
			}
			if err == nil && report.Failed {
				err = errViolated
			}
			return err
		},
	}
	addPlanFlags(cmd, &plan, 12*time.Second)
	cmd.Flags().BoolVar(&plan.KillOne, "kill", true, "kill an instance during the run and start it again")
	return cmd
}

// addPlanFlags adds the flags that all commands share; length is the default of
// --length.
func addPlanFlags(cmd *cobra.Command, plan *standin.Plan, length time.Duration) {
	flags := cmd.Flags()
	flags.StringVar(&plan.Binary, "binary", "bin/egretbend", "program of the instances")
	flags.IntVar(&plan.Instances, "instances", 5, "number of instances")
	flags.IntVar(&plan.Groups, "groups", 6, "groups of four items in a step")
	flags.IntVar(&plan.BreaksPerThousand, "breaks", 100, "number of item streams in a thousand that are cut off")
	flags.BoolVar(&plan.Keep, "keep", false, "keep settings and logs, and name their folder")
	flags.DurationVar(&plan.Duration, "length", length, "how long trainers and clients work")
}

// printLine prints report as one JSON line.
func printLine(report any) error {
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(line))
	return err
}
