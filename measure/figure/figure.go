// Package figure contains measured figures: series of repeated measurements at
// several sizes, linear fits of series, and JSON files of figures.
package figure

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"gonum.org/v1/gonum/stat"
)

var namespace = errorx.NewNamespace("figure")

var (
	// ErrFile reports a figure file that can't be read or written.
	ErrFile = namespace.NewType("file")
	// ErrMissing reports a series that a set doesn't contain.
	ErrMissing = namespace.NewType("missing")
)

const figureFileMode = 0o644

// Machine describes the machine on which figures were measured.
type Machine struct {
	Cores int    `json:"cores"`
	OS    string `json:"os"`
	Arch  string `json:"arch"`
	Go    string `json:"go"`
}

// ThisMachine describes the running machine.
func ThisMachine() Machine {
	return Machine{Cores: runtime.NumCPU(), OS: runtime.GOOS, Arch: runtime.GOARCH, Go: runtime.Version()}
}

// Point contains the repeated measurements at one size.
type Point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// Median returns the median of the values, or 0 if there are none.
func (p Point) Median() float64 {
	sorted := slices.Sorted(slices.Values(p.Values))
	if len(sorted) == 0 {
		return 0
	}
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Series is one quantity measured at several sizes.
type Series struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// SizeName is the quantity that sizes count, such as "nodes".
	SizeName string  `json:"of"`
	Points   []Point `json:"points"`
}

// Add adds one measurement at a size.
func (s *Series) Add(size, value float64) {
	for i := range s.Points {
		if s.Points[i].Size == size {
			s.Points[i].Values = append(s.Points[i].Values, value)
			return
		}
	}
	s.Points = append(s.Points, Point{Size: size, Values: []float64{value}})
}

// Line is a straight line fitted to a series.
type Line struct {
	Intercept, Slope float64
	// MinSize and MaxSize are the smallest and the largest measured size.
	MinSize, MaxSize float64
	// Spread is the maximum absolute deviation of a measured value from the line,
	// relative to the maximum of the line over the measured sizes.
	Spread float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

// Fit returns the least-squares line through all values of the series. For a
// series with a single size, the line is constant at the mean of the values. For
// an empty series it is zero.
func (s *Series) Fit() Line {
	var sizes, values []float64
	for _, p := range s.Points {
		for _, v := range p.Values {
			sizes = append(sizes, p.Size)
			values = append(values, v)
		}
	}
	if len(sizes) == 0 {
		return Line{}
	}
	line := Line{MinSize: slices.Min(sizes), MaxSize: slices.Max(sizes)}
	if line.MinSize == line.MaxSize {
		line.Intercept = stat.Mean(values, nil)
	} else {
		line.Intercept, line.Slope = stat.LinearRegression(sizes, values, nil, false)
	}
	line.Spread = relativeSpread(line, sizes, values)
	return line
}

// relativeSpread returns the Spread of a line, or 0 if the line isn't positive at
// either end of the measured sizes.
func relativeSpread(line Line, sizes, values []float64) float64 {
	scale := max(line.At(line.MinSize), line.At(line.MaxSize))
	if scale <= 0 {
		return 0
	}
	maxDistance := 0.0
	for i, size := range sizes {
		distance := values[i] - line.At(size)
		maxDistance = max(maxDistance, distance, -distance)
	}
	return maxDistance / scale
}

// Set contains the figures of one measurement command.
type Set struct {
	// Name is the name of the file without extension.
	Name string `json:"name"`
	// Command is the command line that measures the figures.
	Command string   `json:"command"`
	Machine Machine  `json:"machine"`
	Series  []Series `json:"series"`
}

// GetOrAdd returns the series with the name. If there is none, it adds an empty
// one with the unit and the sizeName. The pointer is valid until the next series
// is added.
func (s *Set) GetOrAdd(name, unit, sizeName string) *Series {
	for i := range s.Series {
		if s.Series[i].Name == name {
			return &s.Series[i]
		}
	}
	s.Series = append(s.Series, Series{Name: name, Unit: unit, SizeName: sizeName})
	return &s.Series[len(s.Series)-1]
}

// Find returns the series with the name. Errors: ErrMissing.
func (s *Set) Find(name string) (*Series, error) {
	for i := range s.Series {
		if s.Series[i].Name == name {
			return &s.Series[i], nil
		}
	}
	return nil, ErrMissing.New("no series %q in set %q", name, s.Name)
}

// Save writes the set to the file Name.json in dir. Errors: ErrFile.
func (s *Set) Save(dir string) error {
	body, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return ErrFile.Wrap(err, "could not encode set %q", s.Name)
	}
	if err := os.WriteFile(filepath.Join(dir, s.Name+".json"), append(body, '\n'), figureFileMode); err != nil {
		return ErrFile.Wrap(err, "could not write set %q", s.Name)
	}
	return nil
}

// Load reads the set with the name from dir. Errors: ErrFile.
func Load(dir, name string) (*Set, error) {
	body, err := os.ReadFile(filepath.Join(dir, name+".json"))
	if err != nil {
		return nil, ErrFile.Wrap(err, "could not read set %q", name)
	}
	var s Set
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, ErrFile.Wrap(err, "could not decode set %q", name)
	}
	return &s, nil
}

// Drop removes all series of the named mechanisms. The name of a series is that
// of its mechanism, a dot and the quantity.
func (s *Set) Drop(mechanisms []string) {
	s.Series = slices.DeleteFunc(s.Series, func(series Series) bool {
		mechanism, _, _ := strings.Cut(series.Name, ".")
		return slices.Contains(mechanisms, mechanism)
	})
}

// Range returns the minimum, the median and the maximum of the values, or zeros if
// there are none.
func (p Point) Range() (low, median, high float64) {
	if len(p.Values) == 0 {
		return 0, 0, 0
	}
	return slices.Min(p.Values), p.Median(), slices.Max(p.Values)
}
