package cli

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/internal/explain"
)

func newExplain() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use: "explain REQUEST [LOG ...]", Short: "Tell a request's story from the VMs' logs, or from standard input",
		Example: "  poplarshore explain 62342d51e96783be vm-1.log vm-2.log\n  cat *.log | poplarshore explain 62342d51e96783be",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			stories, err := tell(cmd, args[0], args[1:])
			if err != nil {
				return err
			}
			return out.print(cmd, stories, func() {
				for _, s := range stories {
					sayStory(cmd, s)
				}
			})
		},
	}
	out.flags(cmd)
	return cmd
}

// tell reads the files, or standard input without any.
func tell(cmd *cobra.Command, request string, files []string) ([]explain.Timeline, error) {
	var teller explain.TimelineBuilder
	if len(files) == 0 {
		if err := explain.Read(cmd.InOrStdin(), teller.Add); err != nil {
			return nil, err
		}
	}
	for _, name := range files {
		if err := readLog(name, &teller); err != nil {
			return nil, err
		}
	}
	return teller.Timelines(request)
}

func readLog(name string, teller *explain.TimelineBuilder) error {
	file, err := os.Open(name)
	if err != nil {
		return explain.ErrRead.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }()
	return explain.Read(file, teller.Add)
}

func sayStory(cmd *cobra.Command, s explain.Timeline) {
	say(cmd, "%s at %s, %s: %s", s.Request, s.VM, s.StartedAt.Format("15:04:05.000"), s.Summary)
	for _, e := range s.Entries {
		say(cmd, "%+9.3fs %s %s", e.At.Seconds(), e.VM, e.Text)
	}
}
