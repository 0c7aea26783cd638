// Package removal takes a safeguard out of the sources for a build or a test, without
// touching them: the go command reads a changed copy in place of the file.
package removal

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Change replaces a piece of a file. Old has to stand in it exactly once.
type Change struct {
	// File is the path below the top of the repository.
	File     string
	Old, New string
}

// Overlay writes the changed copy into a folder and returns the file for the go
// command's -overlay.
func Overlay(top, folder string, change Change) (string, error) {
	path := filepath.Join(top, change.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("the source of a safeguard: %w", err)
	}
	if count := strings.Count(string(source), change.Old); count != 1 {
		return "", fmt.Errorf("the safeguard's text stands %d times in %s in place of once", count, change.File)
	}
	changed := filepath.Join(folder, filepath.Base(path))
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), change.Old, change.New, 1)), 0o600); err != nil {
		return "", fmt.Errorf("the changed source: %w", err)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return "", fmt.Errorf("the overlay: %w", err)
	}
	file := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(file, overlay, 0o600); err != nil {
		return "", fmt.Errorf("the overlay: %w", err)
	}
	return file, nil
}
