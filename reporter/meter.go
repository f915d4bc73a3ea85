package reporter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

const (
	// ShortWindow shows that a queue misses its objective now.
	ShortWindow = 5 * time.Minute
	// LongWindow shows that it is more than a short disturbance.
	LongWindow = time.Hour
	// Late is the cause of a good answer that came too late.
	Late classifier.Code = "late"
	// bucketTime is the resolution of the windows.
	bucketTime = 10 * time.Second
	buckets    = int(LongWindow / bucketTime)
	// maxQueues bounds the queues counted.
	maxQueues = 1024
)

type (
	// Meter counts the answers of one entry by queue. It is safe for
	// concurrent use.
	Meter struct {
		mu     sync.Mutex
		within map[string]time.Duration
		queues map[string]*ring
	}

	// ring is the buckets of one queue, the current one at its number modulo
	// the length.
	ring [buckets]bucket

	bucket struct {
		number int64 // of the bucket time since the epoch
		good   int
		bad    map[classifier.Code]int
	}

	// QueueCount is what was counted for one queue.
	QueueCount struct {
		Queue string `json:"queue"`
		Short Count  `json:"short"`
		Long  Count  `json:"long"`
	}

	// Count is the good answers of a window and the bad ones by cause.
	Count struct {
		Good int         `json:"good"`
		Bad  int         `json:"bad"`
		By   []CodeCount `json:"by,omitempty"` // most frequent first
	}

	// CodeCount is the number of bad answers with one cause.
	CodeCount struct {
		Code  classifier.Code `json:"code"`
		Count int             `json:"count"`
	}
)

// excused are the failures that callers cause themselves.
var excused = map[classifier.Code]bool{
	classifier.BadRequest:   true,
	classifier.Unauthorized: true,
	classifier.Forbidden:    true,
	classifier.UnknownQueue: true,
	classifier.NotFound:     true,
	classifier.NameMismatch: true,
	classifier.Cancelled:    true,
	classifier.NeverFits:    true,
	classifier.Conflict:     true,
}

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter {
	return &Meter{within: make(map[string]time.Duration), queues: make(map[string]*ring)}
}

// SetObjectives replaces the times within which the answers of queues are
// good. Queues without one have no late answers.
func (m *Meter) SetObjectives(within map[string]time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.within = maps.Clone(within)
}

// Answered counts an answer that came after took, with err nil for the whole
// answer. Failures that the caller caused are not counted.
func (m *Meter) Answered(now time.Time, queue string, took time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	code := classifier.Code("")
	if err != nil {
		code = classifier.As(err).Code
	}
	if excused[code] {
		return
	}
	if within, ok := m.within[queue]; err == nil && ok && took > within {
		code = Late
	}
	r, ok := m.queues[queue]
	if !ok {
		if len(m.queues) == maxQueues {
			return
		}
		r = &ring{}
		m.queues[queue] = r
	}
	r.at(now).count(code)
}

// Counts returns what was counted in both windows, sorted by queue.
func (m *Meter) Counts(now time.Time) []QueueCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	var counts []QueueCount
	for _, queue := range slices.Sorted(maps.Keys(m.queues)) {
		r := m.queues[queue]
		c := QueueCount{Queue: queue, Short: r.sum(now, ShortWindow), Long: r.sum(now, LongWindow)}
		if c.Long.total() > 0 {
			counts = append(counts, c)
		}
	}
	return counts
}

// Merge adds up the counts of several entries.
func Merge(entries ...[]QueueCount) []QueueCount {
	sums := make(map[string]QueueCount)
	for _, counts := range entries {
		for _, c := range counts {
			sum := sums[c.Queue]
			sum.Queue = c.Queue
			sum.Short = sum.Short.plus(c.Short)
			sum.Long = sum.Long.plus(c.Long)
			sums[c.Queue] = sum
		}
	}
	merged := make([]QueueCount, 0, len(sums))
	for _, queue := range slices.Sorted(maps.Keys(sums)) {
		merged = append(merged, sums[queue])
	}
	return merged
}

// at returns the bucket of now, emptied when it held an older time.
func (r *ring) at(now time.Time) *bucket {
	number := now.UnixNano() / int64(bucketTime)
	b := &r[number%int64(buckets)]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

func (r *ring) sum(now time.Time, window time.Duration) Count {
	newest := now.UnixNano() / int64(bucketTime)
	oldest := newest - int64(window/bucketTime) + 1
	good, bad := 0, make(map[classifier.Code]int)
	for _, b := range r {
		if b.number < oldest || b.number > newest {
			continue
		}
		good += b.good
		for code, n := range b.bad {
			bad[code] += n
		}
	}
	return countOf(good, bad)
}

func (b *bucket) count(code classifier.Code) {
	if code == "" {
		b.good++
		return
	}
	if b.bad == nil {
		b.bad = make(map[classifier.Code]int)
	}
	b.bad[code]++
}

func countOf(good int, bad map[classifier.Code]int) Count {
	c := Count{Good: good}
	for code, n := range bad {
		c.Bad += n
		c.By = append(c.By, CodeCount{Code: code, Count: n})
	}
	slices.SortFunc(c.By, func(a, b CodeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code))
	})
	return c
}

func (c Count) total() int {
	return c.Good + c.Bad
}

func (c Count) plus(d Count) Count {
	bad := make(map[classifier.Code]int)
	for _, by := range [][]CodeCount{c.By, d.By} {
		for _, n := range by {
			bad[n.Code] += n.Count
		}
	}
	return countOf(c.Good+d.Good, bad)
}
