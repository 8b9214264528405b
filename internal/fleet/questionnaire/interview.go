package questionnaire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/egretbend/egretbend/internal/kernel/setting"
)

// Inputs that are commands instead of answers.
const (
	inputBack = "<"
	inputHelp = "?"
)

// maxListLength is the maximum number of entries of a list in an interview.
const maxListLength = 50

// ErrInputEnded is returned if the input ends before all questions are answered.
var ErrInputEnded = errors.New("the input ended before all questions were answered; what was answered is saved")

// question asks for one field of the answers.
type question struct {
	path         string
	kind         reflect.Kind
	doc          string
	choices      string
	defaultValue string
	required     bool
}

// Interview asks a person for Answers. The questions are derived from the fields of
// Answers; the next one is always the first field without an answer, so going back only
// removes the last answer.
type Interview struct {
	In  io.Reader
	Out io.Writer

	// values holds the answers so far by path. For a list it is the number of entries.
	values map[string]any
	// answeredPaths lists the paths in the order in which they were answered.
	answeredPaths []string
}

// Run asks until the answers are complete and valid. It returns ErrInputEnded if the
// input ends before.
func (v *Interview) Run() (*Answers, error) {
	v.values = make(map[string]any)
	v.set("format", json.Number(strconv.Itoa(Format)))
	lines := bufio.NewScanner(v.In)
	fmt.Fprintf(v.Out, "Enter takes the value in brackets; %s explains; %s goes back.\n", inputHelp, inputBack)
	for {
		q, ok := nextQuestion(reflect.TypeFor[Answers](), "", v.values)
		if !ok {
			a, err := v.parseAnswers()
			if err == nil {
				return a, nil
			}
			v.askAgain(err)
			continue
		}
		fmt.Fprintf(v.Out, "%s ", q.prompt())
		if !lines.Scan() {
			return nil, ErrInputEnded
		}
		v.handleInput(q, strings.TrimSpace(lines.Text()))
	}
}

// AnswersJSON returns the answers so far as JSON.
func (v *Interview) AnswersJSON() ([]byte, error) {
	return json.MarshalIndent(buildObject(reflect.TypeFor[Answers](), "", v.values), "", "  ")
}

// handleInput runs the command or stores the answer that was entered for a question.
func (v *Interview) handleInput(q question, text string) {
	switch text {
	case inputBack:
		v.undo()
		return
	case inputHelp:
		fmt.Fprintf(v.Out, "  %s\n", q.doc)
		return
	case "":
		text = q.defaultValue
	}
	value, err := q.parse(text)
	if err != nil {
		fmt.Fprintf(v.Out, "  %v\n", err)
		return
	}
	v.set(q.path, value)
}

func (v *Interview) set(path string, value any) {
	v.values[path] = value
	v.answeredPaths = append(v.answeredPaths, path)
}

// undo removes the last answer. It keeps the format, which is set first.
func (v *Interview) undo() {
	if len(v.answeredPaths) < 2 {
		return
	}
	last := v.answeredPaths[len(v.answeredPaths)-1]
	v.answeredPaths = v.answeredPaths[:len(v.answeredPaths)-1]
	delete(v.values, last)
}

