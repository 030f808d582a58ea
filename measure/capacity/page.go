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

// ErrPage reports a page without the begin and end markers of a table.
var ErrPage = namespace.NewType("page")

// Table is one calculated table of the page.
type Table struct {
	// Name appears in the markers around the table.
	Name string
	// Text is the table in Markdown, with a final line break.
	Text string
}

// Tables calculates all tables for the size. slopes and entry are the figures
// of the measurement commands of the same names. Errors: figure.ErrMissing.
func Tables(s Size, l Limits, slopes, entry *figure.Set) ([]Table, error) {
	m := &costModel{set: slopes}
	nodes, nodeSum := costTable(s, m, nodeMechanisms())
	holders, holderSum := costTable(s, m, holderMechanisms())
	changed, changedNodeSum := costTable(s, m, changedNodeMechanisms())
	changedJobs, changedHolderSum := costTable(s, m, changedHolderMechanisms())
	tables := []Table{
		{"nodes", nodes}, {"holders", holders}, {"limits", limitTable(l, nodeSum, holderSum)},
		{"changed nodes", changed}, {"changed holders", changedJobs}, {"changed limits", limitTable(l, changedNodeSum, changedHolderSum)},
		{"events", eventTable(s, m)},
	}
	path, err := pathTable(s, entry)
	tables = append(tables, Table{"path", path})
	if m.err != nil {
		return nil, m.err
	}
	return tables, err
}

const costTableHeader = `| mechanism | role | state | carried by | CPU a node, % of a core | memory a node, MB | KB/s a node | messages/s a node | ` +
	`CPU in sum, cores | KB/s in sum | store reads/s | store writes/s | measured |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// costTable returns a table with a row for each mechanism, and the sum of the
// mechanisms' costs per node.
func costTable(s Size, m *costModel, mechanisms []mechanism) (string, Cost) {
	var text strings.Builder
	text.WriteString(costTableHeader)
	var sum Cost
	for _, mech := range mechanisms {
		c := mech.cost(s, m)
		sum = sum.plus(c)
		nodes := mech.nodeCount(s)
		fmt.Fprintf(&text, "| %s | %s, on %.0f | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			mech.name, mech.role, nodes, mech.state, mech.implementation, formatNumber(percent*c.CPU), formatNumber(c.Memory/megabyte), formatNumber(c.Bytes/kilobyte),
			formatNumber(c.Messages), formatNumber(c.CPU*nodes), formatNumber(c.Bytes*nodes/kilobyte), formatNumber(c.StoreReads), formatNumber(c.StoreWrites), m.sources())
	}
	return text.String(), sum
}

// limitTable compares the costs of a node with the limits. Store accesses of the
// jobs, in holderSum, are added to those of all nodes.
func limitTable(l Limits, nodeSum, holderSum Cost) string {
	var text strings.Builder
	text.WriteString("| quantity | limit | all of a node's mechanisms | share of the limit | fits |\n|---|---|---|---|---|\n")
	row := func(name string, limit, value float64) {
		fits := "yes"
		if value > limit {
			fits = "**no**"
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %s%% | %s |\n", name, formatNumber(limit), formatNumber(value), formatNumber(percent*value/limit), fits)
	}
	row("CPU, % of a core", percent*l.CPU, percent*nodeSum.CPU)
	row("memory, MB", l.Memory/megabyte, nodeSum.Memory/megabyte)
	row("KB/s, sent and received", l.Bytes/kilobyte, nodeSum.Bytes/kilobyte)
	row("store reads/s, all nodes and jobs", l.StoreReads, nodeSum.StoreReads+holderSum.StoreReads)
	row("store writes/s, all nodes and jobs", l.StoreWrites, nodeSum.StoreWrites+holderSum.StoreWrites)
	return text.String()
}

// eventTable returns a table with a row for each event. Its series aren't listed
// as sources.
func eventTable(s Size, m *costModel) string {
	var text strings.Builder
	text.WriteString("| event | work |\n|---|---|\n")
	for _, e := range events() {
		fmt.Fprintf(&text, "| %s | %s |\n", e.name, e.describe(s, m))
	}
	m.used = nil
	return text.String()
}

// pathTable compares the measured figures of the request path with the targets
// and with the load of a node at the size.
func pathTable(s Size, entry *figure.Set) (string, error) {
	var text strings.Builder
	text.WriteString("| quantity | measured, median (lowest–highest) | at the size, a node |\n|---|---|---|\n")
	rows := []struct{ name, series, atSize string }{
		{"added time, whole answer, p50, µs", "whole.adds_p50", "target 150"},
		{"added time, whole answer, p99, µs", "whole.adds_p99", "target 1,000"},
		{"added time, streamed answer, p50, µs", "streamed.adds_p50", "target 150"},
		{"added time, streamed answer, p99, µs", "streamed.adds_p99", "target 1,000"},
		{"tokens/s streamed, entry, caller and engine on one machine", "throughput.tokens", formatNumber(s.TokensPerSecond / s.Nodes)},
		{"memory added per open stream, B", "memory.per_stream", "–"},
	}
	for _, r := range rows {
		series, err := entry.Find(r.series)
		if err != nil {
			return "", err
		}
		low, median, high := series.Points[0].Range()
		fmt.Fprintf(&text, "| %s | %s (%s–%s) | %s |\n", r.name, formatNumber(median), formatNumber(low), formatNumber(high), r.atSize)
	}
	fmt.Fprintf(&text, "| requests/s | – | %s |\n", formatNumber(s.RequestsPerSecond/s.Nodes))
	fmt.Fprintf(&text, "| longest wait of an answer's end for its bill's segment, s | – | %s |\n", formatNumber(1/segmentsPerWriter(s.Nodes)))
	streamMemory, err := entry.Find("memory.per_stream")
	if err != nil {
		return "", err
	}
	fmt.Fprintf(&text, "| open streams, and their memory in MB | – | %s, %s |\n",
		formatNumber(s.OpenStreams()), formatNumber(s.OpenStreams()*streamMemory.Points[0].Median()/megabyte))
	return text.String(), nil
}

// formatNumber formats a value with three significant digits, and without
// decimals from 100 on.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// Replace returns the page with the tables inserted between their markers.
// Errors: ErrPage.
func Replace(page string, tables []Table) (string, error) {
	for _, t := range tables {
		begin, end := "<!-- begin "+t.Name+" -->\n", "<!-- end "+t.Name+" -->"
		before, rest, found := strings.Cut(page, begin)
		_, after, closed := strings.Cut(rest, end)
		if !found || !closed {
			return "", ErrPage.New("page has no begin or end marker for table %q", t.Name)
		}
		page = before + begin + t.Text + end + after
	}
	return page, nil
}

// Recompute returns the page with its tables recalculated from the figures in a
// directory. Errors: ErrPage, figure.ErrFile, figure.ErrMissing.
func Recompute(page, figures string) (string, error) {
	slopeSet, err := figure.Load(figures, slopes.SetName)
	if err != nil {
		return "", err
	}
	entrySet, err := figure.Load(figures, entrycost.SetName)
	if err != nil {
		return "", err
	}
	tables, err := Tables(FullSize(), FullLimits(), slopeSet, entrySet)
	if err != nil {
		return "", err
	}
	return Replace(page, tables)
}
