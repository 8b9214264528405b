package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// runCommand runs the command line and returns its exit code, output and error output.
func runCommand(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := Main(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// Guards against published schemas that lack a field which was added to a file format.
// An operator's editor would mark a correct file as wrong.
func TestPublishedSchemasAreUpToDate(t *testing.T) {
	for name, file := range map[string]string{
		"settings": "settings.schema.json",
		"config":   "configuration.schema.json",
		"answers":  "answers.schema.json",
	} {
		is := is.New(t)
		want, err := os.ReadFile(filepath.Join("../../../docs", file))
		is.NoErr(err)
		code, out, _ := runCommand("schema", name)
		is.Equal(code, ExitDone)
		is.Equal(out, string(want)) // run `make generate`
	}
}

// Guards against reporting only the first error of a settings file. An operator would
// have to start an instance repeatedly to find all errors.
func TestCheckReportsAllErrorsOfAFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(`{"name": 7, "listn": "x", "region": "r", "failure_domain": "f",
		"listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2", "key_value": {"address": "127.0.0.1:3", "adaptor": "http"},
		"log_level": "loud"}`), 0o600))
	for _, args := range [][]string{{"check", "--settings", path}, {"serve", "--settings", path}} {
		code, _, errOut := runCommand(args...)
		is.Equal(code, ExitInput)
		for _, want := range []string{"name: expected a string", "listn: expected no such field", "key_value.adaptor", "log_level", "roster: expected an object, got nothing; add the field"} {
			if !strings.Contains(errOut, want) {
				t.Errorf("%q is missing in:\n%s", want, errOut)
			}
		}
	}
}

// Guards against a share of the memory for buffers that leaves none for the rest of the
// instance.
func TestBuffersShareHasRange(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(`{"name": "n", "region": "r", "failure_domain": "f", "memory_mb": -1, "buffers_share": 0.9,
		"listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2", "key_value": {"address": "127.0.0.1:3"}, "roster": {"address": "127.0.0.1:4"}}`), 0o600))
	code, _, errOut := runCommand("check", "--settings", path)
	is.Equal(code, ExitInput)
	is.True(strings.Contains(errOut, "buffers_share: expected at most 0.5"))
	is.True(strings.Contains(errOut, "memory_mb: expected at least 0"))
}

// Guards against an instance that listens on an open network without a certificate,
// unless its settings allow plain text. Anyone on that network could read prompts and
// change the configuration.
func TestNonLoopbackListenNeedsCertificateOrPlainText(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	writeSettings := func(security string) {
		is.NoErr(os.WriteFile(path, []byte(`{"name": "a", "region": "r", "failure_domain": "f", "listen": "10.0.0.1:1",
			"peer_listen": "127.0.0.1:2", "key_value": {"address": "127.0.0.1:3"}, "roster": {"address": "127.0.0.1:4"},
			"security": {`+security+`}}`), 0o600))
	}
	writeSettings("")
	code, _, errOut := runCommand("check", "--settings", path)
	is.Equal(code, ExitInput)
	is.True(strings.Contains(errOut, "plain_text"))
	writeSettings(`"plain_text": true`)
	code, _, _ = runCommand("check", "--settings", path)
	is.Equal(code, ExitDone)
}

// Guards against invalid example configurations, which new teams start from.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	for _, team := range []string{"verhaeghe", "labelpoint"} {
		code, _, errOut := runCommand("check", "--config", filepath.Join("../../../examples", team, "configuration.json"))
		is.Equal(errOut, "")
		is.Equal(code, ExitDone)
	}
}

// Guards against reporting the outcome of a change as unknown if no instance could be
// reached: the change was not sent, so it has failed.
func TestPutWithoutInstanceFailsAtOnce(t *testing.T) {
	is := is.New(t)
	code, _, errOut := runCommand("config", "put", "--address", "127.0.0.1:1", "--revision", "0", "--operator", "an",
		"--file", "../../../examples/verhaeghe/configuration.json")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errOut, "try another one"))
}

// Guards against decisions that can't be looked up after their instance has ended: the
// command prints the log lines that contain the id, in the order of their times.
func TestWhyPrintsLogLinesOfID(t *testing.T) {
	is := is.New(t)
	log := filepath.Join(t.TempDir(), "gent-a-1.log")
	is.NoErr(os.WriteFile(log, []byte(
		"timestamp=2026-12-03T02:43:08Z level=info decision=end request_id=batch-1@saddlers\n"+
			"timestamp=2026-12-03T02:43:07Z level=info decision=accept request_id=batch-1\n"+
			"timestamp=2026-12-03T02:43:07Z level=info decision=item batch=batch-1 request_id=item-1\n"+
			"timestamp=2026-12-03T02:43:07Z level=info decision=accept request_id=batch-12\n"), 0o600))
	code, out, _ := runCommand("why", "batch-1", "--log", log)
	is.Equal(code, ExitDone)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.Contains(lines[0], "decision=accept"))
	is.True(strings.Contains(lines[2], "decision=end"))
	code, _, _ = runCommand("why", "batch-1", "--log", log+".gone")
	is.Equal(code, ExitInput)
}

// Guards against keys in the process list, because the command reads the key from
// standard input, and against error messages about a configuration that print a key.
func TestDigest(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	a := &app{
		out: &out,
	}
	is.NoErr(a.digest(strings.NewReader("a key\n")))
	config := filepath.Join(t.TempDir(), "c.json")
	text := func(digest string) []byte {
		return []byte(`{"format":1,"team":"t","deployments":[],"organisations":[{"name":"saddlers","key_digests":["` + digest + `"]},
			{"name":"bookbinders","key_digests":["` + digest + `"]}]}`)
	}
	is.NoErr(os.WriteFile(config, text(strings.TrimSpace(out.String())), 0o600))
	code, _, errOut := runCommand("check", "--config", config)
	is.Equal(code, ExitInput)
	is.True(strings.Contains(errOut, `organisations[1].key_digests[0]: expected a key of one organisation, got one that "saddlers" holds too`))
	is.NoErr(os.WriteFile(config, text("a key"), 0o600))
	code, _, errOut = runCommand("check", "--config", config)
	is.Equal(code, ExitInput)
	is.True(!strings.Contains(errOut, "a key\"")) // a value that may be a key is not printed
	is.True(a.digest(strings.NewReader(" \n")) != nil)
}
