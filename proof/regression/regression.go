// Package regression plays the standard days of the deployments in force on the users'
// bench and compares their means with the last recorded ones.
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

// Tolerance is by how much the mean of a deployment may fall: less is what single plays
// differ by.
const Tolerance = 0.03

// Record is the deployments that are played, as the file of records holds them.
type Baseline struct {
	Deployments []Deployment `yaml:"deployments"`
}

// Deployment is one deployment with its last recorded mean.
type Deployment struct {
	// Site is the path of its site file below the folder of the users' pages.
	Site string `yaml:"site"`
	// Mean is the mean worth of its standard days with trouble.
	Mean float64 `yaml:"mean"`
	// InForce says that it is played at each change; the others only before a landing that
	// changes decisions.
	Active bool `yaml:"inForce"`
}

// LoadRecord reads a file of records.
func LoadBaseline(path string) (Baseline, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Baseline{}, fmt.Errorf("the records: %w", err)
	}
	var baseline Baseline
	if err := yaml.UnmarshalWithOptions(content, &baseline, yaml.Strict()); err != nil {
		return Baseline{}, fmt.Errorf("the records in %s: %w", path, err)
	}
	for _, d := range baseline.Deployments {
		if d.Site == "" || d.Mean <= 0 {
			return Baseline{}, fmt.Errorf("the records in %s: deployment %q needs a site and a mean above 0", path, d.Site)
		}
	}
	return baseline, nil
}

// Score is what one deployment's standard days gave.
type Score struct {
	Days []Day
	// Passed is the bench's own verdict on the rules.
	Passed bool
}

// Day is one day's worth.
type Day struct {
	Name  string
	Worth float64
}

var (
	dayLine = regexp.MustCompile(`(?m)^([a-z]+-\S+)\s+\d+/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s`)
	// withTrouble are the names of the days that count for the mean.
	dayWithFaults = regexp.MustCompile(`^(trouble|scale)-`)
	errNoDays     = errors.New("the output names no day")
)

// ParseScore reads what the bench prints.
func ParseScore(output string) (Score, error) {
	score := Score{Passed: strings.Contains(output, "GATE passed")}
	for _, match := range dayLine.FindAllStringSubmatch(output, -1) {
		worth, err := strconv.ParseFloat(match[2], 64)
		if err != nil {
			return Score{}, fmt.Errorf("day %s: %w", match[1], err)
		}
		score.Days = append(score.Days, Day{match[1], worth})
	}
	if len(score.Days) == 0 {
		return Score{}, errNoDays
	}
	return score, nil
}

// Mean is the mean worth of the standard days with trouble; 0 if there are none.
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

// Options say where the bench and the site files are.
type Options struct {
	// Bench is the bench's program, Sites the folder that the records' paths begin in.
	Bench, Sites string
	// All plays the deployments that are not in force as well.
	All bool
	// Jobs is how many days are played at once.
	Jobs int
	// Why goes into the bench's journal.
	Reason string
}

// Run plays the deployments and writes a table. It returns an error if one has fallen by
// more than Tolerance, broke a rule or could not be played.
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

// Verdict says whether a deployment holds what it has reached.
func Verdict(d Deployment, score Score) string {
	switch {
	case !score.Passed:
		return "gate failed"
	case score.Mean() < d.Mean-Tolerance:
		return "fell"
	}
	return "holds"
}
