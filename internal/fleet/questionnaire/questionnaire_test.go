package questionnaire_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/questionnaire"
)

const examples = "../../../examples"

// Guards against an example whose configuration does not follow from its answers,
// because the configuration was edited by hand or the generator changed. A new team
// would copy it.
func TestExamplesMatchGeneratedConfiguration(t *testing.T) {
	for _, team := range []string{"verhaeghe", "labelpoint"} {
		t.Run(team, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(filepath.Join(examples, team, "answers.json"))
			is.NoErr(err)
			a, err := questionnaire.Parse(data)
			is.NoErr(err)
			want, err := os.ReadFile(filepath.Join(examples, team, "configuration.json"))
			is.NoErr(err)
			got, reasons, err := questionnaire.Generate(a)
			is.NoErr(err)
			is.Equal(string(got), string(want)) // run `make generate`
			is.True(len(reasons) > 0)
			again, _, err := questionnaire.Generate(a)
			is.NoErr(err)
			is.Equal(string(got), string(again))
		})
	}
}

// Guards against answers that drop late steps without a time limit, or put staleness
// first but allow very old samples. The configuration would do neither; both
// contradictions must be reported at once.
func TestParseReportsAllContradictions(t *testing.T) {
	is := is.New(t)
	_, err := questionnaire.Parse([]byte(`{"format": 1, "title": "t", "team": "t", "models": [
		{"name": "m", "group": "g", "late_rounds": "drop", "matters_more": "staleness", "oldest_versions": 100}]}`))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "models[0].late_after_seconds"))
	is.True(strings.Contains(err.Error(), "models[0].oldest_versions"))
}

// Runs an interview in which a person asks for help, goes back, and gives an answer
// that contradicts an earlier one.
func TestInterviewGoesBackAndAsksAgain(t *testing.T) {
	is := is.New(t)
	typed := []string{
		"Panels", "?", "Labelpiont", "<", "Labelpoint",
		"0", // no services
		"1", "label", "writers", "", "", "", "", "",
		"staleness", "100", "", "", "", "", "", "0", // a model whose samples may be too old
		"1", "be-flanders", // the regions of the model
		"0", "0", "", "", // callers, organisations, instances, replacing
		"2", // the age again
	}
	var out bytes.Buffer
	v := &questionnaire.Interview{
		In:  strings.NewReader(strings.Join(typed, "\n") + "\n"),
		Out: &out,
	}
	a, err := v.Run()
	if err != nil {
		t.Log(out.String())
	}
	is.NoErr(err)
	is.Equal(a.Team, "Labelpoint")
	is.Equal(a.Models[0].OldestVersions, uint64(2))
	is.True(strings.Contains(out.String(), "staleness matters more"))
	data, _, err := questionnaire.Generate(a)
	is.NoErr(err)
	cfg, err := configuration.Parse(data)
	is.NoErr(err)
	d, ok := cfg.Deployment("label")
	is.True(ok)
	is.Equal(d.Rounds.Weighting, configuration.WeightStaleness)
	is.Equal(d.AllowedRegions, []string{"be-flanders"})
}

// Guards against a list of regions that allows nothing, which would refuse every request.
func TestListsOfRegionsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := questionnaire.Parse([]byte(`{"format": 1, "title": "t", "team": "t", "services": [
		{"name": "s", "group": "g", "allowed_regions": []}], "organisations": [{"name": "o", "allowed_regions": ["a", "", "a"]}]}`))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "services[0].allowed_regions: expected at least one region"))
	is.True(strings.Contains(err.Error(), "organisations[0].allowed_regions[1]"))
	is.True(strings.Contains(err.Error(), "organisations[0].allowed_regions[2]"))
}
