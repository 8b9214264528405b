// Command egretplay runs the product on stand-ins of the users' platform as
// separate processes, and prints one JSON line last. It exits with an error if
// anything was lost, doubled or mixed up.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/platform/standin"
)

func main() {
	plan := standin.Plan{}
	cmd := &cobra.Command{
		Use:           "egretplay",
		Short:         "Play trainers and clients against instances on a stand-in platform",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			report, err := standin.Play(context.Background(), plan)
			line, jerr := json.Marshal(report)
			if jerr != nil {
				return jerr
			}
			fmt.Println(string(line))
			if err == nil && report.Failed {
				err = fmt.Errorf("something was lost, doubled or mixed up; see the notes")
			}
			return err
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&plan.Binary, "binary", "bin/egretbend", "program of the instances")
	flags.IntVar(&plan.Instances, "instances", 5, "how many instances")
	flags.IntVar(&plan.Groups, "groups", 6, "groups of four items in a step")
	flags.IntVar(&plan.Breaks, "breaks", 100, "runs of a thousand that are cut off in the middle")
	flags.BoolVar(&plan.Keep, "keep", false, "keep settings and logs, and name their folder")
	flags.BoolVar(&plan.Kill, "kill", true, "end an instance in the middle and start it again")
	flags.DurationVar(&plan.Length, "length", 12*time.Second, "how long trainers and clients work")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "egretplay: %v\n", err)
		os.Exit(1)
	}
}
