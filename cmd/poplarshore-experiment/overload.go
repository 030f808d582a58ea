package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/overload"
)

// overloadRow is the result of one policy, summarised over the seeds. HighInTime and
// LowInTime are the shares of requests with high and with low priority that were answered
// in time. Shares are of the offered requests.
type overloadRow struct {
	Policy              string             `json:"policy"`
	HighInTime          experiment.Summary `json:"high_in_time"`
	LowInTime           experiment.Summary `json:"low_in_time"`
	Attempts            experiment.Summary `json:"attempts_per_request"`
	Recovery            experiment.Summary `json:"recovery_s,omitzero"`
	FirstAccountInTime  experiment.Summary `json:"first_account_in_time"`
	OtherAccountsInTime experiment.Summary `json:"other_accounts_in_time"`
	// Unrecovered is the number of seeds with which the system did not recover.
	Unrecovered int               `json:"unrecovered"`
	Runs        []overload.Result `json:"runs"`
}

func newOverloadCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "overload",
		Short: "Measure the requests answered in time during a lasting overload and after a disturbance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			sustained := runOverload(overload.Sustained(), opts.seeds)
			greedy := runOverload(overload.Greedy(), opts.seeds)
			disturbed := runOverload(overload.Disturbed(), opts.seeds)
			if err := printOverload(out, "lasting overload", sustained); err != nil {
				return err
			}
			if err := printGreedy(out, greedy); err != nil {
				return err
			}
			if err := experiment.WriteJSON(opts.figuresDir, "overload-greedy", greedy); err != nil {
				return err
			}
			if err := printOverload(out, "disturbance", disturbed); err != nil {
				return err
			}
			if err := saveOverload(opts.figuresDir, "overload", sustained); err != nil {
				return err
			}
			return saveOverload(opts.figuresDir, "overload-recovery", disturbed)
		},
	}
}

// runOverload runs each policy with seeds 1 to seeds.
func runOverload(o overload.Options, seeds int) []overloadRow {
	var rows []overloadRow
	for _, p := range overload.Policies() {
		row := overloadRow{Policy: p.Name}
		for seed := range seeds {
			row.Runs = append(row.Runs, overload.Run(o, p, uint64(seed+1)))
		}
		row.summarise()
		rows = append(rows, row)
	}
	return rows
}

// summarise sets the summaries from the runs. Runs without recovery are left out of
// Recovery.
func (row *overloadRow) summarise() {
	row.HighInTime = summariseRuns(row.Runs, func(r overload.Result) float64 { return ratio(r.High.InTime, r.High.Offered) })
	row.LowInTime = summariseRuns(row.Runs, func(r overload.Result) float64 { return ratio(r.Low.InTime, r.Low.Offered) })
	row.Attempts = summariseRuns(row.Runs, func(r overload.Result) float64 {
		return ratio(r.High.Attempts+r.Low.Attempts, r.High.Offered+r.Low.Offered)
	})
	row.FirstAccountInTime = summariseRuns(row.Runs, func(r overload.Result) float64 { return r.FirstAccountInTime })
	row.OtherAccountsInTime = summariseRuns(row.Runs, func(r overload.Result) float64 { return r.OtherAccountsInTime })
	var recoveryTimes []float64
	for _, r := range row.Runs {
		if r.RecoverySeconds < 0 {
			row.Unrecovered++
			continue
		}
		recoveryTimes = append(recoveryTimes, r.RecoverySeconds)
	}
	row.Recovery = experiment.Summarise(recoveryTimes)
}

// ratio returns part over total; a total of 0 counts as 1.
func ratio(part, total int) float64 { return float64(part) / float64(max(total, 1)) }

// printOverload prints a row for each policy. title is the heading of the first column.
func printOverload(w io.Writer, title string, rows []overloadRow) error {
	header := []string{title, "high in time", "low in time", "attempts / request", "recovery s", "never recovered"}
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, []string{
			r.Policy, r.HighInTime.String(), r.LowInTime.String(), r.Attempts.String(), r.recovery(),
			fmt.Sprintf("%d of %d", r.Unrecovered, len(r.Runs)),
		})
	}
	return experiment.Table(w, header, cells)
}

// printGreedy prints how an account that sends most of the requests affects the others.
func printGreedy(w io.Writer, rows []overloadRow) error {
	header := []string{"one account sends 84%", "that account in time", "the others in time"}
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, []string{r.Policy, r.FirstAccountInTime.String(), r.OtherAccountsInTime.String()})
	}
	return experiment.Table(w, header, cells)
}

// recovery returns the time to recovery as text, or "-" if the system recovered with no
// seed.
func (row *overloadRow) recovery() string {
	if row.Recovery.Runs == 0 {
		return "-"
	}
	return row.Recovery.String()
}

// saveOverload writes the rows and a figure of the first seed's share in time over time.
func saveOverload(dir, name string, rows []overloadRow) error {
	if err := experiment.WriteJSON(dir, name, rows); err != nil {
		return err
	}
	var lines []experiment.Line
	for _, r := range rows {
		line := experiment.Line{Name: r.Policy, Y: r.Runs[0].InTimeBySlot}
		for i := range line.Y {
			line.X = append(line.X, float64(i)*overload.SlotDuration.Seconds())
		}
		lines = append(lines, line)
	}
	labels := experiment.Labels{Title: "Answered in time", X: "seconds", Y: "share of offered"}
	return experiment.WriteLines(dir, name, labels, lines)
}
