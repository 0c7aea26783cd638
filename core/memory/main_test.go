package memory

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run draws the same steps.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
