package experiment_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// sendRequest sends one request and returns its status and, unless that is 200,
// its error body.
func sendRequest(t *rapid.T, method, url string, header map[string]string, body string) (int, problem.Body) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatalf("request: %v", err)
	}
	for name, v := range header {
		req.Header.Set(name, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("%s %s: no answer: %v", method, url, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("%s %s: %v", method, url, err)
	}
	var b problem.Body
	if res.StatusCode != http.StatusOK && json.Unmarshal(data, &b) != nil {
		t.Fatalf("%s %s: status %d without a typed error: %s", method, url, res.StatusCode, data)
	}
	return res.StatusCode, b
}

// Clients send malformed and oversized bodies, unknown names, wrong headers and
// cursors of other sessions. Guards against input that crashes an instance, an
// error without a remedy, and an invalid request that is accepted.
func TestBadInputGetsTypedError(t *testing.T) {
	f := startFleet(t, "badinput")
	base := "http://" + f.Instances[0].Address
	bodies := []string{"", "{", "[]", "null", "7", `{"unknown": 1}`, `{"session": -1}`, `{"session": "x"}`,
		`{"prompt": "", "max_tokens": 0}`, `{"step": {"step": 1}}`, strings.Repeat("x", 5<<20)}
	endpoints := []struct {
		method, path string
	}{
		{"POST", "/v1/models/cutting-plan/completions"},
		{"POST", "/v1/models/nothing/completions"},
		{"POST", "/v1/models/order-desk/versions"},
		{"POST", "/v1/models/cutting-plan/versions"},
		{"POST", "/v1/services/nothing/x"},
		{"POST", "/v1/services/cutting-plan/x"},
		{"POST", "/v1/trainers/t/sessions"},
		{"POST", "/v1/trainers/t/steps"},
		{"POST", "/v1/trainers/t/read"},
		{"PUT", "/v1/configuration"},
		{"GET", "/v1/configuration/changes/x?revision=y"},
		{"GET", "/v1/addresses?tickets=-1"},
		{"POST", "/v1/tickets?count=100000"},
		{"POST", "/v1/upstreams/nothing/drain"},
		{"GET", "/v1/decisions/nothing"},
		{"DELETE", "/v1/status"},
		{"GET", "/%2e%2e/nothing"},
	}
	property.CheckN(t, 300, func(t *rapid.T) {
		e := rapid.SampledFrom(endpoints).Draw(t, "endpoint")
		header := map[string]string{}
		if rapid.Bool().Draw(t, "caller") {
			header["Egretbend-Caller"] = "c"
		}
		for _, name := range []string{"Egretbend-Deadline-Ms", "Egretbend-Priority", "Egretbend-Idempotent", "Egretbend-Ticket"} {
			if rapid.IntRange(0, 3).Draw(t, "set") == 0 {
				header[name] = rapid.SampledFrom([]string{"-1", "x", "true", "127.0.0.1:1/1/1/1", "a/b/c/d"}).Draw(t, name)
			}
		}
		status, body := sendRequest(t, e.method, base+e.path, header, rapid.SampledFrom(bodies).Draw(t, "body"))
		if status < 400 || status >= 500 && body.Code != problem.TicketHolderGone.Code {
			t.Fatalf("%s %s: unexpected status %d with code %s", e.method, e.path, status, body.Code)
		}
		if body.Code == "" || body.Remedy == "" || body.Outcome == "" {
			t.Fatalf("%s %s: status %d with an incomplete error body %+v", e.method, e.path, status, body)
		}
	})
	is := is.New(t)
	is.True(f.Instances[0].Alive())
	is.True(configurationRevision(f.Instances[0]) > 0)
}
