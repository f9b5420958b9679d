// Command rig shows the cases of a review with the project's own programs as separate
// processes on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	_held   = 0
	_broken = 1
	_notRun = 2
)

var cases = map[string]func(rec *record, trouble bool) (int, error){
	"bodies": runBodies,
	"storm":  runStorm,
	"text":   runText,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD, in the project's root")
		os.Exit(_notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(_notRun)
	}
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = _notRun
	}
	rec.add("exit %d", code)
	os.Exit(code)
}
