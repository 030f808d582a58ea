package capacity

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/measure/entrycost"
	"github.com/poplarshore/poplarshore/measure/figure"
	"github.com/poplarshore/poplarshore/measure/slopes"
)

var namespace = errorx.NewNamespace("capacity")

// ErrPage reports a page without the marks of a table.
var ErrPage = namespace.NewType("page")

// Table is one computed part of the page.
type Table struct {
	// Name stands in the marks around the table.
	Name string
	Text string
}

// Tables computes all tables for the size. slopes and entry are the figures of
// the measuring commands of the same names.
func Tables(s Size, l Limits, slopes, entry *figure.Set) ([]Table, error) {
	m := &measured{set: slopes}
	nodes, sum := costTable(s, m, nodeMechanisms())
	holders, held := costTable(s, m, holderMechanisms())
	changed, changedSum := costTable(s, m, changedNodeMechanisms())
	changedJobs, changedHeld := costTable(s, m, changedHolderMechanisms())
	tables := []Table{
		{"nodes", nodes}, {"holders", holders}, {"limits", limitTable(l, sum, held)},
		{"changed nodes", changed}, {"changed holders", changedJobs}, {"changed limits", limitTable(l, changedSum, changedHeld)},
		{"events", eventTable(s, m)},
	}
	path, err := pathTable(s, entry)
	tables = append(tables, Table{"path", path})
	if m.err != nil {
		return nil, m.err
	}
	return tables, err
}

const costHead = `| mechanism | role | state | carried by | CPU a node, % of a core | memory a node, MB | KB/s a node | messages/s a node | ` +
	`CPU in sum, cores | KB/s in sum | store reads/s | store writes/s | measured |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// costTable writes a row for each mechanism and the sum of the per-node costs.
func costTable(s Size, m *measured, mechanisms []mechanism) (string, Cost) {
	var text strings.Builder
	text.WriteString(costHead)
	var sum Cost
	for _, x := range mechanisms {
		c := x.cost(s, m)
		sum = sum.plus(c)
		n := x.bearers(s)
		fmt.Fprintf(&text, "| %s | %s, on %.0f | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			x.name, x.role, n, x.state, x.carries, number(percent*c.CPU), number(c.Memory/megabyte), number(c.Bytes/kilobyte),
			number(c.Messages), number(c.CPU*n), number(c.Bytes*n/kilobyte), number(c.StoreReads), number(c.StoreWrites), m.sources())
	}
	return text.String(), sum
}

func limitTable(l Limits, sum, held Cost) string {
	var text strings.Builder
	text.WriteString("| quantity | limit | all of a node's mechanisms | share of the limit | fits |\n|---|---|---|---|---|\n")
	row := func(name string, limit, value float64) {
		fits := "yes"
		if value > limit {
			fits = "**no**"
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %s%% | %s |\n", name, number(limit), number(value), number(percent*value/limit), fits)
	}
	row("CPU, % of a core", percent*l.CPU, percent*sum.CPU)
	row("memory, MB", l.Memory/megabyte, sum.Memory/megabyte)
	row("KB/s, sent and received", l.Bytes/kilobyte, sum.Bytes/kilobyte)
	row("store reads/s, all nodes and jobs", l.StoreReads, sum.StoreReads+held.StoreReads)
	row("store writes/s, all nodes and jobs", l.StoreWrites, sum.StoreWrites+held.StoreWrites)
	return text.String()
}

func eventTable(s Size, m *measured) string {
	var text strings.Builder
	text.WriteString("| event | work |\n|---|---|\n")
	for _, e := range events() {
		fmt.Fprintf(&text, "| %s | %s |\n", e.name, e.work(s, m))
	}
	m.used = nil
	return text.String()
}

// pathTable compares the callers' path at the size with what was measured.
func pathTable(s Size, entry *figure.Set) (string, error) {
	var text strings.Builder
	text.WriteString("| quantity | measured, median (lowest–highest) | at the size, a node |\n|---|---|---|\n")
	rows := []struct{ name, series, full string }{
		{"added time, whole answer, p50, µs", "whole.adds_p50", "target 150"},
		{"added time, whole answer, p99, µs", "whole.adds_p99", "target 1,000"},
		{"added time, streamed answer, p50, µs", "streamed.adds_p50", "target 150"},
		{"added time, streamed answer, p99, µs", "streamed.adds_p99", "target 1,000"},
		{"tokens/s streamed, entry, caller and engine on one machine", "throughput.tokens", number(s.TokensPerSecond / s.Nodes)},
		{"memory added per open stream, B", "memory.per_stream", "–"},
	}
	for _, r := range rows {
		series, err := entry.Find(r.series)
		if err != nil {
			return "", err
		}
		low, median, high := series.Points[0].Range()
		fmt.Fprintf(&text, "| %s | %s (%s–%s) | %s |\n", r.name, number(median), number(low), number(high), r.full)
	}
	fmt.Fprintf(&text, "| requests/s | – | %s |\n", number(s.RequestsPerSecond/s.Nodes))
	fmt.Fprintf(&text, "| longest wait of an answer's end for its bill's segment, s | – | %s |\n", number(1/segmentsOf(s.Nodes)))
	held, err := entry.Find("memory.per_stream")
	if err != nil {
		return "", err
	}
	fmt.Fprintf(&text, "| open streams, and their memory in MB | – | %s, %s |\n",
		number(s.OpenStreams()), number(s.OpenStreams()*held.Points[0].Median()/megabyte))
	return text.String(), nil
}

// number writes a value with three significant digits.
func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// Replace puts the tables between their marks in the page. Errors: ErrPage.
func Replace(page string, tables []Table) (string, error) {
	for _, t := range tables {
		begin, end := "<!-- begin "+t.Name+" -->\n", "<!-- end "+t.Name+" -->"
		before, rest, found := strings.Cut(page, begin)
		_, after, closed := strings.Cut(rest, end)
		if !found || !closed {
			return "", ErrPage.New("no marks for table %q", t.Name)
		}
		page = before + begin + t.Text + end + after
	}
	return page, nil
}

// Recompute returns the page with its tables computed anew from the figures in
// a directory.
func Recompute(page, figures string) (string, error) {
	slopeSet, err := figure.Load(figures, slopes.SetName)
	if err != nil {
		return "", err
	}
	entrySet, err := figure.Load(figures, entrycost.SetName)
	if err != nil {
		return "", err
	}
	tables, err := Tables(Full(), FullLimits(), slopeSet, entrySet)
	if err != nil {
		return "", err
	}
	return Replace(page, tables)
}
