package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/experiment/overload"
)

// overloadRow is one policy's outcome over the seeds. Shares are of the offered
// requests.
type overloadRow struct {
	Policy   string             `json:"policy"`
	High     experiment.Summary `json:"high_in_time"`
	Low      experiment.Summary `json:"low_in_time"`
	Attempts experiment.Summary `json:"attempts_per_request"`
	Recovery experiment.Summary `json:"recovery_s,omitzero"`
	First    experiment.Summary `json:"first_account_in_time"`
	Others   experiment.Summary `json:"other_accounts_in_time"`
	// Unrecovered counts the seeds in which recovery never came.
	Unrecovered int               `json:"unrecovered"`
	Runs        []overload.Result `json:"runs"`
}

func newOverloadCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "overload",
		Short: "Requests answered in time in a lasting overload and after a disturbance",
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
			if err := experiment.WriteJSON(opts.out, "overload-greedy", greedy); err != nil {
				return err
			}
			if err := printOverload(out, "disturbance", disturbed); err != nil {
				return err
			}
			if err := saveOverload(opts.out, "overload", sustained); err != nil {
				return err
			}
			return saveOverload(opts.out, "overload-recovery", disturbed)
		},
	}
}

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

func (row *overloadRow) summarise() {
	row.High = over(row.Runs, func(r overload.Result) float64 { return share(r.High.InTime, r.High.Offered) })
	row.Low = over(row.Runs, func(r overload.Result) float64 { return share(r.Low.InTime, r.Low.Offered) })
	row.Attempts = over(row.Runs, func(r overload.Result) float64 {
		return share(r.High.Attempts+r.Low.Attempts, r.High.Offered+r.Low.Offered)
	})
	row.First = over(row.Runs, func(r overload.Result) float64 { return r.FirstInTime })
	row.Others = over(row.Runs, func(r overload.Result) float64 { return r.OthersInTime })
	var times []float64
	for _, r := range row.Runs {
		if r.Recovery < 0 {
			row.Unrecovered++
			continue
		}
		times = append(times, r.Recovery)
	}
	row.Recovery = experiment.Summarise(times)
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func printOverload(w io.Writer, title string, rows []overloadRow) error {
	header := []string{title, "high in time", "low in time", "attempts / request", "recovery s", "never recovered"}
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, []string{
			r.Policy, r.High.String(), r.Low.String(), r.Attempts.String(), r.recovery(),
			fmt.Sprintf("%d of %d", r.Unrecovered, len(r.Runs)),
		})
	}
	return experiment.Table(w, header, cells)
}

func printGreedy(w io.Writer, rows []overloadRow) error {
	header := []string{"one account sends 84%", "that account in time", "the others in time"}
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, []string{r.Policy, r.First.String(), r.Others.String()})
	}
	return experiment.Table(w, header, cells)
}

// recovery prints the time to recover, if any seed did.
func (row *overloadRow) recovery() string {
	if row.Recovery.Runs == 0 {
		return "-"
	}
	return row.Recovery.String()
}

// saveOverload draws the first seed's time lines.
func saveOverload(dir, name string, rows []overloadRow) error {
	if err := experiment.WriteJSON(dir, name, rows); err != nil {
		return err
	}
	var lines []experiment.Line
	for _, r := range rows {
		line := experiment.Line{Name: r.Policy, Y: r.Runs[0].InTime}
		for i := range line.Y {
			line.X = append(line.X, float64(i)*overload.Slot.Seconds())
		}
		lines = append(lines, line)
	}
	labels := experiment.Labels{Title: "Answered in time", X: "seconds", Y: "share of offered"}
	return experiment.WriteLines(dir, name, labels, lines)
}
