package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/questionnaire"
	"github.com/egretbend/egretbend/internal/kernel/setting"
)

func (a *app) checkCommand() *cobra.Command {
	var settings, config string
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Check settings and configuration files without starting anything",
		Example: "  egretbend check --settings instance.json\n  egretbend check --config configuration.json",
		RunE:    func(*cobra.Command, []string) error { return a.check(settings, config) },
	}
	cmd.Flags().StringVar(&settings, "settings", "", "settings file of an instance")
	cmd.Flags().StringVar(&config, "config", "", "configuration file")
	return cmd
}

func (a *app) check(settings, config string) error {
	if settings == "" && config == "" {
		return fmt.Errorf("%w: give --settings or --config", errInput)
	}
	if settings != "" {
		if err := setting.ReadFile(settings, &setting.Instance{}); err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%s: good\n", settings)
	}
	if config != "" {
		if _, err := readConfiguration(config); err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%s: good\n", config)
	}
	return nil
}

// readConfiguration reads a configuration file and checks it.
func readConfiguration(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w; check the path", errInput, err)
	}
	_, err = configuration.Parse(data)
	return data, err
}

// schemas holds the file formats of which a JSON schema can be printed, by name.
var schemas = map[string]struct {
	title string
	value any
}{
	"settings": {
		title: "egretbend instance settings",
		value: setting.Instance{},
	},
	"config": {
		title: "egretbend configuration",
		value: configuration.Configuration{},
	},
	"answers": {
		title: "egretbend questionnaire answers",
		value: questionnaire.Answers{},
	},
}

func (a *app) schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "schema {settings|config|answers}",
		Short:     "Print the JSON schema of a file format",
		Example:   "  egretbend schema config",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"settings", "config", "answers"},
		RunE: func(_ *cobra.Command, args []string) error {
			format := schemas[args[0]]
			b, err := setting.Schema(format.title, format.value)
			if err != nil {
				return err
			}
			_, err = a.out.Write(b)
			return err
		},
	}
}
