package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/platform/standin"
)

// soakCommand returns the command that runs the soak test, with one seed or several
// fresh ones.
func soakCommand() *cobra.Command {
	plan := standin.SoakPlan{}
	var seeds int
	var folder, defect string
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Inject bursts of faults, and check the guarantees of the service",
		Long: "Run trainers, clients and an operator against real processes while faults are injected in bursts: links that are slow, silent " +
			"or reset, processes that are killed, paused and stopped, a key-value service that is down or slow, or loses its " +
			"history or answers. One seed gives the same faults each time. The last line of each run is JSON.",
		Example:       "  egretplay soak --seed 7\n  egretplay soak --seeds 5 --folder run",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan.Defect = standin.Defect(defect)
			plan.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
			var errs error
			for i := range max(1, seeds) {
				if seeds > 0 {
					plan.Seed = rand.Uint64()
				}
				fmt.Fprintf(os.Stderr, "soak %d, seed %d\n", i+1, plan.Seed)
				report, err := standin.RunSoak(cmd.Context(), plan)
				if err == nil && report.Failed {
					err = fmt.Errorf("seed %d: %w", plan.Seed, errViolated)
				}
				errs = errors.Join(errs, err, printLine(report), writePlot(folder, report))
			}
			return errs
		},
	}
	addPlanFlags(cmd, &plan.Plan, 35*time.Second)
	flags := cmd.Flags()
	flags.Uint64Var(&plan.Seed, "seed", 1, "seed of the faults")
	flags.IntVar(&seeds, "seeds", 0, "number of fresh seeds to run instead")
	flags.BoolVar(&plan.UnboundedRevocation, "unbounded-revocation", false, "set no time within which a revoked key must stop working, as in deployments without keys")
	flags.StringVar(&folder, "folder", "", "folder for a plot of each run; none if empty")
	flags.StringVar(&defect, "defect", "", "defect to simulate, to verify that a check detects it")
	return cmd
}

// writePlot writes the plot of a run to folder as an SVG file, unless folder is
// empty.
func writePlot(folder string, report standin.SoakReport) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(folder, fmt.Sprintf("soak-%d.svg", report.Seed)))
	if err != nil {
		return err
	}
	return errors.Join(report.Plot(f), f.Close())
}
