// Package figure holds measured figures: series of repeated measurements at
// several sizes, their straight-line fits, and their JSON files.
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
	// ErrMissing reports a series that the figures do not have.
	ErrMissing = namespace.NewType("missing")
)

const filePermission = 0o644

// Machine describes where figures were taken.
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

// Point is the repeated measurements at one size.
type Point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// Median returns the middle value.
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
	// Of names the size, such as "nodes".
	Of     string  `json:"of"`
	Points []Point `json:"points"`
}

// Add records one measurement.
func (s *Series) Add(size, value float64) {
	for i := range s.Points {
		if s.Points[i].Size == size {
			s.Points[i].Values = append(s.Points[i].Values, value)
			return
		}
	}
	s.Points = append(s.Points, Point{Size: size, Values: []float64{value}})
}

// Line is a straight line through a series, with its quality.
type Line struct {
	Intercept, Slope float64
	// Low and High bound the sizes that were measured.
	Low, High float64
	// Spread is the greatest distance of a measured value from the line,
	// relative to the greatest value that the line takes over the range.
	Spread float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

// Fit returns the least-squares line through all values of the series. A
// series of one size gives a constant.
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
	line := Line{Low: slices.Min(sizes), High: slices.Max(sizes)}
	if line.Low == line.High {
		line.Intercept = stat.Mean(values, nil)
	} else {
		line.Intercept, line.Slope = stat.LinearRegression(sizes, values, nil, false)
	}
	line.Spread = spread(line, sizes, values)
	return line
}

func spread(line Line, sizes, values []float64) float64 {
	scale := max(line.At(line.Low), line.At(line.High))
	if scale <= 0 {
		return 0
	}
	greatest := 0.0
	for i, size := range sizes {
		distance := values[i] - line.At(size)
		greatest = max(greatest, distance, -distance)
	}
	return greatest / scale
}

// Set is the figures of one measuring command.
type Set struct {
	// Name is the file's name without its extension.
	Name    string   `json:"name"`
	Command string   `json:"command"`
	Machine Machine  `json:"machine"`
	Series  []Series `json:"series"`
}

// Get returns a series by name, adding it if it is absent.
func (s *Set) Get(name, unit, of string) *Series {
	for i := range s.Series {
		if s.Series[i].Name == name {
			return &s.Series[i]
		}
	}
	s.Series = append(s.Series, Series{Name: name, Unit: unit, Of: of})
	return &s.Series[len(s.Series)-1]
}

// Find returns a series by name. Errors: ErrMissing.
func (s *Set) Find(name string) (*Series, error) {
	for i := range s.Series {
		if s.Series[i].Name == name {
			return &s.Series[i], nil
		}
	}
	return nil, ErrMissing.New("series %q in %q", name, s.Name)
}

// Save writes the set to dir. Errors: ErrFile.
func (s *Set) Save(dir string) error {
	body, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return ErrFile.Wrap(err, "encode %q", s.Name)
	}
	if err := os.WriteFile(filepath.Join(dir, s.Name+".json"), append(body, '\n'), filePermission); err != nil {
		return ErrFile.Wrap(err, "write %q", s.Name)
	}
	return nil
}

// Load reads the set with the name from dir. Errors: ErrFile.
func Load(dir, name string) (*Set, error) {
	body, err := os.ReadFile(filepath.Join(dir, name+".json"))
	if err != nil {
		return nil, ErrFile.Wrap(err, "read %q", name)
	}
	var s Set
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, ErrFile.Wrap(err, "decode %q", name)
	}
	return &s, nil
}

// Drop removes the series of the named mechanisms, whose names they begin with.
func (s *Set) Drop(mechanisms []string) {
	s.Series = slices.DeleteFunc(s.Series, func(series Series) bool {
		mechanism, _, _ := strings.Cut(series.Name, ".")
		return slices.Contains(mechanisms, mechanism)
	})
}

// Range returns the lowest, the middle and the highest value.
func (p Point) Range() (low, median, high float64) {
	if len(p.Values) == 0 {
		return 0, 0, 0
	}
	return slices.Min(p.Values), p.Median(), slices.Max(p.Values)
}
