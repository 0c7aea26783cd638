// Package regression runs the users' benchmark (the bench) on the active deployments and compares the
// mean worth of their standard days with the recorded baseline.
package regression

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
)

// Tolerance is the accepted drop of a deployment's mean; smaller drops are within the spread of
// single runs.
const Tolerance = 0.03

// Baseline lists the deployments with their recorded means, as stored in the baseline file.
type Baseline struct {
	Deployments []Deployment `yaml:"deployments"`
}

// Deployment names a deployment and its last recorded mean.
type Deployment struct {
	// Site is the path of its site file below Options.Sites, the folder of the users' pages.
	Site string `yaml:"site"`
	// Mean is the mean worth of its standard days with faults.
	Mean float64 `yaml:"mean"`
	// Active deployments are run at each change; the others only before a landing that changes
	// decisions.
	Active bool `yaml:"inForce"`
}

// LoadBaseline reads a baseline file and checks that every deployment has a site and a positive mean.
func LoadBaseline(path string) (Baseline, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Baseline{}, fmt.Errorf("read the baseline: %w", err)
	}
	var baseline Baseline
	if err := yaml.UnmarshalWithOptions(content, &baseline, yaml.Strict()); err != nil {
		return Baseline{}, fmt.Errorf("decode the baseline %s: %w", path, err)
	}
	for _, d := range baseline.Deployments {
		if d.Site == "" || d.Mean <= 0 {
			return Baseline{}, fmt.Errorf("baseline %s: deployment %q needs a site and a mean above 0", path, d.Site)
		}
	}
	return baseline, nil
}

// Score holds the results of the standard days of one deployment.
type Score struct {
	Days []Day
	// Passed reports whether the bench itself accepted the run.
	Passed bool
}

// Day is the worth of one standard day.
type Day struct {
	Name  string
	Worth float64
}

var (
	dayLine = regexp.MustCompile(`(?m)^([a-z]+-\S+)\s+\d+/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s`)
	// dayWithFaults matches the names of the days that count towards the mean.
	dayWithFaults = regexp.MustCompile(`^(trouble|scale)-`)
	errNoDays     = errors.New("the output of the bench contains no day")
)

// ParseScore parses the output of the bench. It fails if that contains no day.
func ParseScore(output string) (Score, error) {
	score := Score{Passed: strings.Contains(output, "GATE passed")}
	for _, match := range dayLine.FindAllStringSubmatch(output, -1) {
		worth, err := strconv.ParseFloat(match[2], 64)
		if err != nil {
			return Score{}, fmt.Errorf("parse the worth of day %s: %w", match[1], err)
		}
		score.Days = append(score.Days, Day{match[1], worth})
	}
	if len(score.Days) == 0 {
		return Score{}, errNoDays
	}
	return score, nil
}

// Mean returns the mean worth of the standard days with faults; 0 if there are none.
func (s Score) Mean() float64 {
	sum, count := 0.0, 0
	for _, day := range s.Days {
		if dayWithFaults.MatchString(day.Name) {
			sum += day.Worth
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// Options configures a run.
type Options struct {
	// Bench is the path of the bench's program, Sites the folder that the sites of the baseline are
	// relative to.
	Bench, Sites string
	// All includes the deployments that are not active.
	All bool
	// Jobs is the number of days that are run in parallel.
	Jobs int
	// Reason is recorded in the bench's journal.
	Reason string
}

// Run runs the deployments and writes a table. It returns an error if one has fallen by more than
// Tolerance, failed the bench's gate or could not be run.
func Run(baseline Baseline, options Options, out io.Writer) error {
	var failed []string
	if _, err := fmt.Fprintf(out, "%-36s %8s %8s %8s  %s\n", "deployment", "recorded", "now", "change", "verdict"); err != nil {
		return err
	}
	for _, d := range baseline.Deployments {
		if !d.Active && !options.All {
			continue
		}
		verdict, line := runBench(d, options)
		if verdict != "holds" {
			failed = append(failed, d.Site+": "+verdict)
		}
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("%s", strings.Join(failed, "; "))
	}
	return nil
}

func runBench(d Deployment, options Options) (verdict, line string) {
	command := exec.Command(options.Bench, "score", filepath.Join(options.Sites, d.Site), "--jobs", strconv.Itoa(options.Jobs), "--why", options.Reason)
	output, err := command.CombinedOutput()
	score, parseErr := ParseScore(string(output))
	if err := errors.Join(err, parseErr); parseErr != nil {
		return "not played: " + err.Error(), fmt.Sprintf("%-36s %8.3f %8s %8s  not played", d.Site, d.Mean, "-", "-")
	}
	verdict = Verdict(d, score)
	return verdict, fmt.Sprintf("%-36s %8.3f %8.3f %+8.3f  %s", d.Site, d.Mean, score.Mean(), score.Mean()-d.Mean, verdict)
}

// Verdict compares the score of a deployment with its baseline.
func Verdict(d Deployment, score Score) string {
	switch {
	case !score.Passed:
		return "gate failed"
	case score.Mean() < d.Mean-Tolerance:
		return "fell"
	}
	return "holds"
}
