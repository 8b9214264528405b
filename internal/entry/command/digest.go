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
		Short:   "Print the digest of a key read from standard input",
		Long:    "Print the digest of an organisation's key, in the form that a configuration contains. The key is read from standard input, so that it does not appear in process lists or the shell history.",
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
