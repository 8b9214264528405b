package setting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// Fault is one wrong field.
type Fault struct {
	Path     string
	Expected string
	Got      string
	Remedy   string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: expected %s, got %s; %s", f.Path, f.Expected, f.Got, f.Remedy)
}

// Faults are all that is wrong with a file.
type Faults []Fault

// Error implements error with one line a fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by types with rules beyond their tags.
type Checker interface {
	// Check returns what is wrong, with paths below path.
	Check(path string) []Fault
}

// Decode reads data into v, a pointer to a struct, and returns Faults.
func Decode(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var raw any
	if err := dec.Decode(&raw); err != nil {
		return Faults{{
			Path:     "(file)",
			Expected: "JSON",
			Got:      err.Error(),
			Remedy:   "mend the syntax at that place",
		}}
	}
	var faults Faults
	rv := reflect.ValueOf(v).Elem()
	fill(rv, raw, "", &faults)
	if len(faults) == 0 {
		runChecks(rv, "", &faults)
	}
	if len(faults) > 0 {
		sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
		return faults
	}
	return nil
}

func fill(rv reflect.Value, raw any, path string, faults *Faults) {
	switch rv.Kind() {
	case reflect.Pointer:
		rv.Set(reflect.New(rv.Type().Elem()))
		fill(rv.Elem(), raw, path, faults)
	case reflect.Struct:
		fillStruct(rv, raw, path, faults)
	case reflect.Slice:
		fillSlice(rv, raw, path, faults)
	case reflect.Map:
		fillMap(rv, raw, path, faults)
	default:
		fillScalar(rv, raw, path, faults)
	}
}

func fillStruct(rv reflect.Value, raw any, path string, faults *Faults) {
	m, ok := raw.(map[string]any)
	if !ok {
		faults.add(path, "an object", raw, "write {...}")
		return
	}
	known := make(map[string]bool)
	for i := range rv.NumField() {
		field := rv.Type().Field(i)
		name := jsonName(field)
		if name == "" {
			continue
		}
		known[name] = true
		fillField(rv.Field(i), field, m, join(path, name), faults)
	}
	for name, got := range m {
		if !known[name] {
			faults.add(join(path, name), "no such field", got, "remove it or use one of "+strings.Join(sortedKeys(known), ", "))
		}
	}
}

func fillField(fv reflect.Value, field reflect.StructField, m map[string]any, path string, faults *Faults) {
	got, present := m[jsonName(field)]
	if present && got != nil {
		before := len(*faults)
		fill(fv, got, path, faults)
		if len(*faults) == before {
			checkTags(fv, field.Tag, got, path, faults)
		}
		return
	}
	if field.Tag.Get("need") == "true" {
		faults.add(path, describe(field.Type), nil, "add the field")
		return
	}
	if d, ok := field.Tag.Lookup("default"); ok {
		setDefault(fv, d)
		return
	}
	if field.Type.Kind() == reflect.Struct {
		fill(fv, map[string]any{}, path, faults)
	}
}

func fillSlice(rv reflect.Value, raw any, path string, faults *Faults) {
	list, ok := raw.([]any)
	if !ok {
		faults.add(path, "a list", raw, "write [...]")
		return
	}
	rv.Set(reflect.MakeSlice(rv.Type(), len(list), len(list)))
	for i, item := range list {
		fill(rv.Index(i), item, fmt.Sprintf("%s[%d]", path, i), faults)
	}
}

func fillMap(rv reflect.Value, raw any, path string, faults *Faults) {
	m, ok := raw.(map[string]any)
	if !ok {
		faults.add(path, "an object", raw, "write {...}")
		return
	}
	rv.Set(reflect.MakeMap(rv.Type()))
	for key, item := range m {
		elem := reflect.New(rv.Type().Elem()).Elem()
		fill(elem, item, join(path, key), faults)
		rv.SetMapIndex(reflect.ValueOf(key), elem)
	}
}

func fillScalar(rv reflect.Value, raw any, path string, faults *Faults) {
	expected := describe(rv.Type())
	switch rv.Kind() {
	case reflect.String:
		if s, ok := raw.(string); ok {
			rv.SetString(s)
			return
		}
	case reflect.Bool:
		if b, ok := raw.(bool); ok {
			rv.SetBool(b)
			return
		}
	case reflect.Int, reflect.Int64:
		if n, ok := raw.(json.Number); ok {
			if i, err := n.Int64(); err == nil {
				rv.SetInt(i)
				return
			}
		}
	case reflect.Uint64, reflect.Uint32:
		if n, ok := raw.(json.Number); ok {
			if u, err := strconv.ParseUint(n.String(), 10, 64); err == nil {
				rv.SetUint(u)
				return
			}
		}
	case reflect.Float64:
		if n, ok := raw.(json.Number); ok {
			if f, err := n.Float64(); err == nil {
				rv.SetFloat(f)
				return
			}
		}
	}
	faults.add(path, expected, raw, "write "+expected)
}

func checkTags(fv reflect.Value, tag reflect.StructTag, got any, path string, faults *Faults) {
	if words := tag.Get("oneof"); words != "" && fv.Kind() == reflect.String {
		if slices.Contains(strings.Split(words, ","), fv.String()) {
			return
		}
		faults.add(path, "one of "+words, got, "choose one of them")
	}
	n, isNumber := number(fv)
	if !isNumber {
		return
	}
	if low, err := strconv.ParseFloat(tag.Get("min"), 64); err == nil && n < low {
		faults.add(path, "at least "+tag.Get("min"), got, "raise it")
	}
	if high, err := strconv.ParseFloat(tag.Get("max"), 64); err == nil && n > high {
		faults.add(path, "at most "+tag.Get("max"), got, "lower it")
	}
}

func runChecks(rv reflect.Value, path string, faults *Faults) {
	if rv.CanAddr() {
		if c, ok := rv.Addr().Interface().(Checker); ok {
			*faults = append(*faults, c.Check(path)...)
		}
	}
	switch rv.Kind() {
	case reflect.Struct:
		for i := range rv.NumField() {
			if name := jsonName(rv.Type().Field(i)); name != "" {
				runChecks(rv.Field(i), join(path, name), faults)
			}
		}
	case reflect.Slice:
		for i := range rv.Len() {
			runChecks(rv.Index(i), fmt.Sprintf("%s[%d]", path, i), faults)
		}
	}
}

func number(fv reflect.Value) (float64, bool) {
	switch fv.Kind() {
	case reflect.Int, reflect.Int64:
		return float64(fv.Int()), true
	case reflect.Uint32, reflect.Uint64:
		return float64(fv.Uint()), true
	case reflect.Float64:
		return fv.Float(), true
	}
	return 0, false
}

func setDefault(fv reflect.Value, d string) {
	var raw any
	dec := json.NewDecoder(strings.NewReader(d))
	dec.UseNumber()
	if fv.Kind() == reflect.String || dec.Decode(&raw) != nil {
		raw = d
	}
	var ignored Faults
	fill(fv, raw, "", &ignored)
}

func (f *Faults) add(path, expected string, got any, remedy string) {
	text := "nothing"
	if got != nil {
		b, _ := json.Marshal(got)
		text = string(b)
	}
	*f = append(*f, Fault{
		Path:     path,
		Expected: expected,
		Got:      text,
		Remedy:   remedy,
	})
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}

// FieldPath returns the name of a field in its file, and its path below path.
// Both are empty for a field that is not part of the file.
func FieldPath(field reflect.StructField, path string) (name, at string) {
	name = jsonName(field)
	if name == "" {
		return "", ""
	}
	return name, join(path, name)
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" || !field.IsExported() {
		return ""
	}
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
