package orchestrator

import (
	"maps"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/refuser"
)

const (
	jobBytes     = 2 << 10 // memory of a job without its texts, lists, steps and tasks
	stepBytes    = 512     // of a step without its texts, lists and tasks
	taskBytes    = 512     // of a task
	intBytes     = 8
	memoryWaitMs = 3000 // after this time a customer may try again

	// Customers with few jobs may hand in more when the memory is used up. All of them
	// together get one part in this many beyond it.
	fewJobsShare = 4
)

// DefinitionBytes estimates the memory that a job takes up before any of it has started:
// its definition, and the tasks of an occurrence that are built at once.
func DefinitionBytes(def *modeler.Job) int64 {
	n := jobBytes + len(def.Spec)
	for i := range def.Steps {
		s := &def.Steps[i]
		n += stepBytes + len(s.Label) + len(s.DataRack) + len(s.Image) + intBytes*len(s.After)
		if s.Gang || s.LongRunning {
			n += taskBytes * s.Count
		}
	}
	return int64(n)
}

// memory estimates the memory that a job takes up, in bytes.
func (j *job) memory() int64 {
	n := j.definitionBytes
	for i, o := range j.occurrences {
		for _, s := range o.steps {
			if i > 0 || !s.Gang && !s.LongRunning { // definitionBytes has those of one occurrence
				n += int64(taskBytes * len(s.tasks))
			}
		}
	}
	return n
}

// limitMemory refuses the new jobs of customers whose unfinished jobs take up more than
// what is left of Config.MaxJobBytes, so that one customer gets at most half of it and
// leaves room for the others. It returns what is left, 0 if there is no limit. A small part
// for each customer counts as left also when others have used up more than the limit.
func (e *Engine) limitMemory(limits map[string]map[string]Limitation) (map[string]map[string]Limitation, int64) {
	if e.cfg.MaxJobBytes == 0 {
		return limits, 0
	}
	byCustomer, free := make(map[string]int64), e.cfg.MaxJobBytes
	for _, j := range e.jobs {
		n := j.memory()
		byCustomer[j.Customer] += n
		free -= n
	}
	free = max(1, free, e.cfg.MaxJobBytes/int64(fewJobsShare*(1+len(e.cfg.Manifest().Customers))))
	lacking := make(map[string]bool)
	for customer, n := range byCustomer {
		if n <= free {
			continue
		}
		lacking[customer] = true
		if !e.admission.lacksMemory[customer] {
			e.log.Warn("new jobs of a customer refused for lack of memory", "customer", customer, "bytes", n, "free", free, "limit", e.cfg.MaxJobBytes)
		}
	}
	for customer := range e.admission.lacksMemory {
		if !lacking[customer] {
			e.log.Info("new jobs of a customer accepted again, there is memory for them", "customer", customer, "bytes", byCustomer[customer], "free", free)
		}
	}
	e.admission.lacksMemory = lacking
	return withLackOfMemory(limits, lacking, e.cfg.Manifest().Queues), free
}

// withLackOfMemory returns the limitations with others that refuse all new jobs of some
// customers. It doesn't change limits, which may be those of the previous leader.
func withLackOfMemory(limits map[string]map[string]Limitation, customers map[string]bool, queues []modeler.Queue) map[string]map[string]Limitation {
	if len(customers) == 0 {
		return limits
	}
	all := maps.Clone(limits)
	if all == nil {
		all = make(map[string]map[string]Limitation, len(queues))
	}
	for i := range queues {
		byCustomer := maps.Clone(all[queues[i].Name])
		if byCustomer == nil {
			byCustomer = make(map[string]Limitation, len(customers))
		}
		for customer := range customers {
			byCustomer[customer] = Limitation{WaitMs: memoryWaitMs, Cause: refuser.LackOfMemory}
		}
		all[queues[i].Name] = byCustomer
	}
	return all
}
