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

// FieldError describes one invalid field of a file.
type FieldError struct {
	Path     string
	Expected string
	Got      string
	Remedy   string
}

// String returns the error as one line.
func (f FieldError) String() string {
	return fmt.Sprintf("%s: expected %s, got %s; %s", f.Path, f.Expected, f.Got, f.Remedy)
}

// FieldErrors lists all invalid fields of a file.
type FieldErrors []FieldError

// Error implements error. Each field error is one line of the text.
func (f FieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, e := range f {
		lines = append(lines, e.String())
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by types with validation rules that tags can't express.
type Validator interface {
	// Validate validates the receiver, whose path in the file is path, and returns an
	// error for each violated rule.
	Validate(path string) []FieldError
}

// Decode decodes JSON data into v, a pointer to a struct. Its error is of type
// FieldErrors, sorted by path. Validators run only when all fields are valid by their tags.
func Decode(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var raw any
	if err := dec.Decode(&raw); err != nil {
		return FieldErrors{{
			Path:     "(file)",
			Expected: "JSON",
			Got:      err.Error(),
			Remedy:   "fix the syntax error at that position",
		}}
	}
	var errs FieldErrors
	rv := reflect.ValueOf(v).Elem()
	decodeValue(rv, raw, "", &errs)
	if len(errs) == 0 {
		runValidators(rv, "", &errs)
	}
	if len(errs) > 0 {
		sort.SliceStable(errs, func(i, j int) bool { return errs[i].Path < errs[j].Path })
		return errs
	}
	return nil
}

// decodeValue sets rv to raw, a value decoded from JSON, and adds an error for each
// value that doesn't fit its type.
func decodeValue(rv reflect.Value, raw any, path string, errs *FieldErrors) {
	switch rv.Kind() {
	case reflect.Pointer:
		rv.Set(reflect.New(rv.Type().Elem()))
		decodeValue(rv.Elem(), raw, path, errs)
	case reflect.Struct:
		decodeStruct(rv, raw, path, errs)
	case reflect.Slice:
		decodeSlice(rv, raw, path, errs)
	case reflect.Map:
		decodeMap(rv, raw, path, errs)
	default:
		decodeScalar(rv, raw, path, errs)
	}
}

func decodeStruct(rv reflect.Value, raw any, path string, errs *FieldErrors) {
	m, ok := raw.(map[string]any)
	if !ok {
		errs.add(path, "an object", raw, "write {...}")
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
		decodeField(rv.Field(i), field, m, joinPath(path, name), errs)
	}
	for name, got := range m {
		if !known[name] {
			errs.add(joinPath(path, name), "no such field", got, "remove it or use one of "+strings.Join(sortedKeys(known), ", "))
		}
	}
}

// decodeField sets one struct field from the object m. An absent or null field is an
// error if it is required, and otherwise gets its default; a struct without a default
// gets those of its fields.
func decodeField(fv reflect.Value, field reflect.StructField, m map[string]any, path string, errs *FieldErrors) {
	got, present := m[jsonName(field)]
	if present && got != nil {
		before := len(*errs)
		decodeValue(fv, got, path, errs)
		if len(*errs) == before {
			checkTags(fv, field.Tag, got, path, errs)
		}
		return
	}
	if field.Tag.Get("need") == "true" {
		errs.add(path, describeType(field.Type), nil, "add the field")
		return
	}
	if d, ok := field.Tag.Lookup("default"); ok {
		setDefault(fv, d)
		return
	}
	if field.Type.Kind() == reflect.Struct {
		decodeValue(fv, map[string]any{}, path, errs)
	}
}

func decodeSlice(rv reflect.Value, raw any, path string, errs *FieldErrors) {
	list, ok := raw.([]any)
	if !ok {
		errs.add(path, "a list", raw, "write [...]")
		return
	}
	rv.Set(reflect.MakeSlice(rv.Type(), len(list), len(list)))
	for i, item := range list {
		decodeValue(rv.Index(i), item, fmt.Sprintf("%s[%d]", path, i), errs)
	}
}

func decodeMap(rv reflect.Value, raw any, path string, errs *FieldErrors) {
	m, ok := raw.(map[string]any)
	if !ok {
		errs.add(path, "an object", raw, "write {...}")
		return
	}
	rv.Set(reflect.MakeMap(rv.Type()))
	for key, item := range m {
		elem := reflect.New(rv.Type().Elem()).Elem()
		decodeValue(elem, item, joinPath(path, key), errs)
		rv.SetMapIndex(reflect.ValueOf(key), elem)
	}
}

func decodeScalar(rv reflect.Value, raw any, path string, errs *FieldErrors) {
	expected := describeType(rv.Type())
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
	errs.add(path, expected, raw, "write "+expected)
}

// checkTags checks a decoded field against its oneof, min and max tags.
func checkTags(fv reflect.Value, tag reflect.StructTag, got any, path string, errs *FieldErrors) {
	if allowed := tag.Get("oneof"); allowed != "" && fv.Kind() == reflect.String {
		if slices.Contains(strings.Split(allowed, ","), fv.String()) {
			return
		}
		errs.add(path, "one of "+allowed, got, "choose one of them")
	}
	n, isNumber := numericValue(fv)
	if !isNumber {
		return
	}
	if low, err := strconv.ParseFloat(tag.Get("min"), 64); err == nil && n < low {
		errs.add(path, "at least "+tag.Get("min"), got, "raise it")
	}
	if high, err := strconv.ParseFloat(tag.Get("max"), 64); err == nil && n > high {
		errs.add(path, "at most "+tag.Get("max"), got, "lower it")
	}
}

// runValidators calls every Validator in rv and in its struct fields and list items.
func runValidators(rv reflect.Value, path string, errs *FieldErrors) {
	if rv.CanAddr() {
		if validator, ok := rv.Addr().Interface().(Validator); ok {
			*errs = append(*errs, validator.Validate(path)...)
		}
	}
	switch rv.Kind() {
	case reflect.Struct:
		for i := range rv.NumField() {
			if name := jsonName(rv.Type().Field(i)); name != "" {
				runValidators(rv.Field(i), joinPath(path, name), errs)
			}
		}
	case reflect.Slice:
		for i := range rv.Len() {
			runValidators(rv.Index(i), fmt.Sprintf("%s[%d]", path, i), errs)
		}
	}
}

func numericValue(fv reflect.Value) (float64, bool) {
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

// setDefault sets fv to the value of a default tag: the text itself for a string,
// JSON for other types.
func setDefault(fv reflect.Value, d string) {
	var raw any
	dec := json.NewDecoder(strings.NewReader(d))
	dec.UseNumber()
	if fv.Kind() == reflect.String || dec.Decode(&raw) != nil {
		raw = d
	}
	var ignored FieldErrors
	decodeValue(fv, raw, "", &ignored)
}

func (f *FieldErrors) add(path, expected string, got any, remedy string) {
	text := "nothing"
	if got != nil {
		b, _ := json.Marshal(got)
		text = string(b)
	}
	*f = append(*f, FieldError{
		Path:     path,
		Expected: expected,
		Got:      text,
		Remedy:   remedy,
	})
}

// describeType returns the expected JSON type for the text of an error.
func describeType(t reflect.Type) string {
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

// FieldPath returns the JSON name of a field, and its full path, where path is that
// of the struct. Both are empty for a field that is not part of the file.
func FieldPath(field reflect.StructField, path string) (name, fieldPath string) {
	name = jsonName(field)
	if name == "" {
		return "", ""
	}
	return name, joinPath(path, name)
}

// jsonName returns the name in the json tag, or an empty string for a field that is
// not part of the file.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" || !field.IsExported() {
		return ""
	}
	return name
}

func joinPath(path, name string) string {
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
