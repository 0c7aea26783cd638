package forwarding

import (
	"fmt"
	"os"
	"testing"
	"time"

	"arbutusdeck/core/placement"
)

func BenchmarkOneWorker(b *testing.B) {
	for _, rate := range []float64{0.5, 3, 6} {
		site := Zagara(1)
		site.Engines, site.Entries = 1, 1
		site.Classes = site.Classes[:1]
		site.Classes[0].PerSecond = rate
		site.Phases = []Phase{{Load: []float64{1}}}
		site.Length = 34 * time.Second
		total := playSeeds(site, 10, placement.DefaultOptions(""))
		c := total.Classes[0]
		q := func(x []float64, p float64) float64 { return x[int(float64(len(x))*p)] }
		sortFloats(c.FirstMs)
		sortFloats(c.Longest)
		fmt.Fprintf(os.Stderr, "rate %.1f first p5 %.0f p50 %.0f p95 %.0f gap p50 %.0f p95 %.0f\n", rate, q(c.FirstMs, .05), q(c.FirstMs, .5), q(c.FirstMs, .95), q(c.Longest, .5), q(c.Longest, .95))
	}
}
