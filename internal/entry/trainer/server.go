package trainer

import (
	"net/http"

	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/entry/budget"
	"github.com/egretbend/egretbend/internal/entry/httpserver"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/rollout/runner"
	"github.com/egretbend/egretbend/internal/rollout/session"
)

// Limits of trainers' requests, in bytes.
const (
	maxSmallBody = 64 << 10
	maxStepBody  = 64 << 20
)

// Server handles the requests of trainers.
type Server struct {
	Versions      *version.Table
	Configuration *configuration.Holder
	Runner        *runner.Runner
}

// OpenSessionRequest is the body of POST /v1/trainers/{trainer}/sessions.
type OpenSessionRequest struct {
	// Session is the number of the session. The trainer increases it for each session
	// that it opens.
	Session uint64 `json:"session"`
}

// SubmitStepRequest is the body of POST /v1/trainers/{trainer}/steps.
type SubmitStepRequest struct {
	Session uint64       `json:"session"`
	Step    session.Spec `json:"step"`
}

func init() {
	part.Register(part.Factory{
		Name:  "entry.trainer",
		Stage: part.StageHandlers,
		Make:  makePart,
	})
}

func makePart(h *part.Host) (part.Part, error) {
	s := &Server{
		Versions:      part.MustGet[*version.Table](h),
		Configuration: part.MustGet[*configuration.Holder](h),
		Runner:        part.MustGet[*runner.Runner](h),
	}
	mux := part.MustGet[*httpserver.Mux](h)
	key := h.Settings.Security.TrainerKey
	mux.HandleFunc(pat.Post("/v1/models/:deployment/versions"), httpserver.RequireKey(key, s.publishVersion))
	mux.HandleFunc(pat.Post("/v1/trainers/:trainer/sessions"), httpserver.RequireKey(key, s.openSession))
	mux.HandleFunc(pat.Post("/v1/trainers/:trainer/steps"), httpserver.RequireKey(key, s.submitStep))
	mux.HandleFunc(pat.Post("/v1/trainers/:trainer/read"), httpserver.RequireKey(key, s.readBatch))
	return part.Noop{}, nil
}

// publishVersion serves POST /v1/models/{deployment}/versions.
func (s *Server) publishVersion(w http.ResponseWriter, r *http.Request) {
	deployment := pat.Param(r, "deployment")
	var body version.Published
	if err := problem.ReadJSON(w, r, maxSmallBody, &body); err != nil {
		problem.Write(w, err)
		return
	}
	if err := s.checkModel(deployment); err != nil {
		problem.Write(w, err)
		return
	}
	if body.Version.IsZero() {
		problem.Write(w, problem.BadRequest.Withf("version: expected an epoch or number of at least 1"))
		return
	}
	if err := s.Versions.Publish(deployment, body); err != nil {
		problem.Write(w, err)
		return
	}
	problem.WriteJSON(w, http.StatusOK, body)
}

// checkModel returns an error unless the configuration has a model deployment of that
// name.
func (s *Server) checkModel(deployment string) error {
	doc := s.Configuration.Current()
	if doc == nil {
		return problem.NotReady.Withf("no configuration yet")
	}
	d, ok := doc.Parsed().Deployment(deployment)
	if !ok || d.Kind != configuration.KindModel {
		return problem.UnknownDeployment.Withf("no model deployment %q", deployment)
	}
	return nil
}

// openSession serves POST /v1/trainers/{trainer}/sessions.
func (s *Server) openSession(w http.ResponseWriter, r *http.Request) {
	var body OpenSessionRequest
	if err := problem.ReadJSON(w, r, maxSmallBody, &body); err != nil {
		problem.Write(w, err)
		return
	}
	if err := s.Runner.Open(pat.Param(r, "trainer"), body.Session); err != nil {
		problem.Write(w, err)
		return
	}
	problem.WriteJSON(w, http.StatusOK, body)
}

// submitStep serves POST /v1/trainers/{trainer}/steps.
func (s *Server) submitStep(w http.ResponseWriter, r *http.Request) {
	var body SubmitStepRequest
	if err := problem.ReadJSON(w, r, maxStepBody, &body); err != nil {
		problem.Write(w, err)
		return
	}
	status, err := s.Runner.Submit(r.Context(), pat.Param(r, "trainer"), body.Session, body.Step)
	if err != nil {
		problem.Write(w, err)
		return
	}
	problem.WriteJSON(w, http.StatusOK, status)
}

// readBatch serves POST /v1/trainers/{trainer}/read.
func (s *Server) readBatch(w http.ResponseWriter, r *http.Request) {
	var body runner.ReadArgs
	if err := problem.ReadJSON(w, r, maxSmallBody, &body); err != nil {
		problem.Write(w, err)
		return
	}
	batch, err := s.Runner.Read(r.Context(), pat.Param(r, "trainer"), body)
	if err == nil {
		// The batch before was acknowledged: this one waits for room and is not refused.
		err = budget.FromContext(r.Context()).Await(r.Context(), batchBytes(batch))
	}
	if err != nil {
		problem.Write(w, err)
		return
	}
	problem.WriteJSON(w, http.StatusOK, batch)
}

// batchBytes returns about how much memory the JSON form of a batch takes.
func batchBytes(b session.Batch) int64 {
	n := 0
	for _, e := range b.Entries {
		n += len(e.Sample)
	}
	return int64(n)
}
