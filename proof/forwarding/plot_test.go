package forwarding

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// curve is the worth of one policy over the loads.
type curve struct {
	name   string
	points plotter.XYs
}

// drawCurves plots policies over loads; the extension of the path selects the format.
func drawCurves(path string, curves []curve) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "load, as a share of the usual one", "worth served in time, as a share"
	p.Legend.Top = true
	lines := make([]any, 0, 2*len(curves))
	for _, c := range curves {
		lines = append(lines, c.name, c.points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("add the lines of the plot: %w", err)
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("save the plot %s: %w", path, err)
	}
	return nil
}

func TestCurvesAreDrawn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "policies.svg")
	require.NoError(t, drawCurves(path, []curve{{"own", plotter.XYs{{X: 0.7, Y: 0.9}, {X: 1, Y: 0.8}}}}))
	require.FileExists(t, path)
}
