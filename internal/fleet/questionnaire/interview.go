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

// What a person may type in place of an answer.
const (
	typedBack = "<"
	typedHelp = "?"
)

// listMost is the most entries of a list that an interview asks for.
const listMost = 50

// ErrEnded means that the input ended before all questions were answered.
var ErrEnded = errors.New("the input ended before all questions were answered; what was answered is saved")

// question is one thing to ask.
type question struct {
	path    string
	kind    reflect.Kind
	doc     string
	choices string
	preset  string
	need    bool
}

// Interview asks a person for answers. The questions follow from the type of
// the answers; which comes next follows from what was answered so far, so going
// back is forgetting the last answer.
type Interview struct {
	In  io.Reader
	Out io.Writer

	given map[string]any
	order []string
}

// Run asks until the answers are complete and don't contradict each other.
func (v *Interview) Run() (*Answers, error) {
	v.given = make(map[string]any)
	v.put("format", json.Number(strconv.Itoa(Format)))
	lines := bufio.NewScanner(v.In)
	fmt.Fprintf(v.Out, "Enter takes the value in brackets; %s explains; %s goes back.\n", typedHelp, typedBack)
	for {
		q, ok := next(reflect.TypeFor[Answers](), "", v.given)
		if !ok {
			a, err := v.finish()
			if err == nil {
				return a, nil
			}
			v.reopen(err)
			continue
		}
		fmt.Fprintf(v.Out, "%s ", q.prompt())
		if !lines.Scan() {
			return nil, ErrEnded
		}
		v.answer(q, strings.TrimSpace(lines.Text()))
	}
}

// Given returns what was answered so far as JSON.
func (v *Interview) Given() ([]byte, error) {
	return json.MarshalIndent(build(reflect.TypeFor[Answers](), "", v.given), "", "  ")
}

func (v *Interview) answer(q question, text string) {
	switch text {
	case typedBack:
		v.back()
		return
	case typedHelp:
		fmt.Fprintf(v.Out, "  %s\n", q.doc)
		return
	case "":
		text = q.preset
	}
	value, err := q.read(text)
	if err != nil {
		fmt.Fprintf(v.Out, "  %v\n", err)
		return
	}
	v.put(q.path, value)
}

func (v *Interview) put(path string, value any) {
	v.given[path] = value
	v.order = append(v.order, path)
}

// back forgets the last answer, but not the format.
func (v *Interview) back() {
	if len(v.order) < 2 {
		return
	}
	last := v.order[len(v.order)-1]
	v.order = v.order[:len(v.order)-1]
	delete(v.given, last)
}

// finish checks the complete answers.
func (v *Interview) finish() (*Answers, error) {
	data, err := v.Given()
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

// reopen says what is wrong and forgets the answers that it is about.
func (v *Interview) reopen(err error) {
	fmt.Fprintf(v.Out, "%v\n", err)
	var faults setting.Faults
	if !errors.As(err, &faults) {
		v.back()
		return
	}
	for _, f := range faults {
		if _, ok := v.given[f.Path]; ok && f.Path != "format" {
			delete(v.given, f.Path)
			continue
		}
		v.back()
	}
}

// next returns the first question that has no answer.
func next(t reflect.Type, path string, given map[string]any) (question, bool) {
	for i := range t.NumField() {
		field := t.Field(i)
		_, at := setting.FieldPath(field, path)
		value, answered := given[at]
		if !answered {
			return newQuestion(field, at), true
		}
		if field.Type.Kind() != reflect.Slice {
			continue
		}
		for n := range value.(int) {
			if q, ok := next(field.Type.Elem(), fmt.Sprintf("%s[%d]", at, n), given); ok {
				return q, true
			}
		}
	}
	return question{}, false
}

func newQuestion(field reflect.StructField, path string) question {
	q := question{
		path:    path,
		kind:    field.Type.Kind(),
		doc:     field.Tag.Get("doc"),
		choices: field.Tag.Get("oneof"),
		preset:  field.Tag.Get("default"),
		need:    field.Tag.Get("need") == "true",
	}
	if q.kind == reflect.Slice {
		q.preset = "0"
	}
	return q
}

func (q question) prompt() string {
	text := q.path
	if q.kind == reflect.Slice {
		text = "how many " + text
	}
	if q.choices != "" {
		text += " (" + strings.ReplaceAll(q.choices, ",", " or ") + ")"
	}
	if q.preset != "" {
		text += " [" + q.preset + "]"
	}
	return text + ":"
}

func (q question) read(text string) (any, error) {
	if text == "" && q.need {
		return nil, errors.New("this needs an answer")
	}
	switch q.kind {
	case reflect.String:
		if q.choices != "" && !slices.Contains(strings.Split(q.choices, ","), text) {
			return nil, fmt.Errorf("choose one of %s", q.choices)
		}
		return text, nil
	case reflect.Bool:
		return readBool(text)
	case reflect.Slice:
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > listMost {
			return nil, fmt.Errorf("write a number from 0 to %d", listMost)
		}
		return n, nil
	}
	if _, err := strconv.ParseFloat(text, 64); err != nil {
		return nil, errors.New("write a number")
	}
	return json.Number(text), nil
}

func readBool(text string) (any, error) {
	switch text {
	case "true", "yes", "y":
		return true, nil
	case "false", "no", "n":
		return false, nil
	}
	return nil, errors.New("write yes or no")
}

// build returns the answers as a JSON value.
func build(t reflect.Type, path string, given map[string]any) map[string]any {
	out := make(map[string]any)
	for i := range t.NumField() {
		field := t.Field(i)
		name, at := setting.FieldPath(field, path)
		value, ok := given[at]
		if !ok {
			continue
		}
		if field.Type.Kind() != reflect.Slice {
			out[name] = value
			continue
		}
		list := make([]any, 0, value.(int))
		for n := range value.(int) {
			list = append(list, build(field.Type.Elem(), fmt.Sprintf("%s[%d]", at, n), given))
		}
		out[name] = list
	}
	return out
}

// Parse checks saved answers.
func Parse(data []byte) (*Answers, error) {
	a := &Answers{}
	if err := setting.Decode(data, a); err != nil {
		return nil, err
	}
	return a, nil
}
