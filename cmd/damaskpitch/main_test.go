package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestHelp compares the help texts with their golden files.
func TestHelp(t *testing.T) {
	g := goldie.New(t)
	for name, args := range map[string][]string{
		"help":         {"damaskpitch", "--help"},
		"help-control": {"damaskpitch", "control", "--help"},
		"help-node":    {"damaskpitch", "node", "--help"},
		"help-ctl":     {"damaskpitch", "ctl", "--help"},
		"help-dev":     {"damaskpitch", "dev", "--help"},
		"help-rescue":  {"damaskpitch", "rescue", "--help"},
	} {
		var out bytes.Buffer
		app := newApp()
		app.Writer = &out
		if err := app.Run(t.Context(), args); err != nil {
			t.Fatal(err)
		}
		g.Assert(t, name, out.Bytes())
	}
}

// TestExitCodes checks that invalid settings and usage have an exit code of their own.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("name: lookup\nfloor: -1\nroutes:\n  - path: /a\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args []string
		want int
	}{
		{[]string{"damaskpitch", "--version"}, 0},
		{[]string{"damaskpitch", "ctl", "apply"}, _exitInvalid},
		{[]string{"damaskpitch", "ctl", "apply", bad}, _exitInvalid},
		{[]string{"damaskpitch", "node", "--config", bad}, _exitInvalid},
		{[]string{"damaskpitch", "rescue", "--config", bad, "--group", "0"}, _exitInvalid},
		{[]string{"damaskpitch", "control", "--config", bad, "--check"}, _exitInvalid},
		{[]string{"damaskpitch", "ctl", "apply", "missing.yaml"}, _exitFailed},
		{[]string{"damaskpitch", "node", "--config", "missing.yaml"}, _exitFailed},
	}
	for _, c := range cases {
		if got := run(t.Context(), c.args); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.args, got, c.want)
		}
	}
}
