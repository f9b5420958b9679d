// Command detect feeds request results to a failure detector, half of them failed
// from 2 s on, and prints how long it takes to request the ejection.
package main

import (
	"fmt"
	"time"

	"github.com/damaskpitch/damaskpitch/detect"
	"github.com/damaskpitch/damaskpitch/spec"
)

func main() {
	for _, patience := range []spec.Patience{spec.Quick, spec.Sure} {
		fmt.Printf("%s: ejection requested %v after the first failure\n", patience, timeToEject(patience))
	}
}

func timeToEject(patience spec.Patience) time.Duration {
	const (
		onset = 2 * time.Second
		gap   = 50 * time.Millisecond
	)
	m := detect.New(detect.Config{Patience: patience})
	for at := time.Duration(0); at < time.Minute; at += gap {
		failed := at >= onset && at%(2*gap) == 0
		var cmds []detect.Cmd
		m, cmds = m.Update(detect.ResultMsg{At: at, Latency: 20 * time.Millisecond, Failed: failed})
		if len(cmds) > 0 {
			return at - onset
		}
	}
	return 0
}
