package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/internal/entry/client"
	"github.com/egretbend/egretbend/internal/entry/operator"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

const (
	pathConfiguration = "/v1/configuration"
	// callTimeout limits one call. It allows for a change whose outcome takes a while to
	// determine.
	callTimeout = 15 * time.Second
	// outcomeAttempts is how often the command asks for the unknown outcome of a change.
	outcomeAttempts = 5
	// outcomeRetryDelay is the pause between these attempts.
	outcomeRetryDelay = 2 * time.Second
)

func (a *app) configCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Read and change the configuration",
	}
	cmd.AddCommand(a.configGet(), a.configPut(), a.configList(), a.configHistory(), a.configWatch())
	return cmd
}

func (a *app) configGet() *cobra.Command {
	return &cobra.Command{
		Use:     "get",
		Short:   "Print the configuration in force and its revision",
		Example: "  egretbend config get --json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.fetchConfiguration(cmd.Context())
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(c)
			}
			fmt.Fprintf(a.errOut, "revision %d\n", c.Revision)
			return a.printJSON(c.Configuration)
		},
	}
}

func (a *app) fetchConfiguration(parent context.Context) (operator.Configuration, error) {
	ctx, cancel := context.WithTimeout(parent, callTimeout)
	defer cancel()
	var c operator.Configuration
	err := a.client().Do(ctx, http.MethodGet, pathConfiguration, nil, &c)
	return c, err
}

func (a *app) configPut() *cobra.Command {
	var body operator.ChangeRequest
	var file string
	cmd := &cobra.Command{
		Use:   "put",
		Short: "Change the configuration, starting from a given revision",
		Long: "Change the configuration. The change is accepted only if --revision is still in force;\n" +
			"otherwise the conflict error names both revisions. If the response is lost, the command\n" +
			"asks for the outcome of the change and reports accepted, refused or unknown.",
		Example: "  egretbend config put --file configuration.json --revision 12 --operator an",
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := readConfiguration(file)
			if err != nil {
				return err
			}
			body.Configuration = data
			return a.putConfiguration(cmd.Context(), body)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&file, "file", "", "configuration file")
	flags.Uint64Var(&body.Revision, "revision", 0, "revision on which the change is based; 0 for the first configuration")
	flags.StringVar(&body.Operator, "operator", os.Getenv("USER"), "your name")
	flags.StringVar(&body.Note, "note", "", "reason for the change")
	flags.StringVar(&body.ID, "id", "", "id of the change; generated if empty")
	_ = cmd.MarkFlagRequired("file")
	_ = cmd.MarkFlagRequired("revision")
	return cmd
}

// putConfiguration sends a change of the configuration and prints its outcome.
func (a *app) putConfiguration(parent context.Context, body operator.ChangeRequest) error {
	if body.ID == "" {
		body.ID = fmt.Sprintf("%x-%08x", time.Now().UnixMilli(), rand.Uint32())
	}
	ctx, cancel := context.WithTimeout(parent, callTimeout)
	defer cancel()
	var response operator.Configuration
	err := a.client().Do(ctx, http.MethodPut, pathConfiguration, body, &response)
	if err != nil && outcomeUnknown(err) {
		response, err = a.resolveOutcome(parent, body, err)
	}
	if err != nil {
		return fmt.Errorf("change %s: %w", body.ID, err)
	}
	if a.json {
		return a.printJSON(response)
	}
	fmt.Fprintf(a.out, "accepted: change %s is revision %d\n", body.ID, response.Revision)
	return nil
}

// outcomeUnknown reports whether a change may have been accepted despite err: the
// instance reported the outcome as unknown, or it was reached and did not respond.
func outcomeUnknown(err error) bool {
	return !client.IsDialError(err) && problem.From(err).Kind.Outcome == problem.Unknown
}

// resolveOutcome asks for the outcome of a change until it is known or all attempts are
// used up. last is the error of the change itself.
func (a *app) resolveOutcome(parent context.Context, body operator.ChangeRequest, last error) (operator.Configuration, error) {
	path := fmt.Sprintf("%s/changes/%s?revision=%d", pathConfiguration, url.PathEscape(body.ID), body.Revision)
	for range outcomeAttempts {
		ctx, cancel := context.WithTimeout(parent, callTimeout)
		var response operator.Configuration
		err := a.client().Do(ctx, http.MethodGet, path, nil, &response)
		cancel()
		if err == nil || !outcomeUnknown(err) {
			return response, err
		}
		last = err
		timer.Wait(timer.Real{}, outcomeRetryDelay, parent.Done())
	}
	return operator.Configuration{}, problem.ChangeUnknown.With(last)
}

func (a *app) configList() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the deployments of the configuration in force",
		Example: "  egretbend config list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.fetchConfiguration(cmd.Context())
			if err != nil {
				return err
			}
			parsed, err := configuration.Parse(c.Configuration)
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(parsed.Deployments)
			}
			fmt.Fprintf(a.out, "revision %d\n", c.Revision)
			for _, d := range parsed.Deployments {
				fmt.Fprintf(a.out, "%-24s %-8s group=%s policy=%s slots=%d\n", d.Name, d.Kind, d.Group, d.Policy, d.Slots)
			}
			return nil
		},
	}
}

func (a *app) configHistory() *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List the accepted changes, newest first",
		Example: "  egretbend config history",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
			defer cancel()
			var list []configuration.Change
			if err := a.client().Do(ctx, http.MethodGet, pathConfiguration+"/history", nil, &list); err != nil {
				return err
			}
			if a.json {
				return a.printJSON(list)
			}
			for _, c := range list {
				fmt.Fprintf(a.out, "%-28s from revision %-6d by %s  %s\n", c.ID, c.Parent, c.Operator, c.Note)
			}
			return nil
		},
	}
}

func (a *app) configWatch() *cobra.Command {
	return &cobra.Command{
		Use:     "watch",
		Short:   "Print each revision as it comes into force, until interrupted",
		Example: "  egretbend config watch",
		RunE: func(cmd *cobra.Command, _ []string) error {
			seen := uint64(0)
			for {
				c, err := a.fetchConfiguration(cmd.Context())
				if err != nil {
					return err
				}
				if c.Revision > seen {
					seen = c.Revision
					fmt.Fprintf(a.out, "revision %d\n", seen)
				}
				if !timer.Wait(timer.Real{}, time.Second, cmd.Context().Done()) {
					return nil
				}
			}
		},
	}
}
