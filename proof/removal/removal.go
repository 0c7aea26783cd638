// Package removal removes a safeguard from the sources for one build or test without
// modifying them: an overlay makes the go command read a changed copy of the file.
package removal

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Change replaces a piece of text in a file. Old must occur in it exactly once.
type Change struct {
	// File is the path relative to the root of the repository.
	File     string
	Old, New string
}

// Overlay writes the changed copy of a file of the repository at root and an overlay
// description into a folder. It returns the path of the description, for the -overlay flag of
// the go command. It fails if the text to replace does not occur exactly once.
func Overlay(root, folder string, change Change) (string, error) {
	path := filepath.Join(root, change.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("reading the source of the safeguard: %w", err)
	}
	if count := strings.Count(string(source), change.Old); count != 1 {
		return "", fmt.Errorf("the text of the safeguard occurs %d times in %s, want exactly once", count, change.File)
	}
	changed := filepath.Join(folder, filepath.Base(path))
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), change.Old, change.New, 1)), 0o600); err != nil {
		return "", fmt.Errorf("writing the changed source: %w", err)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return "", fmt.Errorf("encoding the overlay: %w", err)
	}
	description := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(description, overlay, 0o600); err != nil {
		return "", fmt.Errorf("writing the overlay: %w", err)
	}
	return description, nil
}
