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

// tuned are the days that options are tuned for; with 13 engines the slots don't
// suffice for the turn to short prompts.
var tuned = []struct {
	name  string
	site  Site
	seeds int
}{{"0.7", Zagara(0.7), 100}, {"1", Zagara(1), 100}, {"1.2", Zagara(1.2), 100}, {"13 engines", withEngines(Zagara(1), 13), 100},
	{"grown 0.7", ZagaraGrown(0.7), 20}, {"grown 1", ZagaraGrown(1), 20}}

func withEngines(site Site, engines int) Site {
	site.Engines = engines
	return site
}

// BenchmarkTuning plays variants of the options that ARBUTUS_TUNING names, as in
// "PackGain=0.01;PackGain=0.02,PackShare=0.5", beside the defaults.
func BenchmarkTuning(b *testing.B) {
	for _, variant := range strings.Split(";"+os.Getenv("ARBUTUS_TUNING"), ";") {
		options := placement.DefaultOptions("")
		if err := vary(&options, variant); err != nil {
			b.Fatal(err)
		}
		line := fmt.Sprintf("%-40s", variant)
		mean := 0.0
		for _, c := range tuned {
			total := playSeeds(c.site, c.seeds, options)
			mean += total.Worth() / float64(len(tuned))
			line += fmt.Sprintf("  %s: %.4f", c.name, total.Worth())
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
