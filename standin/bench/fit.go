// Package bench has what the scenarios of the benchmark share: deployments with
// chosen settings, loads, readings of processes and metrics, statistics and the
// report. It is test code and never shipped.
package bench

import "math"

// Fit is a least-squares line y = Intercept + Slope·x. Residual is the root
// mean square distance of the points from the line, in the unit of y.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Residual  float64 `json:"residual"`
}

// FitLine fits a line. If all x are equal, the slope is zero.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	if n == 0 || len(x) != len(y) {
		return Fit{}
	}
	var mx, my, sxx, sxy float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
	}
	f := Fit{Intercept: my}
	if sxx > 0 {
		f.Slope = sxy / sxx
		f.Intercept = my - f.Slope*mx
	}
	var sum float64
	for i := range x {
		d := y[i] - f.Intercept - f.Slope*x[i]
		sum += d * d
	}
	f.Residual = math.Sqrt(sum / n)
	return f
}
