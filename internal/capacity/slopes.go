// Package capacity measures on one machine what each role spends for each call,
// server, change and group, and works out from these slopes what the system
// needs at its target size.
package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// Name identifies a slope.
type Name string

// Slope is one measured rate of growth.
type Slope struct {
	Name     Name      `json:"name"`
	Unit     string    `json:"unit"`
	Value    float64   `json:"value"`
	Sizes    []float64 `json:"sizes"`    // at which was measured
	Readings []float64 `json:"readings"` // one for each size, or one for each repeat when there is one size
	Method   string    `json:"method"`
}

// Report is a set of slopes from one run.
type Report struct {
	Date        string   `json:"date"`
	Cores       int      `json:"cores"`
	LoadBefore  string   `json:"load_before"` // load averages of the machine over 1, 5 and 15 minutes
	LoadAfter   string   `json:"load_after"`
	Slopes      []Slope  `json:"slopes"`
	NotMeasured []string `json:"not_measured,omitempty"` // measurements that failed, and why
}

// ErrNoSlope says that a document lacks a slope.
var ErrNoSlope = errors.New("capacity: no such slope")

// Load reads a document.
func Load(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: read slopes: %w", err)
	}
	d := new(Report)
	if err := json.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("capacity: decode %s: %w", path, err)
	}
	return d, nil
}

// Save writes the document.
func (d *Report) Save(path string) error {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return fmt.Errorf("capacity: encode slopes: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// Merge takes the slopes of a later measurement of some parts.
func (d *Report) Merge(later *Report) {
	kept := slices.DeleteFunc(d.Slopes, func(s Slope) bool {
		_, err := later.Get(s.Name)
		return err == nil
	})
	d.Slopes = append(kept, later.Slopes...)
	d.NotMeasured = append(d.NotMeasured, later.NotMeasured...)
	d.LoadAfter = later.LoadAfter
}

// Get returns the value of a slope, or ErrNoSlope.
func (d *Report) Get(name Name) (float64, error) {
	for _, s := range d.Slopes {
		if s.Name == name {
			return s.Value, nil
		}
	}
	return 0, fmt.Errorf("%w: %s", ErrNoSlope, name)
}

// Line is a straight line through points.
type Line struct {
	Slope, Intercept float64
}

// Fit returns the least-squares line through points. It needs two different
// sizes at least.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var sumX, sumY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
	}
	meanX, meanY := sumX/n, sumY/n
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	slope := covariance / variance
	return Line{Slope: slope, Intercept: meanY - slope*meanX}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := sortedCopy(values)
	return sorted[len(sorted)/2]
}

func sortedCopy(values []float64) []float64 {
	return slices.Sorted(slices.Values(values))
}
