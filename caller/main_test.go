package caller_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets the seed and the number of property checks, so that runs are repeatable, and
// checks for leaked goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "50", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	goleak.VerifyTestMain(m)
}
