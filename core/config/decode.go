package config

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// decode turns the merged mapping into a snapshot, strictly.
func (m *merger) decode() (*Snapshot, error) {
	snapshot := &Snapshot{}
	if m.root == nil {
		return snapshot, nil
	}
	unknown := m.unknownKeys(m.root, reflect.TypeFor[Snapshot](), "")
	if len(unknown) > 0 {
		return nil, &InvalidError{Problems: unknown}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(nil))
	if err := decoder.DecodeFromNode(m.root, snapshot); err != nil {
		return nil, m.decodeProblem(err)
	}
	return snapshot, nil
}

// unknownKeys lists the keys that the type of a mapping does not have, in the
// order of the files.
func (m *merger) unknownKeys(mapping *ast.MappingNode, t reflect.Type, path string) []Problem {
	var problems []Problem
	for _, value := range mapping.Values {
		key := value.Key.GetToken().Value
		inner, ok := elementOf(t, key)
		if !ok {
			detail := fmt.Sprintf("unknown key %q; known here: %s", join(path, key), strings.Join(slices.Sorted(maps.Keys(fieldsOf(t))), ", "))
			problems = append(problems, Problem{m.place(value.Key), detail})
			continue
		}
		if nested, isMapping := asMapping(value.Value); isMapping && inner != nil {
			problems = append(problems, m.unknownKeys(nested, inner, join(path, key))...)
		}
	}
	return problems
}

// elementOf returns the type of a key's value, nil if it can't hold a mapping.
func elementOf(t reflect.Type, key string) (reflect.Type, bool) {
	inner := t
	switch t.Kind() {
	case reflect.Map:
		inner = t.Elem()
	case reflect.Struct:
		field, ok := fieldsOf(t)[key]
		if !ok {
			return nil, false
		}
		inner = field.Type
	}
	if inner.Kind() != reflect.Map && inner.Kind() != reflect.Struct {
		return nil, true
	}
	return inner, true
}

// decodeProblem names the place of a decoding error and what would be right.
func (m *merger) decodeProblem(err error) error {
	var mistyped *yaml.TypeError
	if errors.As(err, &mistyped) {
		return refuse(m.tokenPlace(mistyped.Token), "%s is wanted here, not %q", wantedText(mistyped.DstType), mistyped.Token.Value)
	}
	var detailed yaml.Error
	if errors.As(err, &detailed) {
		return refuse(m.tokenPlace(detailed.GetToken()), "%s", detailed.GetMessage())
	}
	return refuse(Position{}, "%s", shortError(err))
}

// wantedText describes a type to an operator.
func wantedText(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a text"
	case reflect.Slice:
		return "a list, as in [a, b]"
	}
	return "a mapping, as in {key: value}"
}

func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i)
		}
	}
	return fields
}

// UnmarshalYAML accepts a text with a unit only: a bare number would leave the
// unit to guesswork.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	parsed, err := time.ParseDuration(text)
	if err != nil || node.Type() != ast.StringType {
		return durationError(node.GetToken(), text)
	}
	*d = Duration(parsed)
	return nil
}

func durationError(t *token.Token, text string) error {
	return &yaml.SyntaxError{Token: t, Message: fmt.Sprintf("a duration wants a number and a unit, as in 300ms, 20s or 5m; found %q", text)}
}
