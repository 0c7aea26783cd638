package regression

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const benchOutput = `day                  own/srv  score  worth served refused failed  weakest part
quiet-1              203/141   1.00  0.758  0.905   0.000  0.003  worst windows 0.82
trouble-1            203/141   0.95  0.598  0.860   0.001  0.012  worst windows 0.37
scale-1              203/141   1.00  -0.010  0.768   0.003  0.006  worst class 0.27
fresh-b54a           203/141   0.82  0.563  0.864   0.034  0.007  worst windows 0.19
GATE passed
`

func TestMeanCountsTheDaysWithFaults(t *testing.T) {
	score, err := ParseScore(benchOutput)
	require.NoError(t, err)
	require.True(t, score.Passed)
	require.Len(t, score.Days, 4)
	require.InDelta(t, 0.294, score.Mean(), 1e-9)
	_, err = ParseScore("the build failed")
	require.ErrorIs(t, err, errNoDays)
}

func TestVerdictReportsAFallBeyondTheTolerance(t *testing.T) {
	score := Score{Days: []Day{{"trouble-1", 0.70}}, Passed: true}
	require.Equal(t, "holds", Verdict(Deployment{Mean: 0.72}, score))
	require.Equal(t, "fell", Verdict(Deployment{Mean: 0.74}, score))
	score.Passed = false
	require.Equal(t, "gate failed", Verdict(Deployment{Mean: 0.5}, score))
}

func TestTheCommittedBaselineCanBeRead(t *testing.T) {
	baseline, err := LoadBaseline("../../deploy/scores.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, baseline.Deployments)
	path := filepath.Join(t.TempDir(), "scores.yaml")
	require.NoError(t, os.WriteFile(path, []byte("deployments:\n  - site: a\n    worth: 1\n"), 0o600))
	_, err = LoadBaseline(path)
	require.ErrorContains(t, err, "worth")
	require.NoError(t, os.WriteFile(path, []byte("deployments:\n  - site: a\n"), 0o600))
	_, err = LoadBaseline(path)
	require.ErrorContains(t, err, `"a" needs a site and a mean`)
}
