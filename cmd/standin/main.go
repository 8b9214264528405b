// Command standin runs a simulation of one of the systems around egretbend, for
// tests and experiments.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/setting"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/addresses"
	outside "github.com/egretbend/egretbend/internal/outside/roster"
	"github.com/egretbend/egretbend/internal/standin/engine"
	"github.com/egretbend/egretbend/internal/standin/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/roster"
	"github.com/egretbend/egretbend/internal/standin/service"
	"github.com/egretbend/egretbend/internal/standin/trainer"
	"github.com/egretbend/egretbend/internal/standin/weights"
)

// upstreamSettings is the settings file of an engine or a service.
type upstreamSettings[T any] struct {
	Listen string `json:"listen" need:"true"`
	// Roster is the address of the instance list.
	Roster  string `json:"roster" need:"true"`
	Details T      `json:"details" need:"true"`
}

func main() {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Simulate the systems around egretbend",
		SilenceUsage: true,
	}
	root.AddCommand(keyvalueCommand(), rosterCommand(), weightsCommand(), engineCommand(), serviceCommand(), trainerCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}

func keyvalueCommand() *cobra.Command {
	return serverCommand("keyvalue", "The platform's key-value service", func() http.Handler {
		s := &keyvalue.Server{
			Timer: timer.Real{},
		}
		return s.Handler()
	})
}

func rosterCommand() *cobra.Command {
	return serverCommand("roster", "The platform's instance list", func() http.Handler {
		s := &roster.Server{
			Timer: timer.Real{},
		}
		return s.Handler()
	})
}

func weightsCommand() *cobra.Command {
	s := &weights.Server{
		Timer: timer.Real{},
	}
	cmd := serverCommand("weights", "The weight store", s.Handler)
	cmd.Flags().Float64Var(&s.PerSecond, "per-second", 20, "fetches that may begin per second")
	cmd.Flags().DurationVar(&s.FetchTime, "took", 200*time.Millisecond, "duration of one fetch")
	return cmd
}

// serverCommand returns a command that serves the handler at the address of its
// flag --listen.
func serverCommand(name, short string, handler func() http.Handler) *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		RunE:  func(*cobra.Command, []string) error { return serve(listen, handler(), nil) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address")
	return cmd
}

func engineCommand() *cobra.Command {
	return upstreamCommand("engine", "A model engine", func(file upstreamSettings[engine.Settings]) (http.Handler, func() (outside.Instance, bool)) {
		s := &engine.Server{
			Timer:    timer.Real{},
			Settings: file.Details,
			Address:  file.Listen,
		}
		return s.Handler(), s.Instance
	})
}

func serviceCommand() *cobra.Command {
	return upstreamCommand("service", "A plain service", func(file upstreamSettings[service.Settings]) (http.Handler, func() (outside.Instance, bool)) {
		s := &service.Server{
			Timer:    timer.Real{},
			Settings: file.Details,
			Address:  file.Listen,
			RunLog:   os.Stdout,
		}
		return s.Handler(), s.Instance
	})
}

// upstreamCommand returns a command that serves an upstream with the settings in a
// file, and announces it to the instance list.
func upstreamCommand[T any](name, short string, newHandler func(upstreamSettings[T]) (http.Handler, func() (outside.Instance, bool))) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		RunE: func(*cobra.Command, []string) error {
			var file upstreamSettings[T]
			if err := setting.ReadFile(path, &file); err != nil {
				return err
			}
			handler, current := newHandler(file)
			return serve(file.Listen, handler, &roster.Announcer{
				Roster:  file.Roster,
				Timer:   timer.Real{},
				Current: current,
			})
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// trainerSettings is the settings file of a trainer.
type trainerSettings struct {
	// Instances holds the addresses of the first instances to ask.
	Instances   []string         `json:"instances" need:"true"`
	MaxVersions uint64           `json:"max_versions" default:"4"`
	Details     trainer.Settings `json:"details" need:"true"`
}

func trainerCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "trainer",
		Short: "A trainer; prints its result when it ends",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var file trainerSettings
			if err := setting.ReadFile(path, &file); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			t := &trainer.Trainer{
				Settings:     file.Details,
				MaxStaleness: file.MaxVersions,
				Timer:        timer.Real{},
				Addresses: &addresses.Cache{
					Caller: file.Details.Name,
					Seeds:  file.Instances,
					Timer:  timer.Real{},
				},
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(t.Run(ctx))
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve serves handler at an address until SIGTERM or an interrupt, and runs
// announcer unless it is nil.
func serve(listen string, handler http.Handler, announcer *roster.Announcer) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("%w; choose another address", err)
	}
	var t tomb.Tomb
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
	}
	t.Go(func() error { return server.Serve(ln) })
	if announcer != nil {
		t.Go(func() error { return announcer.Run(&t) })
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-t.Dying():
		return t.Err()
	}
	t.Kill(nil)
	return server.Close()
}
