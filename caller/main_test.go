package caller_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed and bounds the number of property checks, so that runs repeat.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "50", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	goleak.VerifyTestMain(m)
}
