package cli

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/explain"
)

// newExplain returns the command that prints the timeline of a request.
func newExplain() *cobra.Command {
	var out outputFlags
	cmd := &cobra.Command{
		Use: "explain REQUEST [LOG ...]", Short: "Show the timeline of a request from the logs of VMs, or from standard input",
		Example: "  poplarshore explain 62342d51e96783be vm-1.log vm-2.log\n  cat *.log | poplarshore explain 62342d51e96783be",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			timelines, err := readTimelines(cmd, args[0], args[1:])
			if err != nil {
				return err
			}
			return out.print(cmd, timelines, func() {
				for _, t := range timelines {
					printTimeline(cmd, t)
				}
			})
		},
	}
	out.addTo(cmd)
	return cmd
}

// readTimelines returns the timelines of a request from the log files, or from standard
// input if there are none.
func readTimelines(cmd *cobra.Command, request string, files []string) ([]explain.Timeline, error) {
	var builder explain.TimelineBuilder
	if len(files) == 0 {
		if err := explain.Read(cmd.InOrStdin(), builder.Add); err != nil {
			return nil, err
		}
	}
	for _, name := range files {
		if err := readLog(name, &builder); err != nil {
			return nil, err
		}
	}
	return builder.Timelines(request)
}

// readLog adds the lines of a log file to the builder.
func readLog(name string, builder *explain.TimelineBuilder) error {
	file, err := os.Open(name)
	if err != nil {
		return explain.ErrRead.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	return explain.Read(file, builder.Add)
}

// printTimeline prints the summary of a timeline and one line for each entry.
func printTimeline(cmd *cobra.Command, t explain.Timeline) {
	printLine(cmd, "%s at %s, %s: %s", t.Request, t.VM, t.StartedAt.Format("15:04:05.000"), t.Summary)
	for _, e := range t.Entries {
		printLine(cmd, "%+9.3fs %s %s", e.At.Seconds(), e.VM, e.Text)
	}
}
