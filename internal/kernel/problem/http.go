package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Body is the JSON body of every error response.
type Body struct {
	Code         string  `json:"code"`
	Message      string  `json:"message"`
	Remedy       string  `json:"remedy"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

// HeaderOutcome is the response header with the Outcome of a failed request.
const HeaderOutcome = "Egretbend-Outcome"

// Write sends err as a JSON error response, with Retry-After rounded up to whole
// seconds.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	body := Body{
		Code:         e.Kind.Code,
		Message:      e.message(),
		Remedy:       e.Kind.Remedy,
		Outcome:      e.Kind.Outcome,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
	if e.RetryAfter > 0 {
		secs := int64((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(secs, 10))
	}
	w.Header().Set(HeaderOutcome, string(e.Kind.Outcome))
	WriteJSON(w, e.Kind.Status, body)
}

// WriteJSON sends v as a JSON response with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	b = append(b, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
