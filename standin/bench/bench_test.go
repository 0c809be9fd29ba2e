package bench

import (
	"math"
	"testing"
)

// Guards against a fit that swaps slope and intercept, or whose residual does not
// show scattered points.
func TestFitLine(t *testing.T) {
	f := FitLine([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-3) > 1e-9 || f.Residual > 1e-9 {
		t.Errorf("exact line: %+v", f)
	}
	f = FitLine([]float64{0, 0, 2, 2}, []float64{1, 3, 5, 7})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-2) > 1e-9 || math.Abs(f.Residual-1) > 1e-9 {
		t.Errorf("scattered line: %+v", f)
	}
	if f = FitLine([]float64{3, 3}, []float64{1, 5}); f.Slope != 0 || f.Intercept != 3 {
		t.Errorf("one x: %+v", f)
	}
}

// Guards against a burst of hedges and retries that stays hidden in the average of
// the whole series, and against windows that are shorter than asked for.
func TestWorstWindow(t *testing.T) {
	series := []Sample{{0, 0}, {1000, 0}, {2000, 10}, {3000, 200}, {4000, 300}, {9000, 300}}
	if w := WorstWindow(series, 2000); w.FirstAttempts != 2000 || w.Repeats != 290 {
		t.Errorf("worst window %+v, want 290 of 2000", w)
	}
	if w := WorstWindow(series, 20000); w.FirstAttempts != 9000 || w.Repeats != 300 {
		t.Errorf("short series %+v, want the whole series", w)
	}
	if w := WorstWindow(nil, 1); w.Share() != 0 {
		t.Errorf("empty series %+v", w)
	}
}

// Guards against an upper bound that is treated as a lower one or the reverse, and
// against a verdict without a baseline or a bound.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		row  Row
		want string
	}{
		{Row{Value: 4, Baseline: 10, Bound: AtMost(0.5)}, "met"},
		{Row{Value: 6, Baseline: 10, Bound: AtMost(0.5)}, "missed"},
		{Row{Value: 9, Baseline: 10, Bound: AtLeast(0.9)}, "met"},
		{Row{Value: 8, Baseline: 10, Bound: AtLeast(0.9)}, "missed"},
		{Row{Value: 8, Baseline: 0, Bound: AtMost(0.9)}, "no baseline"},
		{Row{Value: 8, Baseline: 10}, "-"},
	} {
		if got := c.row.withVerdict().Verdict; got != c.want {
			t.Errorf("%+v: %s, want %s", c.row, got, c.want)
		}
	}
}
