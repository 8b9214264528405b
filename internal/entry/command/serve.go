package command

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/spf13/cobra"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/entry/instance"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/kernel/setting"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

func (a *app) serveCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Run one instance until it is stopped",
		Long:    "Run one instance. SIGTERM or an interrupt drains it gracefully; a second one stops it at once.",
		Example: "  egretbend serve --settings instance.json",
		RunE:    func(*cobra.Command, []string) error { return a.serve(path) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of this instance")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func (a *app) serve(path string) error {
	var settings setting.Instance
	if err := setting.ReadFile(path, &settings); err != nil {
		return err
	}
	if settings.Seed == 0 {
		settings.Seed = uint64(time.Now().UnixNano())
	}
	j, err := journal.Open(a.errOut, settings.LogLevel, settings.Name)
	if err != nil {
		return fmt.Errorf("%w: %w", errInput, err)
	}
	clock := timer.Real{}
	var logs tomb.Tomb
	logs.Go(func() error { return j.Run(&logs, clock) })
	host := &part.Host{
		Settings: settings,
		Timer:    clock,
		Journal:  j,
		Metrics:  newMetricsRegistry(),
	}
	err = runUntilSignal(host)
	j.Info("stopped", log.Fields{})
	logs.Kill(nil)
	_ = logs.Wait()
	return err
}

// newMetricsRegistry returns a registry with metrics of the Go runtime and the process.
func newMetricsRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return reg
}

// runUntilSignal runs an instance until a signal or an operator stops it. A second signal
// ends it without waiting for requests in flight.
func runUntilSignal(host *part.Host) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	leaving := host.ShutdownRequested()
	if err := instance.Start(host); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-leaving:
	}
	done := make(chan error, 1)
	go func() { done <- host.Stop() }()
	select {
	case err := <-done:
		return err
	case <-signals:
		return fmt.Errorf("stopped by a second signal before all requests were finished")
	}
}
