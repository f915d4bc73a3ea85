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
	// ShortWindow is the window that shows whether a queue misses its objective
	// now.
	ShortWindow = 5 * time.Minute
	// LongWindow is the window that shows whether a queue has missed its objective
	// for long, and not only during a short disturbance.
	LongWindow = time.Hour
	// Late is the cause of a successful answer that took longer than the
	// objective allows.
	Late classifier.Code = "late"
	// bucketDuration is the resolution of the windows.
	bucketDuration = 10 * time.Second
	buckets        = int(LongWindow / bucketDuration)
	// maxQueues limits the memory of a Meter. Answers of further queues are not
	// counted.
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

	// ring counts the answers of one queue in the buckets of the long window. A
	// bucket is at the index of its number modulo the length of the ring, so a new
	// bucket replaces the one that has just left the window.
	ring [buckets]bucket

	bucket struct {
		number int64 // start of the bucket, in bucket durations since the Unix epoch
		good   int
		bad    map[classifier.Code]int
	}

	// QueueCount holds the counts of one queue in both windows.
	QueueCount struct {
		Queue string `json:"queue"`
		Short Count  `json:"short"`
		Long  Count  `json:"long"`
	}

	// Count is the number of good and bad answers in a window.
	Count struct {
		Good int         `json:"good"`
		Bad  int         `json:"bad"`
		By   []CodeCount `json:"by,omitempty"` // bad answers by cause, most frequent first
	}

	// CodeCount is the number of bad answers with one cause, which is a failure
	// code or Late.
	CodeCount struct {
		Code  classifier.Code `json:"code"`
		Count int             `json:"count"`
	}
)

// callerFaults are the codes of failures that callers cause themselves.
var callerFaults = map[classifier.Code]bool{
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

// NewMeter returns an empty meter without objectives.
func NewMeter() *Meter {
	return &Meter{within: make(map[string]time.Duration), queues: make(map[string]*ring)}
}

// SetObjectives replaces the maximum answer times by queue. Answers of queues
// without one never count as late.
func (m *Meter) SetObjectives(within map[string]time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.within = maps.Clone(within)
}

// RecordAnswer counts an answer that took the given time; err is nil for a successful
// one. Failures that the caller caused are not counted.
func (m *Meter) RecordAnswer(now time.Time, queue string, took time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	code := classifier.Code("")
	if err != nil {
		code = classifier.As(err).Code
	}
	if callerFaults[code] {
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
	r.bucketAt(now).countAnswer(code)
}

// Counts returns the counts of all queues with answers in the long window, sorted
// by queue.
func (m *Meter) Counts(now time.Time) []QueueCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	var counts []QueueCount
	for _, queue := range slices.Sorted(maps.Keys(m.queues)) {
		r := m.queues[queue]
		c := QueueCount{Queue: queue, Short: r.countWithin(now, ShortWindow), Long: r.countWithin(now, LongWindow)}
		if c.Long.total() > 0 {
			counts = append(counts, c)
		}
	}
	return counts
}

// MergeCounts adds up the counts of several entries for each queue.
func MergeCounts(entries ...[]QueueCount) []QueueCount {
	sums := make(map[string]QueueCount)
	for _, counts := range entries {
		for _, c := range counts {
			sum := sums[c.Queue]
			sum.Queue = c.Queue
			sum.Short = sum.Short.addCount(c.Short)
			sum.Long = sum.Long.addCount(c.Long)
			sums[c.Queue] = sum
		}
	}
	merged := make([]QueueCount, 0, len(sums))
	for _, queue := range slices.Sorted(maps.Keys(sums)) {
		merged = append(merged, sums[queue])
	}
	return merged
}

// bucketAt returns the bucket for the time now. It resets a bucket that was used
// for an older time.
func (r *ring) bucketAt(now time.Time) *bucket {
	number := now.UnixNano() / int64(bucketDuration)
	b := &r[number%int64(buckets)]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

func (r *ring) countWithin(now time.Time, window time.Duration) Count {
	newest := now.UnixNano() / int64(bucketDuration)
	oldest := newest - int64(window/bucketDuration) + 1
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
	return newCount(good, bad)
}

func (b *bucket) countAnswer(code classifier.Code) {
	if code == "" {
		b.good++
		return
	}
	if b.bad == nil {
		b.bad = make(map[classifier.Code]int)
	}
	b.bad[code]++
}

func newCount(good int, bad map[classifier.Code]int) Count {
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

func (c Count) addCount(d Count) Count {
	bad := make(map[classifier.Code]int)
	for _, by := range [][]CodeCount{c.By, d.By} {
		for _, n := range by {
			bad[n.Code] += n.Count
		}
	}
	return newCount(c.Good+d.Good, bad)
}
