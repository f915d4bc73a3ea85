package timekeeper

import (
	"sync"
	"time"
)

const (
	maxSlew      = 100 * time.Millisecond // a larger difference between two readings is a jump
	adoptionTime = time.Minute            // a jump that lasts longer has corrected a wrong clock
	syncInterval = time.Second            // between two readings of the steady clock, which takes a system call
)

// Clock tells the time of day. It follows the machine's clock as long as that runs
// as fast as a steady clock. When the machine's clock jumps, Clock goes on at the
// steady rate; it adopts a jump that has not been taken back after a minute. Its
// methods may be called concurrently.
type Clock struct {
	wall      func() time.Time
	monotonic func() time.Duration
	steady    func() time.Duration

	mu       sync.Mutex
	base     time.Time     // time of day at baseAt
	baseAt   time.Duration // on the steady clock
	baseMono time.Duration // on the monotonic clock
	jump     time.Duration // by which the machine's clock is ahead since jumpedAt; 0 if it has not jumped
	jumpedAt time.Duration // on the steady clock
}

// New returns a clock. wall reads the machine's clock. monotonic and steady read
// clocks that never jump; steady keeps counting while the machine is suspended.
func New(wall func() time.Time, monotonic, steady func() time.Duration) *Clock {
	return &Clock{wall: wall, monotonic: monotonic, steady: steady, base: wall().Round(0), baseAt: steady(), baseMono: monotonic()}
}

// Now returns the time of day, without a monotonic reading.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall, mono := c.wall().Round(0), c.monotonic()-c.baseMono
	if c.jump == 0 && mono < syncInterval && (wall.Sub(c.base)-mono).Abs() <= maxSlew {
		return wall
	}
	steady := c.steady()
	now := c.base.Add(steady - c.baseAt)
	ahead := wall.Sub(now)
	switch {
	case ahead.Abs() <= maxSlew:
		c.jump = 0
	case (ahead - c.jump).Abs() > maxSlew: // a new jump
		c.jump, c.jumpedAt = ahead, steady
		return now
	case steady-c.jumpedAt < adoptionTime:
		return now
	}
	c.base, c.baseAt, c.baseMono, c.jump = wall, steady, c.monotonic(), 0
	return wall
}
