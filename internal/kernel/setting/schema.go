package setting

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// Schema returns the indented JSON schema for files that decode into v's type.
func Schema(title string, v any) ([]byte, error) {
	s := schemaOf(reflect.TypeOf(v))
	s["$schema"] = "https://json-schema.org/draft/2020-12/schema"
	s["title"] = title
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(b, '\n'), nil
}

func schemaOf(t reflect.Type) map[string]any {
	switch t.Kind() {
	case reflect.Pointer:
		return schemaOf(t.Elem())
	case reflect.Struct:
		return structSchema(t)
	case reflect.Slice:
		return map[string]any{"type": "array", "items": schemaOf(t.Elem())}
	case reflect.Map:
		return map[string]any{"type": "object", "additionalProperties": schemaOf(t.Elem())}
	case reflect.String:
		return map[string]any{"type": "string"}
	case reflect.Bool:
		return map[string]any{"type": "boolean"}
	case reflect.Float64:
		return map[string]any{"type": "number"}
	default:
		return map[string]any{"type": "integer"}
	}
}

func structSchema(t reflect.Type) map[string]any {
	props := make(map[string]any)
	required := []string{}
	for i := range t.NumField() {
		field := t.Field(i)
		name := jsonName(field)
		if name == "" {
			continue
		}
		props[name] = fieldSchema(field)
		if field.Tag.Get("need") == "true" {
			required = append(required, name)
		}
	}
	return map[string]any{
		"type":                 "object",
		"properties":           props,
		"required":             required,
		"additionalProperties": false,
	}
}

func fieldSchema(field reflect.StructField) map[string]any {
	s := schemaOf(field.Type)
	if doc := field.Tag.Get("doc"); doc != "" {
		s["description"] = doc
	}
	if allowed := field.Tag.Get("oneof"); allowed != "" {
		s["enum"] = strings.Split(allowed, ",")
	}
	if low, err := strconv.ParseFloat(field.Tag.Get("min"), 64); err == nil {
		s["minimum"] = low
	}
	if high, err := strconv.ParseFloat(field.Tag.Get("max"), 64); err == nil {
		s["maximum"] = high
	}
	if d, ok := field.Tag.Lookup("default"); ok {
		var raw any
		if field.Type.Kind() == reflect.String || json.Unmarshal([]byte(d), &raw) != nil {
			raw = d
		}
		s["default"] = raw
	}
	return s
}
