package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/internal/fleet/questionnaire"
)

// fileMode is the permission mode of the files that generate writes.
const fileMode = 0o644

func (a *app) generateCommand() *cobra.Command {
	var answers, out, save string
	cmd := &cobra.Command{
		Use:   "generate",
		Short: "Generate a configuration from a team's answers",
		Long: "Ask about workloads, priorities and tolerances in the terminal, or take a saved answers\n" +
			"file, and print the configuration generated from them. The same answers always give the\n" +
			"same configuration; `egretbend explain` shows which answer each value comes from.",
		Example: "  egretbend generate --save answers.json --out configuration.json\n" +
			"  egretbend generate --answers examples/verhaeghe/answers.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			given, err := a.loadAnswers(cmd, answers, save)
			if err != nil {
				return err
			}
			data, _, err := questionnaire.Generate(given)
			if err != nil {
				return err
			}
			if out != "" {
				return os.WriteFile(out, data, fileMode)
			}
			_, err = a.out.Write(data)
			return err
		},
	}
	cmd.Flags().StringVar(&answers, "answers", "", "file with saved answers; no questions are asked")
	cmd.Flags().StringVar(&out, "out", "", "file for the configuration; printed if empty")
	cmd.Flags().StringVar(&save, "save", "", "file in which to save the answers given in the terminal")
	return cmd
}

// loadAnswers reads saved answers from path. If path is empty, it asks for the answers in
// the terminal and writes them to save, unless save is empty.
func (a *app) loadAnswers(cmd *cobra.Command, path, save string) (*questionnaire.Answers, error) {
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("%w: %w; check the path", errInput, err)
		}
		return questionnaire.Parse(data)
	}
	interview := &questionnaire.Interview{
		In:  cmd.InOrStdin(),
		Out: a.errOut,
	}
	given, err := interview.Run()
	if save != "" {
		data, jsonErr := interview.AnswersJSON()
		err = errors.Join(err, jsonErr, os.WriteFile(save, append(data, '\n'), fileMode))
	}
	return given, err
}

func (a *app) explainCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "explain",
		Short:   "Show which answer each generated value comes from",
		Example: "  egretbend explain --answers examples/labelpoint/answers.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			given, err := a.loadAnswers(cmd, path, "")
			if err != nil {
				return err
			}
			_, reasons, err := questionnaire.Generate(given)
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(reasons)
			}
			for _, r := range reasons {
				fmt.Fprintf(a.out, "%-40s = %-16s from %s: %s\n", r.Path, r.Value, r.Answer, r.Why)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&path, "answers", "", "file with saved answers")
	_ = cmd.MarkFlagRequired("answers")
	return cmd
}
