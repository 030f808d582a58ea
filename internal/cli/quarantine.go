package cli

import (
	"encoding/json"
	"net/http"
	"net/url"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/fetch"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/quarantine"
)

// ErrGateway reports that a gateway did not respond, or refused a call.
var ErrGateway = namespace.NewType("gateway")

const (
	// gatewayTimeout bounds each phase of a call of a gateway.
	gatewayTimeout = 5 * time.Second
	// maxListingBytes is the largest list of quarantines.
	maxListingBytes = 1 << 20
)

// gatewayFlags are the flags that select a gateway.
type gatewayFlags struct{ peers string }

func (f *gatewayFlags) addTo(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&f.peers, "peers", "http://127.0.0.1:8084", "base URL of the peers listener of any gateway")
}

// call sends a request to the gateway. Errors: ErrGateway.
func (f *gatewayFlags) call(cmd *cobra.Command, method, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(cmd.Context(), method, f.peers+path, nil)
	if err != nil {
		return nil, ErrUsage.Wrap(err, "invalid --peers")
	}
	client := &http.Client{Transport: transport.Checked(&http.Transport{
		Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes,
	})}
	resp, err := fetch.Do(client, req, fetch.Limits{
		HeaderTimeout: gatewayTimeout, IdleTimeout: gatewayTimeout, MaxBytes: maxListingBytes,
	})
	if err != nil {
		return nil, ErrGateway.Wrap(err, "call %s", f.peers)
	}
	if resp.Status >= http.StatusMultipleChoices {
		return nil, ErrGateway.New("%s responded with status %d: %s", f.peers, resp.Status, resp.Body)
	}
	return resp.Body, nil
}

// newQuarantine returns the commands on requests that are kept out because they crash
// upstreams.
func newQuarantine() *cobra.Command {
	var gateway gatewayFlags
	cmd := &cobra.Command{Use: "quarantine", Short: "Show and lift quarantines of requests that crash upstreams"}
	gateway.addTo(cmd)
	cmd.AddCommand(newQuarantineList(&gateway), newQuarantineLift(&gateway))
	return cmd
}

func newQuarantineList(gateway *gatewayFlags) *cobra.Command {
	var out outputFlags
	cmd := &cobra.Command{
		Use: "list [KEY]", Short: "List the quarantines, or show one with the crashes that speak against it",
		Example: "  poplarshore quarantine list --peers http://10.1.0.40:8084",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := gateway.call(cmd, http.MethodGet, "/quarantine")
			if err != nil {
				return err
			}
			var listing quarantines.Listing
			if err := json.Unmarshal(body, &listing); err != nil {
				return ErrGateway.Wrap(err, "invalid list")
			}
			if len(args) == 0 {
				return out.print(cmd, listing.Entries, func() { printQuarantines(cmd, listing.Entries) })
			}
			for _, e := range listing.Entries {
				if e.Key.String() == args[0] {
					return out.print(cmd, e, func() { printQuarantine(cmd, e) })
				}
			}
			return ErrUsage.New("no quarantine of %q", args[0])
		},
	}
	out.addTo(cmd)
	return cmd
}

// printQuarantines prints a line for each entry.
func printQuarantines(cmd *cobra.Command, entries []quarantine.Entry) {
	for _, e := range entries {
		state := "in force"
		if e.Lifted() {
			state = "lifted by " + e.LiftedBy
		}
		printLine(cmd, "%v\t%s\t%d crashes\t%d probes", e.Key, state, len(e.Evidence), e.Probes)
	}
}

// printQuarantine prints an entry with its evidence. Times are on the store's clock.
func printQuarantine(cmd *cobra.Command, e quarantine.Entry) {
	printQuarantines(cmd, []quarantine.Entry{e})
	for _, crash := range e.Evidence {
		printLine(cmd, "  %s ended at %v", crash.Upstream, crash.At)
	}
}

func newQuarantineLift(gateway *gatewayFlags) *cobra.Command {
	var author string
	cmd := &cobra.Command{
		Use: "lift KEY", Short: "Let requests with a key reach upstreams again",
		Example: "  poplarshore quarantine lift part-5e8cd79c9665eae0 --peers http://10.1.0.40:8084",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if u, err := user.Current(); err == nil && author == "" {
				author = u.Username
			}
			path := "/quarantine/" + url.PathEscape(args[0]) + "?" + url.Values{"by": {author}}.Encode()
			if _, err := gateway.call(cmd, http.MethodDelete, path); err != nil {
				return err
			}
			printLine(cmd, "lifted %s", args[0])
			return nil
		},
	}
	cmd.Flags().StringVar(&author, "author", "", "name of the operator; default: the current user")
	return cmd
}
