// Command detect feeds a detector with real work, of which half fails from the
// second second on, and prints when it wants an ejection.
package main

import (
	"fmt"
	"time"

	"github.com/damaskpitch/damaskpitch/detect"
	"github.com/damaskpitch/damaskpitch/spec"
)

func main() {
	for _, patience := range []spec.Patience{spec.Quick, spec.Sure} {
		fmt.Printf("%s asks %v after the first failure\n", patience, ejectionDelay(patience))
	}
}

func ejectionDelay(patience spec.Patience) time.Duration {
	const (
		onset = 2 * time.Second
		gap   = 50 * time.Millisecond
	)
	m := detect.New(detect.Config{Patience: patience})
	for at := time.Duration(0); at < time.Minute; at += gap {
		failed := at >= onset && at%(2*gap) == 0
		var cmds []detect.Cmd
		m, cmds = m.Update(detect.ResultMsg{At: at, Took: 20 * time.Millisecond, Failed: failed})
		if len(cmds) > 0 {
			return at - onset
		}
	}
	return 0
}
