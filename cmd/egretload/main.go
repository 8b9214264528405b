// Command egretload runs experiments: it starts the service and the systems around
// it as separate processes on this machine, generates load, injects faults and
// reports the outcome.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/setting"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/experiment"
	"github.com/egretbend/egretbend/internal/load/scenario"
)

func main() {
	var binaries, folder string
	root := &cobra.Command{
		Use:           "egretload SCENARIO...",
		Short:         "Run experiments on a fleet of real processes on this machine",
		Long:          "Run each scenario, one variant after the other. The last line of the output is the JSON report of the last run.",
		Example:       "  egretload examples/verhaeghe/scenario.json",
		Args:          cobra.MinimumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				if err := run(cmd.Context(), path, binaries, folder); err != nil {
					return err
				}
			}
			return nil
		},
	}
	root.Flags().StringVar(&binaries, "binaries", "bin", "folder with the programs")
	root.Flags().StringVar(&folder, "folder", "run", "folder for settings and logs")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "egretload: %v\n", err)
		os.Exit(1)
	}
}

// errViolated is returned if a run violated a guarantee of the service.
var errViolated = errors.New("a guarantee was violated")

// run runs all variants of the scenario at path, or its only one, and prints a
// report of each.
func run(ctx context.Context, path, binaries, folder string) error {
	var s scenario.Scenario
	if err := setting.ReadFile(path, &s); err != nil {
		return fmt.Errorf("%s:\n%w", path, err)
	}
	var cfg configuration.Configuration
	if err := setting.ReadFile(filepath.Join(filepath.Dir(path), s.Configuration), &cfg); err != nil {
		return fmt.Errorf("%s:\n%w", s.Configuration, err)
	}
	runner := &experiment.Runner{
		Scenario:      s,
		Configuration: cfg,
		BinaryDir:     binaries,
		WorkDir:       folder,
		Timer:         timer.Real{},
	}
	variants := s.Variants
	if len(variants) == 0 {
		variants = []scenario.Variant{{
			Name: "main",
		}}
	}
	var violations []string
	for _, v := range variants {
		report, err := runner.Run(ctx, v)
		if err != nil {
			return err
		}
		report.Print(os.Stderr)
		if err := printLine(report); err != nil {
			return err
		}
		violations = append(violations, report.Violations()...)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%w: %s", errViolated, strings.Join(violations, ", "))
	}
	return nil
}

// printLine prints report as one JSON line.
func printLine(report *experiment.Report) error {
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(line))
	return err
}
