package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// The jobs that are scheduled for a week, and what the platform does about memory.
const (
	weeklyJobs         = 8
	weeklyRepetitions  = 7 * 24 * 60 // one a minute
	weeklyTasks        = 8
	firstRunIn         = time.Hour // none of them runs during the case
	memoryMB           = 284       // of an entry, from the settings
	memorySample       = 100 * time.Millisecond
	restartDelay       = 300 * time.Millisecond
	memoryTrafficTime  = 60 * time.Second
	maxKillsPerMachine = 3 // the rule: as often on a tenth of the machines, two at least
	maxKilledMachines  = 2
)

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// enforceMemory does what the platform does: it kills an entry that exceeds its
// memory, and starts it again after a short delay. It counts how often it killed each.
func (t *trial) enforceMemory(length time.Duration, kills []int) error {
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(memorySample) {
		for i, e := range t.entries {
			mb := residentMB(e.cmd.Process.Pid)
			if mb <= memoryMB {
				continue
			}
			kills[i]++
			t.note("front-%d uses %d MB, its limit is %d MB: killed, for the %d. time", i+1, mb, memoryMB, kills[i])
			_ = e.cmd.Process.Kill()
			<-e.exited
			time.Sleep(restartDelay)
			if err := e.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// playMemory hands in jobs that are scheduled for a week, and ordinary ones beside them.
func playMemory(t *trial) error {
	fleet, err := t.startSite(siteOptions{
		outcome: func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return ordinaryTaskTime, modeler.EndDone },
	})
	if err != nil {
		return err
	}
	for i := range weeklyJobs {
		if !t.trouble {
			break
		}
		body := fmt.Sprintf(`{"spec":"text","steps":[{"count":%d,"cpu":%d,"mem_mb":2500,"estimated_ms":900}],"repetitions":%d,"first_run_ms":%d,"interval_ms":60000}`,
			weeklyTasks, ordinaryTaskCPU, weeklyRepetitions, time.Now().Add(firstRunIn).UnixMilli())
		id := newID()
		status, _, err := t.call(t.entries[i%entryCount], http.MethodPost, id, body)
		t.note("job %s with %d repetitions of %d subtasks handed in: status %d, error %v", id, weeklyRepetitions, weeklyTasks, status, err)
	}
	kills := make([]int, len(t.entries))
	result := make(chan error, 1)
	go func() { result <- t.enforceMemory(memoryTrafficTime+finishTime+judgeTime, kills) }()
	jobs := t.sendJobs(memoryTrafficTime, ordinaryJob(), func(time.Duration) float64 { return ordinaryJobRate })
	time.Sleep(finishTime)
	judged := t.judgeIdleJobs(fleet, jobs, func(string) int { return ordinaryTaskCPU })
	if err := <-result; err != nil {
		return err
	}
	machines := 0
	for i, n := range kills {
		t.note("front-%d was killed %d times for its memory", i+1, n)
		if n >= maxKillsPerMachine {
			machines++
		}
	}
	if machines >= maxKilledMachines {
		t.note("Fault: processes of %d machines ended %d times or more since they exceeded their memory", machines, maxKillsPerMachine)
	}
	return judged
}
