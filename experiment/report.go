package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/joomcode/errorx"
	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

var ns = errorx.NewNamespace("experiment")

// ErrReport is the type of the errors returned when a table, a JSON file or a
// figure cannot be produced or written.
var ErrReport = ns.NewType("report")

// Summary is the distribution of one measure over several seeds. StdDev is the
// sample standard deviation, or 0 for a single seed.
type Summary struct {
	Mean   float64 `json:"mean"`
	StdDev float64 `json:"std_dev"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Runs   int     `json:"runs"`
}

// Summarise returns the Summary of the values, one for each seed. Without
// values it returns the zero Summary.
func Summarise(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	s := Summary{
		Mean: stat.Mean(values, nil),
		Min:  floats.Min(values),
		Max:  floats.Max(values),
		Runs: len(values),
	}
	if len(values) > 1 {
		s.StdDev = stat.StdDev(values, nil)
	}
	return s
}

// String formats the summary as "mean [min, max]", with four significant digits.
func (s Summary) String() string {
	return fmt.Sprintf("%.4g [%.4g, %.4g]", s.Mean, s.Min, s.Max)
}

// Table writes the header and the rows to w in aligned columns. Errors: ErrReport.
func Table(w io.Writer, header []string, rows [][]string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow(tw, header)
	for _, row := range rows {
		writeRow(tw, row)
	}
	if err := tw.Flush(); err != nil {
		return ErrReport.Wrap(err, "write table")
	}
	return nil
}

func writeRow(w io.Writer, cells []string) {
	for _, cell := range cells {
		_, _ = fmt.Fprintf(w, "%s\t", cell)
	}
	_, _ = fmt.Fprintln(w)
}

// WriteJSON writes v, indented, to dir/name.json. It creates dir if it does not
// exist. Errors: ErrReport.
func WriteJSON(dir, name string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return ErrReport.Wrap(err, "encode %s as JSON", name)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return ErrReport.Wrap(err, "create directory %s", dir)
	}
	if err := os.WriteFile(filepath.Join(dir, name+".json"), append(text, '\n'), 0o644); err != nil {
		return ErrReport.Wrap(err, "write %s.json", name)
	}
	return nil
}