// parseAnswers decodes and checks the complete answers.
func (v *Interview) parseAnswers() (*Answers, error) {
	data, err := v.AnswersJSON()
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

// askAgain prints err and removes the answers that it concerns, so that they are asked
// again. If a fault concerns no single answer, the last answer is removed.
func (v *Interview) askAgain(err error) {
	fmt.Fprintf(v.Out, "%v\n", err)
	var faults setting.FieldErrors
	if !errors.As(err, &faults) {
		v.undo()
		return
	}
	for _, f := range faults {
		if _, ok := v.values[f.Path]; ok && f.Path != "format" {
			delete(v.values, f.Path)
			continue
		}
		v.undo()
	}
}

// nextQuestion returns the question for the first field that has no answer.
func nextQuestion(t reflect.Type, path string, values map[string]any) (question, bool) {
	for i := range t.NumField() {
		field := t.Field(i)
		_, fieldPath := setting.FieldPath(field, path)
		value, answered := values[fieldPath]
		if !answered {
			return newQuestion(field, fieldPath), true
		}
		if field.Type.Kind() != reflect.Slice {
			continue
		}
		for n := range value.(int) {
			if isText(field.Type.Elem()) {
				path := fmt.Sprintf("%s[%d]", fieldPath, n)
				if _, answered := values[path]; !answered {
					return newTextQuestion(field, path), true
				}
				continue
			}
			if q, ok := nextQuestion(field.Type.Elem(), fmt.Sprintf("%s[%d]", fieldPath, n), values); ok {
				return q, true
			}
		}
	}
	return question{}, false
}

func newQuestion(field reflect.StructField, path string) question {
	q := question{
		path:         path,
		kind:         field.Type.Kind(),
		doc:          field.Tag.Get("doc"),
		choices:      field.Tag.Get("oneof"),
		defaultValue: field.Tag.Get("default"),
		required:     field.Tag.Get("need") == "true",
	}
	if q.kind == reflect.Slice {
		q.defaultValue = "0"
	}
	return q
}

// isText reports whether the entries of a list are texts, and not objects with fields.
func isText(t reflect.Type) bool { return t.Kind() == reflect.String }

// newTextQuestion asks for one entry of a list of texts.
func newTextQuestion(field reflect.StructField, path string) question {
	return question{
		path:     path,
		kind:     reflect.String,
		doc:      field.Tag.Get("doc"),
		required: true,
	}
}

func (q question) prompt() string {
	text := q.path
	if q.kind == reflect.Slice {
		text = "how many " + text
	}
	if q.choices != "" {
		text += " (" + strings.ReplaceAll(q.choices, ",", " or ") + ")"
	}
	if q.defaultValue != "" {
		text += " [" + q.defaultValue + "]"
	}
	return text + ":"
}

// parse converts the entered text to the value of the answer.
func (q question) parse(text string) (any, error) {
	if text == "" && q.required {
		return nil, errors.New("an answer is required")
	}
	switch q.kind {
	case reflect.String:
		if q.choices != "" && !slices.Contains(strings.Split(q.choices, ","), text) {
			return nil, fmt.Errorf("choose one of %s", q.choices)
		}
		return text, nil
	case reflect.Bool:
		return parseBool(text)
	case reflect.Slice:
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxListLength {
			return nil, fmt.Errorf("enter a number from 0 to %d", maxListLength)
		}
		return n, nil
	}
	if _, err := strconv.ParseFloat(text, 64); err != nil {
		return nil, errors.New("enter a number")
	}
	return json.Number(text), nil
}

func parseBool(text string) (any, error) {
	switch text {
	case "true", "yes", "y":
		return true, nil
	case "false", "no", "n":
		return false, nil
	}
	return nil, errors.New("enter yes or no")
}

// buildObject returns the answers below path as a JSON object.
func buildObject(t reflect.Type, path string, values map[string]any) map[string]any {
	out := make(map[string]any)
	for i := range t.NumField() {
		field := t.Field(i)
		name, fieldPath := setting.FieldPath(field, path)
		value, ok := values[fieldPath]
		if !ok {
			continue
		}
		if field.Type.Kind() != reflect.Slice {
			out[name] = value
			continue
		}
		list := make([]any, 0, value.(int))
		if isText(field.Type.Elem()) {
			// Without an entry, the list is left out.
			for n := range value.(int) {
				if text, ok := values[fmt.Sprintf("%s[%d]", fieldPath, n)]; ok {
					list = append(list, text)
				}
			}
			if len(list) > 0 {
				out[name] = list
			}
			continue
		}
		for n := range value.(int) {
			list = append(list, buildObject(field.Type.Elem(), fmt.Sprintf("%s[%d]", fieldPath, n), values))
		}
		out[name] = list
	}
	return out
}

// Parse decodes and checks saved answers.
func Parse(data []byte) (*Answers, error) {
	a := &Answers{}
	if err := setting.Decode(data, a); err != nil {
		return nil, err
	}
	return a, nil
}
