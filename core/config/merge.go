package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// File is a file of the configuration folder.
type File struct {
	Name    string
	Content []byte
}

// Position is a line of a file of the folder.
type Position struct {
	File string
	Line int
}

func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Setting is a value as written in a file.
type Setting struct {
	Position Position
	// Value is the text of a scalar or list; empty for a mapping.
	Value string
}

// Provenance maps a dotted path, as in workspaces.scuole.weight, to the setting
// that takes effect after the merge.
type Provenance map[string]Setting

// Problem is a reason to reject a folder.
type Problem struct {
	Position Position
	Detail   string
}

func (p Problem) String() string { return p.Position.String() + ": " + p.Detail }

// InvalidError lists the problems of a rejected folder.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return "configuration refused: " + strings.Join(lines, "; ")
}

func invalid(position Position, format string, args ...any) *InvalidError {
	return &InvalidError{Problems: []Problem{{Position: position, Detail: fmt.Sprintf(format, args...)}}}
}

// Digest returns the xxhash of the names and contents of a folder's files, in name
// order.
func Digest(files []File) uint64 {
	sum := xxhash.New()
	for _, file := range sortedByName(files) {
		fmt.Fprintf(sum, "%d:%s%d:", len(file.Name), file.Name, len(file.Content))
		_, _ = sum.Write(file.Content)
	}
	return sum.Sum64()
}

func sortedByName(files []File) []File {
	ordered := slices.Clone(files)
	slices.SortFunc(ordered, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return ordered
}

// Load merges the files in name order, decodes them strictly and validates the
// result. It is a pure function of the files, so all daemons accept and reject the
// same folders. The error is an *InvalidError.
func Load(revision uint64, files []File) (*Snapshot, error) {
	m := &merger{provenance: Provenance{}, tokenFiles: map[*token.Token]string{}, index: map[*ast.MappingNode]map[string]int{}}
	for _, file := range sortedByName(files) {
		if err := recoverPanic(Position{file.Name, 1}, func() error { return m.add(file) }); err != nil {
			return nil, err
		}
	}
	var snapshot *Snapshot
	err := recoverPanic(Position{}, func() (err error) {
		snapshot, err = m.decode()
		return err
	})
	if err != nil {
		return nil, err
	}
	snapshot.Revision = revision
	snapshot.Digest = Digest(files)
	snapshot.provenance = m.provenance
	snapshot.applyDefaults()
	if problems := snapshot.check(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return snapshot, nil
}

// recoverPanic converts a panic of the YAML library to an InvalidError. All daemons
// read the same folder, so one malformed file could otherwise crash the whole
// fleet.
func recoverPanic(position Position, read func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = invalid(position, "not usable as YAML: %v", cause)
		}
	}()
	return read()
}

// merger merges files into one mapping. Mappings are merged key by key; any other
// value, including a list, replaces the previous one; null deletes the key.
type merger struct {
	root       *ast.MappingNode
	provenance Provenance
	tokenFiles map[*token.Token]string
	// index caches the indices of the keys of merged mappings, which have
	// hundreds of keys in the folder of a large fleet.
	index map[*ast.MappingNode]map[string]int
}

func (m *merger) add(file File) error {
	if len(bytes.TrimSpace(file.Content)) == 0 {
		return nil
	}
	parsed, err := parser.ParseBytes(file.Content, 0)
	if err != nil {
		return invalid(Position{file.Name, errorLine(err)}, "not valid YAML: %s", shortError(err))
	}
	if len(parsed.Docs) > 1 {
		return invalid(Position{file.Name, documentLine(parsed.Docs[1])}, "one document a file: put the second one into its own file")
	}
	m.recordFile(file.Name, parsed)
	for _, doc := range parsed.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		mapping, ok := asMapping(doc.Body)
		if !ok {
			return invalid(m.position(doc.Body), "the file must be a mapping, as in `kinds: {...}`")
		}
		if m.root == nil {
			m.root = &ast.MappingNode{BaseNode: &ast.BaseNode{}, Start: mapping.Start}
		}
		if err := m.merge(m.root, mapping, ""); err != nil {
			return err
		}
	}
	return nil
}

// documentLine returns the line where a document begins.
func documentLine(doc *ast.DocumentNode) int {
	if doc.Start == nil {
		return 1
	}
	return doc.Start.Position.Line
}

