package capacity

import (
	"fmt"
	"strings"

	"github.com/poplarshore/poplarshore/measure/figure"
)

// measured looks up fitted lines and remembers which ones were used.
type measured struct {
	set  *figure.Set
	used []string
	err  error
}

// at returns the value of a series' line at a size. A line that falls is not
// followed beyond what was measured, and no line below it.
func (m *measured) at(series string, size float64) float64 {
	line := m.line(series)
	if line.Slope < 0 {
		return line.At(line.Low)
	}
	return line.At(max(size, line.Low))
}

// slope returns the growth of a series for one more.
func (m *measured) slope(series string) float64 {
	return m.line(series).Slope
}

func (m *measured) line(name string) figure.Line {
	series, err := m.set.Find(name)
	if err != nil {
		m.err = err
		return figure.Line{}
	}
	line := series.Fit()
	m.used = append(m.used, fmt.Sprintf("`%s` %g–%g %s ±%.0f%%", name, line.Low, line.High, series.Of, percent*line.Spread))
	return line
}

// sources returns the series used since the last call, with range and spread.
func (m *measured) sources() string {
	text := strings.Join(m.used, "; ")
	m.used = nil
	return text
}
