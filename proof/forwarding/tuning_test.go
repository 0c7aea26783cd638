package forwarding

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"arbutusdeck/core/placement"
)

// tuned are the loads and numbers of engines that options are tuned for; with 13
// engines the slots don't suffice for the turn to short prompts.
var tuned = []struct {
	load    float64
	engines int
}{{0.7, 16}, {1, 16}, {1.2, 16}, {1, 13}}

// BenchmarkTuning plays variants of the options that ARBUTUS_TUNING names, as in
// "PackGain=0.01;PackGain=0.02,PackShare=0.5", beside the defaults.
func BenchmarkTuning(b *testing.B) {
	const seeds = 100
	for _, variant := range append([]string{""}, strings.Split(os.Getenv("ARBUTUS_TUNING"), ";")...) {
		options := placement.DefaultOptions("")
		if err := vary(&options, variant); err != nil {
			b.Fatal(err)
		}
		line := fmt.Sprintf("%-40s", variant)
		mean := 0.0
		for _, c := range tuned {
			site := Zagara(c.load)
			site.Engines = c.engines
			total := playSeeds(site, seeds, options)
			mean += total.Worth() / float64(len(tuned))
			line += fmt.Sprintf("  %.1f/%d: %.4f", c.load, c.engines, total.Worth())
			for _, c := range total.Classes {
				line += fmt.Sprintf(" %.3f", c.Earned/c.Owed)
			}
		}
		fmt.Fprintf(os.Stderr, "tuning %s mean %.4f\n", line, mean)
	}
}

func vary(options *placement.Options, variant string) error {
	for _, setting := range strings.Split(variant, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(setting), "=")
		if !ok {
			continue
		}
		field := reflect.ValueOf(options).Elem().FieldByName(name)
		if !field.IsValid() {
			return fmt.Errorf("no option is named %q", name)
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%s: %w", setting, err)
		}
		if field.CanFloat() {
			field.SetFloat(value)
			continue
		}
		field.SetInt(int64(value))
	}
	return nil
}