// recordFile records the file of each token, so that errors found after the merge
// can name it.
func (m *merger) recordFile(file string, parsed *ast.File) {
	for _, doc := range parsed.Docs {
		if doc.Body == nil {
			continue
		}
		ast.Walk(fileVisitor{m, file}, doc.Body)
	}
}

type fileVisitor struct {
	m    *merger
	file string
}

func (v fileVisitor) Visit(node ast.Node) ast.Visitor {
	if t := node.GetToken(); t != nil {
		v.m.tokenFiles[t] = v.file
	}
	return v
}

func (m *merger) position(node ast.Node) Position { return m.tokenPosition(node.GetToken()) }

func (m *merger) tokenPosition(t *token.Token) Position {
	if t == nil {
		return Position{}
	}
	return Position{m.tokenFiles[t], t.Position.Line}
}

func asMapping(node ast.Node) (*ast.MappingNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n, true
	case *ast.MappingValueNode:
		return &ast.MappingNode{BaseNode: &ast.BaseNode{}, Start: n.Start, Values: []*ast.MappingValueNode{n}}, true
	}
	return nil, false
}

func (m *merger) merge(into, from *ast.MappingNode, path string) error {
	seen := map[string]bool{}
	for _, value := range from.Values {
		key, err := m.key(value)
		if err != nil {
			return err
		}
		if seen[key] {
			return invalid(m.position(value.Key), "key %q stands twice in this mapping: keep one", key)
		}
		seen[key] = true
		if err := m.set(into, key, value, join(path, key)); err != nil {
			return err
		}
	}
	return nil
}

func (m *merger) key(value *ast.MappingValueNode) (string, error) {
	switch value.Key.Type() {
	case ast.MergeKeyType, ast.AnchorType, ast.AliasType:
		return "", invalid(m.position(value.Key), "anchors and merge keys are not taken: files refine each other by name order")
	}
	switch value.Value.Type() {
	case ast.AnchorType, ast.AliasType:
		return "", invalid(m.position(value.Value), "anchors and aliases are not taken: write the value out")
	}
	return value.Key.GetToken().Value, nil
}

func (m *merger) set(into *ast.MappingNode, key string, value *ast.MappingValueNode, path string) error {
	i, exists := m.keyIndex(into)[key]
	if value.Value.Type() == ast.NullType {
		if exists {
			into.Values = slices.Delete(into.Values, i, i+1)
			delete(m.index, into)
			m.dropProvenance(path)
		}
		return nil
	}
	mapping, isMapping := asMapping(value.Value)
	if exists && !isMapping {
		m.dropProvenance(path)
	}
	if !isMapping {
		m.provenance[path] = Setting{m.position(value.Key), value.Value.String()}
		m.put(into, key, value)
		return nil
	}
	m.provenance[path] = Setting{Position: m.position(value.Key)}
	target := &ast.MappingNode{BaseNode: &ast.BaseNode{}, Start: mapping.Start}
	if exists {
		if old, ok := asMapping(into.Values[i].Value); ok {
			target = old
		}
	}
	m.put(into, key, &ast.MappingValueNode{BaseNode: &ast.BaseNode{}, Start: value.Start, Key: value.Key, Value: target})
	return m.merge(target, mapping, path)
}

// keyIndex returns the indices of the keys of a merged mapping.
func (m *merger) keyIndex(mapping *ast.MappingNode) map[string]int {
	indices := m.index[mapping]
	if indices == nil {
		indices = map[string]int{}
		for i, value := range mapping.Values {
			indices[value.Key.GetToken().Value] = i
		}
		m.index[mapping] = indices
	}
	return indices
}

func (m *merger) put(into *ast.MappingNode, key string, value *ast.MappingValueNode) {
	indices := m.keyIndex(into)
	if i, exists := indices[key]; exists {
		into.Values[i] = value
		return
	}
	indices[key] = len(into.Values)
	into.Values = append(into.Values, value)
}

func (m *merger) dropProvenance(path string) {
	prefix := path + "."
	for other := range m.provenance {
		if other == path || strings.HasPrefix(other, prefix) {
			delete(m.provenance, other)
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// shortError returns the message of a YAML error without the excerpt of the source.
func shortError(err error) string {
	var detailed yaml.Error
	if errors.As(err, &detailed) {
		return detailed.GetMessage()
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	return first
}

func errorLine(err error) int {
	var detailed yaml.Error
	if errors.As(err, &detailed) && detailed.GetToken() != nil {
		return detailed.GetToken().Position.Line
	}
	return 1
}
