package bench

// Sample has the totals of first attempts and of repeats (hedges and retries) up to a
// point in time.
type Sample struct{ FirstAttempts, Repeats int64 }

// Window has the first attempts and the repeats between two samples.
type Window struct{ FirstAttempts, Repeats int64 }

// Share returns the repeats per first attempt.
func (w Window) Share() float64 {
	if w.FirstAttempts == 0 {
		return 0
	}
	return float64(w.Repeats) / float64(w.FirstAttempts)
}

// WorstWindow returns the window with the largest share. For each sample it considers
// the shortest window from there that has at least size first attempts. If there is
// none, it returns the whole series.
func WorstWindow(samples []Sample, size int64) Window {
	if len(samples) == 0 {
		return Window{}
	}
	first, last := samples[0], samples[len(samples)-1]
	worst := Window{last.FirstAttempts - first.FirstAttempts, last.Repeats - first.Repeats}
	found := false
	j := 0
	for i := range samples {
		for j < len(samples) && samples[j].FirstAttempts-samples[i].FirstAttempts < size {
			j++
		}
		if j == len(samples) {
			break
		}
		w := Window{samples[j].FirstAttempts - samples[i].FirstAttempts, samples[j].Repeats - samples[i].Repeats}
		if !found || w.Share() > worst.Share() {
			worst, found = w, true
		}
	}
	return worst
}
