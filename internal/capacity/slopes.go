// Package capacity measures the resource use of each role on one machine, per call,
// backend server, configuration change and replication group, and computes from these
// slopes the resources that the system needs at its target size.
package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// SlopeName identifies a slope.
type SlopeName string

// Slope is one measured quantity: the growth of a resource's use per call, program,
// server and so on, or a fixed amount such as the memory of an idle process.
type Slope struct {
	Name     SlopeName `json:"name"`
	Unit     string    `json:"unit"`
	Value    float64   `json:"value"`
	Sizes    []float64 `json:"sizes"`    // sizes at which the readings were taken
	Readings []float64 `json:"readings"` // one per size; with a single size, one per repetition or their quartiles
	Method   string    `json:"method"`   // how it was measured, for the tables
}

// Report holds the slopes of a measurement and the conditions on the machine.
type Report struct {
	Date        string   `json:"date"`
	Cores       int      `json:"cores"`
	LoadBefore  string   `json:"load_before"` // load averages of the machine over 1, 5 and 15 minutes
	LoadAfter   string   `json:"load_after"`
	Slopes      []Slope  `json:"slopes"`
	NotMeasured []string `json:"not_measured,omitempty"` // failed parts with their errors
}

// ErrNoSlope is returned for a slope that a report does not contain.
var ErrNoSlope = errors.New("capacity: no such slope")

// Load reads a report from a JSON file.
func Load(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: read slopes: %w", err)
	}
	r := new(Report)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("capacity: decode %s: %w", path, err)
	}
	return r, nil
}

// Save writes the report to a JSON file.
func (r *Report) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("capacity: encode slopes: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// Merge adds the slopes and failures of a later report. Slopes of the same name are
// replaced; the date, the number of cores and the earlier load averages are kept.
func (r *Report) Merge(later *Report) {
	kept := slices.DeleteFunc(r.Slopes, func(s Slope) bool {
		_, err := later.Get(s.Name)
		return err == nil
	})
	r.Slopes = append(kept, later.Slopes...)
	r.NotMeasured = append(r.NotMeasured, later.NotMeasured...)
	r.LoadAfter = later.LoadAfter
}

// Get returns the value of a slope, or an error that wraps ErrNoSlope.
func (r *Report) Get(name SlopeName) (float64, error) {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s.Value, nil
		}
	}
	return 0, fmt.Errorf("%w: %s", ErrNoSlope, name)
}

// Line is a straight line y = Slope*x + Intercept.
type Line struct {
	Slope, Intercept float64
}

// Fit returns the least-squares line through the points (x[i], y[i]). At least two
// values of x must differ.
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

// median returns the middle value, the upper one of an even number of values, or 0
// if there are none.
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
