// Command standin runs one review case against the project's programs.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxDuration = 110 * time.Second
)

// cases are the review cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"route": runRoute,
	"late":  runLateCheckIn,
	"crash": runCrashingUpload,
	"ban":   runBan,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], rec, os.Getenv("TROUBLE") != "0"))
}

func runCase(name string, rec *record, trouble bool) int {
	defer rec.close()
	rec.add("case %s, trouble %v", name, trouble)
	f, err := newFleet(rec)
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](f, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.say("not run: %v", r.err)
			return exitNotRun
		case r.broken:
			rec.say("the rule was broken")
			return exitBroken
		}
		rec.say("the rule held")
		return exitHeld
	case <-stop:
		rec.say("not run: interrupted")
	case <-time.After(maxDuration):
		rec.say("not run: took longer than %v", maxDuration)
	}
	return exitNotRun
}
