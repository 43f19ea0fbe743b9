package peer_test

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets the number and the seed of the random checks, so that runs are repeatable. Flags
// on the command line take precedence. It also fails if a goroutine is left running.
func TestMain(m *testing.M) {
	for flagName, value := range map[string]string{"rapid.checks": "20000", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(flagName, value); err != nil {
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
