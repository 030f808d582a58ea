// Package command is the command line of the stand-ins. Each subcommand serves
// one stand-in until its context ends, and prints its URL once it listens.
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

// ErrFlag reports a flag whose value is malformed.
var ErrFlag = namespace.NewType("flag")

const defaultListen = "127.0.0.1:0"

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:          "poplarshore-standin",
		Short:        "Stand-ins of engines, services, the platform and the older router",
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

// serve listens, starts a stand-in and closes it when the context ends.
func serve(cmd *cobra.Command, listen string, start func(net.Listener) server) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return ErrFlag.Wrap(err, "listen on %q", listen)
	}
	s := start(l)
	_, _ = fmt.Fprintln(cmd.OutOrStdout(), "listening on", s.URL())
	<-cmd.Context().Done()
	return s.Close()
}

func engineCommand() *cobra.Command {
	var (
		o        engine.Options
		listen   string
		versions []string
		quality  map[string]string
	)
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Serve a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if o.Versions, err = parseVersions(versions); err != nil {
				return err
			}
			if o.Quality, err = parseQuality(quality); err != nil {
				return err
			}
			return serve(cmd, listen, func(l net.Listener) server { return engine.Start(l, o) })
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", defaultListen, "host:port to listen on")
	flags.StringSliceVar(&versions, "version", []string{"cheap@v1"}, "model@version to load, repeatable")
	flags.StringToStringVar(&quality, "quality", nil, "share of good answers by model@version, from 0 to 1")
	flags.BoolVar(&o.Fencing, "fencing", false, "refuse orders with an old fencing number")
	flags.IntVar(&o.Capacity, "capacity", 32, "requests that run at once")
	flags.IntVar(&o.Waiting, "waiting", 64, "requests that may wait")
	flags.DurationVar(&o.TokenTime, "token-time", 10*time.Millisecond, "time per token of a lone request")
	flags.DurationVar(&o.TokenTimePerRunning, "token-time-per-running", 200*time.Microsecond, "added per running request")
	flags.DurationVar(&o.PrefillTime, "prefill-time", 100*time.Microsecond, "time per prompt token outside the prefix cache")
	flags.DurationVar(&o.LoadTime, "load-time", 5*time.Second, "time to load one version")
	flags.DurationVar(&o.ReportLag, "report-lag", 500*time.Millisecond, "greatest age of a load report")
	flags.DurationVar(&o.EventLag, "event-lag", 2*time.Second, "age at which cache events are published")
	flags.Uint64Var(&o.EventGap, "event-gap", 0, "leave out every n-th cache event, 0 for none")
	flags.IntVar(&o.PrefixBlocks, "prefix-blocks", 4096, "prefix cache size in blocks of 16 tokens")
	flags.IntVar(&o.MinTokens, "min-tokens", 8, "shortest natural answer")
	flags.IntVar(&o.MaxTokens, "max-tokens", 64, "longest natural answer")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of faults and quality")
	return cmd
}

func serviceCommand() *cobra.Command {
	var (
		o      service.Options
		listen string
	)
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Serve a plain service that issues permits",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, listen, func(l net.Listener) server { return service.Start(l, o) })
		},
	}
	cmd.Flags().StringVar(&listen, "listen", defaultListen, "host:port to listen on")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of faults")
	return cmd
}

func platformCommand() *cobra.Command {
	var (
		o      platform.Options
		listen string
	)
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's table, objects, list of VMs and rating service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, listen, func(l net.Listener) server { return platform.Start(l, o) })
		},
	}
	cmd.Flags().StringVar(&listen, "listen", defaultListen, "host:port to listen on")
	cmd.Flags().DurationVar(&o.Latency, "latency", 5*time.Millisecond, "delay of each storage operation")
	cmd.Flags().DurationVar(&o.ListLag, "list-lag", 3*time.Second, "age at which changes show in the list of VMs")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of faults")
	return cmd
}

func oldRouterCommand() *cobra.Command {
	var (
		o      oldrouter.Options
		listen string
	)
	cmd := &cobra.Command{
		Use:   "oldrouter",
		Short: "Serve the older router",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, listen, func(l net.Listener) server { return oldrouter.Start(l, o) })
		},
	}
	cmd.Flags().StringVar(&listen, "listen", defaultListen, "host:port to listen on")
	cmd.Flags().StringToStringVar(&o.Models, "model", nil, "model=model@version, repeatable")
	cmd.Flags().StringSliceVar(&o.Engines, "engine", nil, "base URL of an engine, repeatable")
	cmd.Flags().StringToStringVar(&o.Services, "service", nil, "service=base URL, repeatable")
	return cmd
}

func parseVersions(texts []string) ([]engine.VersionRef, error) {
	var refs []engine.VersionRef
	for _, text := range texts {
		model, version, ok := strings.Cut(text, "@")
		if !ok || model == "" || version == "" {
			return nil, ErrFlag.New("version %q is not model@version", text)
		}
		refs = append(refs, engine.VersionRef{Model: model, Version: version})
	}
	return refs, nil
}

func parseQuality(texts map[string]string) (map[string]float64, error) {
	quality := make(map[string]float64, len(texts))
	for version, text := range texts {
		share, err := strconv.ParseFloat(text, 64)
		if err != nil || share < 0 || share > 1 {
			return nil, ErrFlag.New("quality %q of %q is not within 0 and 1", text, version)
		}
		quality[version] = share
	}
	return quality, nil
}
