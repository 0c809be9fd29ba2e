package forward

import (
	"bytes"
	"container/heap"
)

// recordSize is the size of one record in bytes.
const recordSize = 16

// topRecords keeps the greatest records that were added, compared byte by byte.
// Equal records all count.
type topRecords struct {
	limit   int
	records [][]byte // min-heap
}

func (t *topRecords) Len() int           { return len(t.records) }
func (t *topRecords) Less(i, j int) bool { return bytes.Compare(t.records[i], t.records[j]) < 0 }
func (t *topRecords) Swap(i, j int)      { t.records[i], t.records[j] = t.records[j], t.records[i] }

// Push implements heap.Interface.
func (t *topRecords) Push(x any) { t.records = append(t.records, x.([]byte)) }

// Pop implements heap.Interface.
func (t *topRecords) Pop() any {
	last := t.records[len(t.records)-1]
	t.records = t.records[:len(t.records)-1]
	return last
}

// add adds the records of one part. A remainder shorter than a record is not
// one.
func (t *topRecords) add(part []byte) {
	for ; len(part) >= recordSize; part = part[recordSize:] {
		record := part[:recordSize]
		switch {
		case len(t.records) < t.limit:
			heap.Push(t, record)
		case t.limit > 0 && bytes.Compare(record, t.records[0]) > 0:
			t.records[0] = record
			heap.Fix(t, 0)
		}
	}
}

// falling returns the records, the greatest first.
func (t *topRecords) falling() []byte {
	out := make([]byte, len(t.records)*recordSize)
	for i := len(t.records) - 1; i >= 0; i-- {
		copy(out[i*recordSize:], heap.Pop(t).([]byte))
	}
	return out
}
