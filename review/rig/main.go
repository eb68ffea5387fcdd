// Command rig plays the cases of the review that are scripts. Each case starts garnet-node as separate
// processes before stand-ins of the store, the targets and the callers, all on loopback.
//
// Usage: rig CASE TROUBLE RECORD. If TROUBLE is 0, the same traffic is played without the disruption. RECORD is
// the file that the record is written to. The exit code is 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
//
// "rig target" runs one target as a process of its own, so that it can be killed.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name.
var cases = map[string]func(*rig) (broken bool, err error){
	"restarted-engine": playRestartedEngine,
	"removed-target":   playRemovedTarget,
	"clock-back":       playClockBack,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that args name and returns the exit code.
func run(args []string) int {
	if len(args) > 0 && args[0] == "target" {
		return runTarget(args[1:])
	}
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE TROUBLE RECORD")
		return exitNotRun
	}
	r, err := newRig(args[2], args[1] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[args[0]](r)
	switch {
	case err != nil:
		r.notef("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.notef("the rule was broken")
		return exitBroken
	}
	r.notef("the rule held")
	return exitHeld
}
