// Package command is the command line of the stand-ins. Each subcommand serves one stand-in until its
// context ends, and prints the stand-in's URL when it is listening.
package command

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/platform/standin"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/oldrouter"
	"github.com/poplarshore/poplarshore/standin/platform"
	"github.com/poplarshore/poplarshore/standin/quickstart"
	"github.com/poplarshore/poplarshore/standin/service"
)

var namespace = errorx.NewNamespace("standin")

// ErrFlag is the error type of invalid flag values.
var ErrFlag = namespace.NewType("flag")

// defaultListen is a free port on loopback.
const defaultListen = "127.0.0.1:0"

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:          "poplarshore-standin",
		Short:        "Run stand-ins of engines, services, the platform and the older router",
		SilenceUsage: true,
	}
	root.AddCommand(quickstart.NewCommand(), standin.NewCommand(), engineCommand(), serviceCommand(), platformCommand(), oldRouterCommand())
	return root
}

// server is a running stand-in.
type server interface {
	URL() string
	Close() error
}

// serveCommand returns a command that listens, starts a stand-in, prints its URL and closes it when
// the command's context ends.
func serveCommand(use, short string, start func(net.Listener) server) *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return ErrFlag.Wrap(err, "listen on %q", listen)
			}
			s := start(l)
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), "listening on", s.URL())
			<-cmd.Context().Done()
			return s.Close()
		},
	}
	cmd.Flags().StringVar(&listen, "listen", defaultListen, "host:port to listen on")
	return cmd
}

func engineCommand() *cobra.Command {
	var (
		o        engine.Options
		versions []string
		quality  map[string]string
	)
	cmd := serveCommand("engine", "Serve a model engine", func(l net.Listener) server { return engine.Start(l, o) })
	cmd.PreRunE = func(*cobra.Command, []string) error {
		var err error
		if o.Versions, err = parseVersions(versions); err != nil {
			return err
		}
		o.Quality, err = parseQuality(quality)
		return err
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&versions, "version", []string{"cheap@v1"}, "model@version to load, repeatable")
	flags.StringToStringVar(&quality, "quality", nil, "share of good answers by model@version, from 0 to 1")
	flags.BoolVar(&o.Fencing, "fencing", false, "refuse orders with an old fencing number")
	flags.IntVar(&o.Capacity, "capacity", 32, "maximum number of concurrently running requests")
	flags.IntVar(&o.MaxWaiting, "waiting", 64, "maximum number of waiting requests")
	flags.DurationVar(&o.TokenTime, "token-time", 10*time.Millisecond, "time per token of a request that runs alone")
	flags.DurationVar(&o.TokenTimePerRunning, "token-time-per-running", 200*time.Microsecond, "time added per token for each running request")
	flags.DurationVar(&o.PrefillTime, "prefill-time", 100*time.Microsecond, "time per prompt token outside the prefix cache")
	flags.DurationVar(&o.LoadTime, "load-time", 5*time.Second, "time to load one version")
	flags.DurationVar(&o.ReportLag, "report-lag", 500*time.Millisecond, "maximum age of a load report")
	flags.DurationVar(&o.EventLag, "event-lag", 2*time.Second, "delay until cache events are published")
	flags.Uint64Var(&o.EventGap, "event-gap", 0, "drop every n-th cache event, 0 for none")
	flags.IntVar(&o.PrefixBlocks, "prefix-blocks", 4096, "prefix cache size in blocks of 16 tokens")
	flags.IntVar(&o.MinTokens, "min-tokens", 8, "minimum answer length in tokens if the request sets no limit")
	flags.IntVar(&o.MaxTokens, "max-tokens", 64, "maximum answer length in tokens if the request sets no limit")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of faults and quality")
	return cmd
}

func serviceCommand() *cobra.Command {
	var o service.Options
	cmd := serveCommand("service", "Serve a plain service that issues permits", func(l net.Listener) server { return service.Start(l, o) })
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of faults")
	return cmd
}

func platformCommand() *cobra.Command {
	var o platform.Options
	cmd := serveCommand("platform", "Serve the platform's table, objects, list of VMs and rating service", func(l net.Listener) server { return platform.Start(l, o) })
	cmd.Flags().DurationVar(&o.Latency, "latency", 5*time.Millisecond, "delay of each storage operation")
	cmd.Flags().DurationVar(&o.ListLag, "list-lag", 3*time.Second, "delay until changes appear in the list of VMs")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of faults")
	return cmd
}

func oldRouterCommand() *cobra.Command {
	var o oldrouter.Options
	cmd := serveCommand("oldrouter", "Serve the older router", func(l net.Listener) server { return oldrouter.Start(l, o) })
	cmd.Flags().StringToStringVar(&o.Models, "model", nil, "model=model@version, repeatable")
	cmd.Flags().StringSliceVar(&o.Engines, "engine", nil, "base URL of an engine, repeatable")
	cmd.Flags().StringToStringVar(&o.Services, "service", nil, "service=base URL, repeatable")
	return cmd
}

// parseVersions parses values of the form model@version.
func parseVersions(values []string) ([]engine.VersionRef, error) {
	var refs []engine.VersionRef
	for _, value := range values {
		model, version, ok := strings.Cut(value, "@")
		if !ok || model == "" || version == "" {
			return nil, ErrFlag.New("version %q is not of the form model@version", value)
		}
		refs = append(refs, engine.VersionRef{Model: model, Version: version})
	}
	return refs, nil
}

// parseQuality parses the shares of good answers, each from 0 to 1, by model@version.
func parseQuality(values map[string]string) (map[string]float64, error) {
	quality := make(map[string]float64, len(values))
	for version, value := range values {
		share, err := strconv.ParseFloat(value, 64)
		if err != nil || share < 0 || share > 1 {
			return nil, ErrFlag.New("quality %q of version %q is not a number from 0 to 1", value, version)
		}
		quality[version] = share
	}
	return quality, nil
}
