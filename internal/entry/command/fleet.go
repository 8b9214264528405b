package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"time"

	"github.com/spf13/cobra"

	"github.com/egretbend/egretbend/internal/entry/caller"
	"github.com/egretbend/egretbend/internal/entry/operator"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/route/residency"
)

func (a *app) addressesCommand() *cobra.Command {
	var name string
	cmd := &cobra.Command{
		Use:     "addresses",
		Short:   "Print the addresses that a caller should use",
		Example: "  egretbend addresses --caller saddlers",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var response caller.AddressesResponse
			if err := a.getJSON(cmd.Context(), "/v1/addresses?caller="+url.QueryEscape(name), &response); err != nil {
				return err
			}
			if a.json {
				return a.printJSON(response)
			}
			for _, addr := range response.Addresses {
				fmt.Fprintf(a.out, "%-22s %s (%s)\n", addr.Address, addr.Instance, addr.FailureDomain)
			}
			fmt.Fprintf(a.out, "keep for %d ms\n", response.TTLMS)
			return nil
		},
	}
	cmd.Flags().StringVar(&name, "caller", "", "name of the caller")
	return cmd
}

// getJSON calls GET on path and decodes the response into out.
func (a *app) getJSON(parent context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(parent, callTimeout)
	defer cancel()
	return a.client().Do(ctx, http.MethodGet, path, nil, out)
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the fleet as one instance sees it",
		Example: "  egretbend status --address 127.0.0.1:7101",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s operator.Status
			if err := a.getJSON(cmd.Context(), "/v1/status", &s); err != nil {
				return err
			}
			if a.json {
				return a.printJSON(s)
			}
			a.printStatus(s)
			return nil
		},
	}
}

func (a *app) printStatus(s operator.Status) {
	fmt.Fprintf(a.out, "instance %s, configuration revision %d (highest told: %d)\n", s.Instance, s.Revision, s.HighestRevision)
	fmt.Fprintf(a.out, "buffers  %d of %d bytes held, %d requests refused, %d slow readers cut\n",
		s.Buffers.HeldBytes, s.Buffers.BoundBytes, s.Buffers.Refused, s.Buffers.Cut)
	for _, m := range s.Members {
		note := ""
		if m.Leaving {
			note = " leaving"
		}
		fmt.Fprintf(a.out, "member   %-20s %-14s %-22s %s%s\n", m.Instance, m.FailureDomain, m.Address, m.Status, note)
	}
	for _, e := range s.Evacuated {
		note := ""
		if !e.Known {
			note = " unknown to this instance"
		}
		fmt.Fprintf(a.out, "evacuated %-19s for %s, revision %d, %d upstreams, %d requests still run there%s\n",
			e.Domain, e.For().Round(time.Second), e.Revision, e.Upstreams, e.InFlight, note)
	}
	for _, g := range s.Groups {
		fmt.Fprintf(a.out, "group    %-20s %-14s region %s, %d upstreams, %d cold\n", g.Service, g.FailureDomain, g.Region, g.Upstreams, g.Cold)
	}
	for _, q := range s.Queues {
		fmt.Fprintf(a.out, "queue    %-20s %d waiting, %d in flight\n", q.Name, q.Waiting, q.InFlight)
	}
	for _, r := range s.Restrictions {
		fmt.Fprintf(a.out, "allowed  %s %s: %s\n", r.Kind, r.Name, residency.FromList(r.Regions))
	}
	for _, l := range s.Limits {
		fmt.Fprintf(a.out, "limit    %-20s in flight %d of %.1f published %s\n", l.Deployment, l.InFlight, l.Limit, l.Published)
	}
	for _, u := range s.Upstreams {
		fmt.Fprintf(a.out, "upstream %-20s %-14s load %.2f version %s leaving %t out %t\n",
			u.Upstream, u.Deployment, u.Load, u.Version, u.Leaving, u.Ejected)
	}
	for _, t := range s.Sessions {
		for _, st := range t.Steps {
			fmt.Fprintf(a.out, "step     %s session %d step %d %s: %d of %d taken, %d discarded, %d second attempts\n",
				t.Trainer, t.Session, st.Step, st.State, st.Acknowledged, st.Samples, st.Discarded, st.SecondAttempts)
		}
	}
}

func (a *app) drainCommand() *cobra.Command {
	var instance bool
	cmd := &cobra.Command{
		Use:   "drain {UPSTREAM | --instance}",
		Short: "Drain an upstream, or the instance at --address",
		Long: "Mark the current incarnation of an upstream as leaving in the whole fleet, so that it gets no\n" +
			"new work. With --instance, the instance at --address finishes its work and stops, as on SIGTERM.",
		Example: "  egretbend drain sampler-3\n  egretbend drain --instance --address 127.0.0.1:7101",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, what := "/v1/instance/drain", "the instance at "+a.address
			if instance == (len(args) == 1) {
				return fmt.Errorf("%w: name an upstream or give --instance", errInput)
			}
			if !instance {
				path, what = "/v1/upstreams/"+url.PathEscape(args[0])+"/drain", args[0]
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
			defer cancel()
			err := a.client().Do(ctx, http.MethodPost, path, nil, nil)
			if err == nil {
				fmt.Fprintf(a.out, "%s is leaving\n", what)
			}
			return err
		},
	}
	cmd.Flags().BoolVar(&instance, "instance", false, "drain the instance at --address")
	return cmd
}

func (a *app) whyCommand() *cobra.Command {
	var logs []string
	cmd := &cobra.Command{
		Use:   "why REQUEST|SAMPLE",
		Short: "Show the decisions about a request or sample",
		Long: "Show the decisions that the instances remember about a request id, or about a sample given as\n" +
			"step/group/index. With --log, show the matching lines of log files instead.",
		Example: "  egretbend why 00c5a3f09d1e77aa\n  egretbend why 12/g3/0\n  egretbend why 7c41e09b52d6a3f8 --log gent-a-1.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return a.printLogLines(args[0], logs, cmd.InOrStdin())
			}
			var list []journal.Record
			if err := a.getJSON(cmd.Context(), "/v1/decisions/"+url.PathEscape(args[0]), &list); err != nil {
				return err
			}
			if a.json {
				return a.printJSON(list)
			}
			for _, d := range list {
				a.printDecision(d)
			}
			return nil
		},
	}
	cmd.Flags().StringArrayVar(&logs, "log", nil, "log file of an instance, or - for standard input; may be repeated")
	return cmd
}

// printDecision prints a decision on one line, with its fields sorted by name.
func (a *app) printDecision(d journal.Record) {
	fmt.Fprintf(a.out, "%s %s %s", d.At.Format("15:04:05.000"), d.Instance, d.Decision)
	names := make([]string, 0, len(d.Fields))
	for name := range d.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(a.out, " %s=%s", name, d.Fields[name])
	}
	fmt.Fprintln(a.out)
}
