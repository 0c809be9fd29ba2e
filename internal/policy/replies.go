package policy

import "slices"

// Disjoint chooses, from sets of shards, sets that have no shard in common and hold many
// shards together, and returns their indexes in increasing order. Leaves merge what their
// replicas answer, so that of two answers with a shard in common only one can be used.
func Disjoint(sets [][]int) []int {
	order := make([]int, len(sets))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return len(sets[b]) - len(sets[a]) })
	covered := map[int]bool{}
	var chosen []int
	for _, i := range order {
		if len(sets[i]) == 0 || slices.ContainsFunc(sets[i], func(shard int) bool { return covered[shard] }) {
			continue
		}
		for _, shard := range sets[i] {
			covered[shard] = true
		}
		chosen = append(chosen, i)
	}
	slices.Sort(chosen)
	return chosen
}
