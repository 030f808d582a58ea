package command

import (
	"io"
	"net/http"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/gatewayd"
	"github.com/poplarshore/poplarshore/platform/standin"
	"github.com/poplarshore/poplarshore/soak"
)

// newGatewayCommand returns the command that runs a gateway whose way to upstreams can be
// cut, and which can lose its connections to upstreams and other VMs. The soak runs it.
func newGatewayCommand() *cobra.Command {
	way, peers := &standin.Way{}, &standin.Way{}
	cmd := gatewayd.NewCommand(gatewayd.WithUpstreamDial(way.DialContext), gatewayd.WithPeerDial(peers.DialContext))
	cmd.Hidden = true
	control, mode := "", 0
	cmd.Flags().StringVar(&control, "control", "", "host:port that takes changes of the way to upstreams")
	cmd.Flags().IntVar(&mode, "way", 0, "mode of the way at first")
	runGateway := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		way.SetMode(standin.WayMode(mode))
		server := &http.Server{Addr: control, Handler: controlOf(way, peers)}
		go func() { _ = server.ListenAndServe() }()
		defer func() { _ = server.Close() }()
		return runGateway(cmd, args)
	}
	return cmd
}

// controlOf returns the handler that sets the modes of the ways to upstreams and to other VMs, or loses the open connections
// of both.
func controlOf(way, peers *standin.Way) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+soak.LossPath, func(http.ResponseWriter, *http.Request) {
		way.LoseConnections()
		peers.LoseConnections()
	})
	mux.HandleFunc("PUT "+soak.WayPath, setModeOf(way))
	mux.HandleFunc("PUT "+soak.PeersPath, setModeOf(peers))
	return mux
}

// setModeOf returns the handler that sets the mode of a way to the number in the body.
func setModeOf(way *standin.Way) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		mode, err := strconv.Atoi(string(body))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		way.SetMode(standin.WayMode(mode))
	}
}
