package peer_test

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes number and seed of the random checks, so that a run is repeatable. Flags on
// the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "20000", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
		code = 1
	}
	os.Exit(code)
}
