package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/platform/standin"
)

// crashesCommand returns the command that sends poison requests, which crash upstreams,
// with one seed or several fresh ones.
func crashesCommand() *cobra.Command {
	plan := standin.CrashPlan{}
	var seeds int
	cmd := &cobra.Command{
		Use:   "crashes",
		Short: "Send requests that crash upstreams, and check that they are quarantined and others are not",
		Long: "Send requests that crash each upstream that runs them along with other requests, while instances are killed and cut off from " +
			"the key-value service. The last line of each run is JSON.",
		Example:       "  egretplay crashes --seed 7\n  egretplay crashes --seeds 5 --instances 20 --seats 11",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var errs error
			for i := range max(1, seeds) {
				if seeds > 0 {
					plan.Seed = rand.Uint64()
				}
				fmt.Fprintf(os.Stderr, "crashes %d, seed %d\n", i+1, plan.Seed)
				report, err := standin.RunCrashes(cmd.Context(), plan)
				if err == nil && report.Failed {
					err = fmt.Errorf("seed %d: %w", plan.Seed, errViolated)
				}
				errs = errors.Join(errs, err, printLine(report))
			}
			return errs
		},
	}
	addPlanFlags(cmd, &plan.Plan, 12*time.Second)
	flags := cmd.Flags()
	flags.IntVar(&plan.CrashableUpstreams, "seats", 8, "number of upstreams that can be crashed")
	flags.IntVar(&plan.PoisonRequests, "deadly", 3, "number of different requests that crash them")
	flags.DurationVar(&plan.ResendInterval, "every", time.Second, "interval at which each of them is sent again")
	flags.DurationVar(&plan.PropagationTime, "contact", 3*time.Second, "time within which instances learn of a third crash, also after a fault")
	flags.BoolVar(&plan.Faults, "faults", true, "kill instances and cut them off from the key-value service")
	flags.Uint64Var(&plan.Seed, "seed", 1, "seed of the faults")
	flags.IntVar(&seeds, "seeds", 0, "number of fresh seeds to run instead")
	return cmd
}
