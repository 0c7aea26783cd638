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

// File is one file of the configuration folder.
type File struct {
	Name    string
	Content []byte
}

// Position is where a value was written.
type Position struct {
	File string
	Line int
}

func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Setting is one value as it was written.
type Setting struct {
	Position Position
	// Value is the text of a scalar or list; empty for a mapping.
	Value string
}

// Provenance maps a dotted path, as in workspaces.scuole.weight, to the setting
// that holds.
type Provenance map[string]Setting

// Problem is one reason to refuse a folder.
type Problem struct {
	Position Position
	Detail   string
}

func (p Problem) String() string { return p.Position.String() + ": " + p.Detail }

// InvalidError says why a folder was refused as a whole.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return "configuration refused: " + strings.Join(lines, "; ")
}

func refuse(place Position, format string, args ...any) *InvalidError {
	return &InvalidError{Problems: []Problem{{Position: place, Detail: fmt.Sprintf(format, args...)}}}
}

// Digest identifies the content of a folder: names and contents in name order.
func Digest(files []File) uint64 {
	sum := xxhash.New()
	for _, file := range sorted(files) {
		fmt.Fprintf(sum, "%d:%s%d:", len(file.Name), file.Name, len(file.Content))
		_, _ = sum.Write(file.Content)
	}
	return sum.Sum64()
}

func sorted(files []File) []File {
	ordered := slices.Clone(files)
	slices.SortFunc(ordered, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return ordered
}

// Load merges the folder in name order, decodes it strictly and checks it as a
// whole. It is a pure function of the files, so every daemon reaches the same
// verdict. The error is a *RefusedError.
func Load(revision uint64, files []File) (*Snapshot, error) {
	m := &merger{places: Provenance{}, owner: map[*token.Token]string{}, index: map[*ast.MappingNode]map[string]int{}}
	for _, file := range sorted(files) {
		if err := guard(Position{file.Name, 1}, func() error { return m.add(file) }); err != nil {
			return nil, err
		}
	}
	var snapshot *Snapshot
	err := guard(Position{}, func() (err error) {
		snapshot, err = m.decode()
		return err
	})
	if err != nil {
		return nil, err
	}
	snapshot.Revision = revision
	snapshot.Digest = Digest(files)
	snapshot.source = m.places
	snapshot.applyDefaults()
	if problems := snapshot.check(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return snapshot, nil
}

// guard turns a panic of the YAML library into a refusal. Every daemon reads the
// same folder: without it, one malformed file would end the whole fleet at once.
func guard(place Position, read func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = refuse(place, "not usable as YAML: %v", cause)
		}
	}()
	return read()
}

// merger folds files into one mapping. Mappings merge key by key; any other
// value, lists included, replaces what stood there; null deletes the key.
type merger struct {
	root   *ast.MappingNode
	places Provenance
	owner  map[*token.Token]string
	// index gives the place of each key of a merged mapping: a folder of a
	// large fleet has hundreds of entries in one.
	index map[*ast.MappingNode]map[string]int
}

func (m *merger) add(file File) error {
	if len(bytes.TrimSpace(file.Content)) == 0 {
		return nil
	}
	parsed, err := parser.ParseBytes(file.Content, 0)
	if err != nil {
		return refuse(Position{file.Name, errorLine(err)}, "not valid YAML: %s", shortError(err))
	}
	if len(parsed.Docs) > 1 {
		return refuse(Position{file.Name, secondDocument(parsed.Docs[1])}, "one document a file: put the second one into its own file")
	}
	m.own(file.Name, parsed)
	for _, doc := range parsed.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		mapping, ok := asMapping(doc.Body)
		if !ok {
			return refuse(m.place(doc.Body), "the file must be a mapping, as in `kinds: {...}`")
		}
		if m.root == nil {
			m.root = &ast.MappingNode{BaseNode: &ast.BaseNode{}, Start: mapping.Start}
		}
		if err := m.fold(m.root, mapping, ""); err != nil {
			return err
		}
	}
	return nil
}

// secondDocument returns the line where a document begins.
func secondDocument(doc *ast.DocumentNode) int {
	if doc.Start == nil {
		return 1
	}
	return doc.Start.Position.Line
}

// own records which file each token came from, so that an error found after
// the merge still names its file.
func (m *merger) own(file string, parsed *ast.File) {
	for _, doc := range parsed.Docs {
		if doc.Body == nil {
			continue
		}
		ast.Walk(ownerVisitor{m, file}, doc.Body)
	}
}

type ownerVisitor struct {
	m    *merger
	file string
}

func (v ownerVisitor) Visit(node ast.Node) ast.Visitor {
	if t := node.GetToken(); t != nil {
		v.m.owner[t] = v.file
	}
	return v
}

func (m *merger) place(node ast.Node) Position { return m.tokenPlace(node.GetToken()) }

func (m *merger) tokenPlace(t *token.Token) Position {
	if t == nil {
		return Position{}
	}
	return Position{m.owner[t], t.Position.Line}
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

func (m *merger) fold(into, from *ast.MappingNode, path string) error {
	seen := map[string]bool{}
	for _, value := range from.Values {
		key, err := m.key(value)
		if err != nil {
			return err
		}
		if seen[key] {
			return refuse(m.place(value.Key), "key %q stands twice in this mapping: keep one", key)
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
		return "", refuse(m.place(value.Key), "anchors and merge keys are not taken: files refine each other by name order")
	}
	switch value.Value.Type() {
	case ast.AnchorType, ast.AliasType:
		return "", refuse(m.place(value.Value), "anchors and aliases are not taken: write the value out")
	}
	return value.Key.GetToken().Value, nil
}

func (m *merger) set(into *ast.MappingNode, key string, value *ast.MappingValueNode, path string) error {
	at, exists := m.positions(into)[key]
	if value.Value.Type() == ast.NullType {
		if exists {
			into.Values = slices.Delete(into.Values, at, at+1)
			delete(m.index, into)
			m.forget(path)
		}
		return nil
	}
	mapping, isMapping := asMapping(value.Value)
	if exists && !isMapping {
		m.forget(path)
	}
	if !isMapping {
		m.places[path] = Setting{m.place(value.Key), value.Value.String()}
		m.put(into, key, value)
		return nil
	}
	m.places[path] = Setting{Position: m.place(value.Key)}
	target := &ast.MappingNode{BaseNode: &ast.BaseNode{}, Start: mapping.Start}
	if exists {
		if old, ok := asMapping(into.Values[at].Value); ok {
			target = old
		}
	}
	m.put(into, key, &ast.MappingValueNode{BaseNode: &ast.BaseNode{}, Start: value.Start, Key: value.Key, Value: target})
	return m.fold(target, mapping, path)
}

// positions returns where the keys of a merged mapping stand.
func (m *merger) positions(mapping *ast.MappingNode) map[string]int {
	known := m.index[mapping]
	if known == nil {
		known = map[string]int{}
		for i, value := range mapping.Values {
			known[value.Key.GetToken().Value] = i
		}
		m.index[mapping] = known
	}
	return known
}

func (m *merger) put(into *ast.MappingNode, key string, value *ast.MappingValueNode) {
	positions := m.positions(into)
	if at, exists := positions[key]; exists {
		into.Values[at] = value
		return
	}
	positions[key] = len(into.Values)
	into.Values = append(into.Values, value)
}

func (m *merger) forget(path string) {
	prefix := path + "."
	for known := range m.places {
		if known == path || strings.HasPrefix(known, prefix) {
			delete(m.places, known)
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// shortError keeps the message and drops the excerpt the library adds.
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
