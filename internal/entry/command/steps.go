package command

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/internal/batch/steptime"
)

func (a *app) stepsCommand() *cobra.Command {
	var picture string
	cmd := &cobra.Command{
		Use:   "steps FILE...",
		Short: "Show from logs how the time of each trainer step was spent",
		Long: "Show from the logs of any number of instances how the time of each step was spent, compared\n" +
			"with the time that its longest item needs. The file - is standard input.",
		Example: "  egretbend steps logs/*.log\n  egretbend steps --picture steps.svg --json day.log",
		Args:    cobra.MinimumNArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return a.steps(args, picture, os.Stdin) },
	}
	cmd.Flags().StringVar(&picture, "picture", "", "SVG file for a diagram of the steps; none if empty")
	return cmd
}

func (a *app) steps(paths []string, picture string, in io.Reader) error {
	var l steptime.Log
	for _, path := range paths {
		if err := readLog(path, in, l.Read); err != nil {
			return err
		}
	}
	report, err := l.Report()
	if err != nil {
		for _, f := range l.BadLines() {
			return fmt.Errorf("%w: %w; the first line that could not be read: %w", errInput, err, f)
		}
		return fmt.Errorf("%w: %w", errInput, err)
	}
	if picture != "" {
		if err := writePicture(report, picture); err != nil {
			return err
		}
	}
	if a.json {
		return a.printJSON(report)
	}
	return report.WriteTable(a.out)
}

// readLog opens the log file at path, or standard input if path is -, and passes it to
// read.
func readLog(path string, in io.Reader, read func(name string, r io.Reader) error) error {
	if path == "-" {
		if err := read(path, in); err != nil {
			return fmt.Errorf("%w: log %w", errInput, err)
		}
		return nil
	}
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w: log: %w; check the path", errInput, err)
	}
	defer f.Close()
	if err := read(path, f); err != nil {
		return fmt.Errorf("%w: log %w", errInput, err)
	}
	return nil
}

func writePicture(report *steptime.Report, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("%w: picture: %w", errInput, err)
	}
	if err := report.WriteSVG(f); err != nil {
		f.Close()
		return fmt.Errorf("picture %s: %w", path, err)
	}
	return f.Close()
}
