package capacity

import (
	"fmt"
	"strings"

	"github.com/poplarshore/poplarshore/measure/figure"
)

// costModel evaluates the fitted lines of measured series and records which
// series were used. The first failed lookup makes all results invalid: callers
// check err at the end.
type costModel struct {
	set  *figure.Set
	used []string
	err  error
}

// at returns the value of a series' line at a size. No line is extrapolated
// below the smallest measured size, and a falling line isn't extrapolated at all:
// its value at the smallest measured size applies.
func (m *costModel) at(series string, size float64) float64 {
	line := m.line(series)
	if line.Slope < 0 {
		return line.At(line.MinSize)
	}
	return line.At(max(size, line.MinSize))
}

// slope returns the increase of a series' line for each additional unit of size.
func (m *costModel) slope(series string) float64 {
	return m.line(series).Slope
}

// line fits the named series and records its use.
func (m *costModel) line(name string) figure.Line {
	series, err := m.set.Find(name)
	if err != nil {
		m.err = err
		return figure.Line{}
	}
	line := series.Fit()
	m.used = append(m.used, fmt.Sprintf("`%s` %g–%g %s ±%.0f%%", name, line.MinSize, line.MaxSize, series.SizeName, percent*line.Spread))
	return line
}

// sources returns the series used since the last call, each with its range of
// measured sizes and its spread.
func (m *costModel) sources() string {
	text := strings.Join(m.used, "; ")
	m.used = nil
	return text
}
