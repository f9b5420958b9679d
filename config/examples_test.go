package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/damaskpitch/damaskpitch/spec"
)

// TestExamples validates every file of the two example deployments.
func TestExamples(t *testing.T) {
	t.Chdir("..")
	data := t.TempDir()
	for _, name := range []string{"coast", "aotearoa"} {
		files, err := filepath.Glob(filepath.Join("examples", name, "*.yaml"))
		if err != nil || len(files) != 12 {
			t.Fatalf("%s: %d files, %v", name, len(files), err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			switch base := filepath.Base(file); {
			case base == "services.yaml":
				_, err = spec.Parse(file, text)
			case strings.HasPrefix(base, "c"):
				var c Control
				text = []byte(strings.Replace(string(text), "data: data", "data: "+data, 1))
				if err = parse(file, text, &c); err == nil {
					err = c.check(file)
				}
			default:
				_, err = LoadNode(file)
			}
			if err != nil {
				t.Error(err)
			}
		}
	}
}
