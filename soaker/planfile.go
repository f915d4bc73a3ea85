package soaker

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// Plan describes a run whose faults are given instead of drawn.
type Plan struct {
	Duration    time.Duration // time in which callers submit jobs
	TaskTime    time.Duration // of each task
	JobInterval time.Duration // mean time between two jobs of a caller
	Faults      []Fault       // by time
}

// ParsePlan parses a plan. A line has a setting, such as "duration 30s", "task-time 3s" or
// "job-interval 1s", or a fault with its time, kind, count, target and duration:
//
//	fault 23.9s worker-gone count 4 target 0
//	fault 24s leader-kill
//	fault 25s store-slow for 2s
//
// The remainder of a line after # is a comment.
func ParsePlan(r io.Reader) (*Plan, error) {
	p := &Plan{TaskTime: minTaskTime, JobInterval: meanJobInterval}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if words := strings.Fields(text); len(words) > 0 {
			if err := p.parseLine(words); err != nil {
				return nil, errors.Annotatef(err, "line %d of the plan", n)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Trace(err)
	}
	if p.Duration <= 0 || p.TaskTime <= 0 || p.JobInterval <= 0 {
		return nil, errors.NotValidf("plan (duration %s, task-time %s, job-interval %s; all must be above 0)", p.Duration, p.TaskTime, p.JobInterval)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p, nil
}

// parseLine adds the setting or fault of a line.
func (p *Plan) parseLine(words []string) error {
	if len(words) < 2 {
		return errors.NotValidf("%q (a value is missing)", words[0])
	}
	d, err := time.ParseDuration(words[1])
	if err != nil {
		return errors.NotValidf("%s %q (write a duration such as 2.5s)", words[0], words[1])
	}
	switch words[0] {
	case "duration":
		p.Duration = d
	case "task-time":
		p.TaskTime = d
	case "job-interval":
		p.JobInterval = d
	case "fault":
		return p.parseFault(Fault{At: d}, words[2:])
	default:
		return errors.NotValidf("%q (choose from duration, task-time, job-interval and fault)", words[0])
	}
	return nil
}

// parseFault adds a fault whose kind and details are given.
func (p *Plan) parseFault(f Fault, words []string) error {
	if len(words) == 0 || !slices.Contains(Kinds(), Kind(words[0])) {
		return errors.NotValidf("kind of the fault at %s (choose from %v)", f.At, Kinds())
	}
	f.Kind = Kind(words[0])
	if len(words)%2 == 0 {
		return errors.NotValidf("%q of the fault at %s (its value is missing)", words[len(words)-1], f.At)
	}
	for pair := range slices.Chunk(words[1:], 2) {
		var err error
		switch pair[0] {
		case "count":
			f.Count, err = strconv.Atoi(pair[1])
		case "target":
			f.Target, err = strconv.Atoi(pair[1])
		case "for":
			f.Duration, err = time.ParseDuration(pair[1])
		default:
			err = errors.New("choose from count, target and for")
		}
		if err != nil || min(f.Count, f.Target) < 0 || f.Duration < 0 {
			return errors.NotValidf("%s %s of the fault at %s (%v)", pair[0], pair[1], f.At, err)
		}
	}
	p.Faults = append(p.Faults, f)
	return nil
}

// runOutcome returns how long a run takes and how it ends.
func (p *Plan) runOutcome(modeler.TaskID, int) (time.Duration, modeler.EndKind) {
	return p.TaskTime, modeler.EndDone
}
