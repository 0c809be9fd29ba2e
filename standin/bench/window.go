package bench

// Sample has the totals of first attempts, and of hedges and retries (Extra), up to a
// point in time.
type Sample struct{ First, Extra int64 }

// Window has the first attempts, and the hedges and retries, between two samples.
type Window struct{ First, Extra int64 }

// Share returns the hedges and retries per first attempt.
func (w Window) Share() float64 {
	if w.First == 0 {
		return 0
	}
	return float64(w.Extra) / float64(w.First)
}

// WorstWindow returns the window with the largest share. For each sample it considers
// the shortest window from there that has at least size first attempts. If there is
// none, it returns the whole series.
func WorstWindow(samples []Sample, size int64) Window {
	if len(samples) == 0 {
		return Window{}
	}
	first, last := samples[0], samples[len(samples)-1]
	worst := Window{last.First - first.First, last.Extra - first.Extra}
	found := false
	j := 0
	for i := range samples {
		for j < len(samples) && samples[j].First-samples[i].First < size {
			j++
		}
		if j == len(samples) {
			break
		}
		w := Window{samples[j].First - samples[i].First, samples[j].Extra - samples[i].Extra}
		if !found || w.Share() > worst.Share() {
			worst, found = w, true
		}
	}
	return worst
}
