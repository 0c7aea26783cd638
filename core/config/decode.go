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

// decode decodes the merged mapping into a snapshot. Unknown keys are errors.
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

// unknownKeys lists the keys of a mapping that its type t does not have, in file
// order.
func (m *merger) unknownKeys(mapping *ast.MappingNode, t reflect.Type, path string) []Problem {
	var problems []Problem
	for _, value := range mapping.Values {
		key := value.Key.GetToken().Value
		inner, ok := elementOf(t, key)
		if !ok {
			detail := fmt.Sprintf("unknown key %q; known here: %s", join(path, key), strings.Join(slices.Sorted(maps.Keys(fieldsOf(t))), ", "))
			problems = append(problems, Problem{m.position(value.Key), detail})
			continue
		}
		if nested, isMapping := asMapping(value.Value); isMapping && inner != nil {
			problems = append(problems, m.unknownKeys(nested, inner, join(path, key))...)
		}
	}
	return problems
}

// elementOf returns the type of a key's value, or nil if it can't hold a mapping.
// It returns false for an unknown key.
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

// decodeProblem converts a decoding error to an InvalidError with the position and
// the expected type.
func (m *merger) decodeProblem(err error) error {
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		return invalid(m.tokenPosition(typeError.Token), "%s is wanted here, not %q", expectedText(typeError.DstType), typeError.Token.Value)
	}
	var detailed yaml.Error
	if errors.As(err, &detailed) {
		return invalid(m.tokenPosition(detailed.GetToken()), "%s", detailed.GetMessage())
	}
	return invalid(Position{}, "%s", shortError(err))
}

// expectedText describes the expected type to an operator.
func expectedText(t reflect.Type) string {
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

// UnmarshalYAML accepts only a string with a unit, since the unit of a bare number
// would be ambiguous.
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
