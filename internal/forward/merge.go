package forward

import (
	"bytes"
	"container/heap"
)

// recordSize is the size of one record in bytes.
const recordSize = 16

// topRecords keeps the greatest records that were added, up to limit, in
// bytewise order. Equal records are not deduplicated.
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

// add adds the records of one shard's body. A trailing fragment shorter than a
// record is ignored.
func (t *topRecords) add(body []byte) {
	for ; len(body) >= recordSize; body = body[recordSize:] {
		record := body[:recordSize]
		switch {
		case len(t.records) < t.limit:
			heap.Push(t, record)
		case t.limit > 0 && bytes.Compare(record, t.records[0]) > 0:
			t.records[0] = record
			heap.Fix(t, 0)
		}
	}
}

// descending removes all records and returns them, the greatest first.
func (t *topRecords) descending() []byte {
	out := make([]byte, len(t.records)*recordSize)
	for i := len(t.records) - 1; i >= 0; i-- {
		copy(out[i*recordSize:], heap.Pop(t).([]byte))
	}
	return out
}
