package command

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/internal/route/organisation"
)

func (a *app) digestCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "digest",
		Short:   "Print the digest of a key that is read from the standard input",
		Long:    "Print the digest of a key of an organisation, as it stands in a configuration. The key is read from the standard input, so that no list of processes or history of a shell shows it.",
		Example: "  egretbend digest < key.txt",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return a.digest(os.Stdin) },
	}
}

func (a *app) digest(in io.Reader) error {
	data, err := io.ReadAll(in)
	if err != nil {
		return err
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return fmt.Errorf("%w: no key on the standard input", errInput)
	}
	_, err = fmt.Fprintln(a.out, organisation.DigestOf(key))
	return err
}
