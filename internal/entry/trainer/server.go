package trainer

import (
	"net/http"

	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/entry/door"
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
	Board  *version.Board
	Holder *configuration.Holder
	Runner *runner.Runner
}

// OpenRequest is the body of POST /v1/trainers/{trainer}/sessions.
type OpenRequest struct {
	// Session is the number of the session. The trainer increases it for each session
	// that it opens.
	Session uint64 `json:"session"`
}

// SubmitRequest is the body of POST /v1/trainers/{trainer}/steps.
type SubmitRequest struct {
	Session uint64       `json:"session"`
	Step    session.Spec `json:"step"`
}

func init() {
	part.Register(part.Factory{
		Name:  "entry.trainer",
		Stage: part.StageEntry,
		Make:  makePart,
	})
}

func makePart(h *part.Host) (part.Part, error) {
	s := &Server{
		Board:  part.Get[*version.Board](h),
		Holder: part.Get[*configuration.Holder](h),
		Runner: part.Get[*runner.Runner](h),
	}
	mux := part.Get[*door.Mux](h)
	key := h.Settings.Security.TrainerKey
	mux.HandleFunc(pat.Post("/v1/models/:deployment/versions"), door.WithKey(key, s.publishVersion))
	mux.HandleFunc(pat.Post("/v1/trainers/:trainer/sessions"), door.WithKey(key, s.openSession))
	mux.HandleFunc(pat.Post("/v1/trainers/:trainer/steps"), door.WithKey(key, s.submitStep))
	mux.HandleFunc(pat.Post("/v1/trainers/:trainer/read"), door.WithKey(key, s.readBatch))
	return part.Idle{}, nil
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
	if body.Version.Zero() {
		problem.Write(w, problem.BadRequest.Withf("version: expected an epoch or number of at least 1"))
		return
	}
	if err := s.Board.Publish(deployment, body); err != nil {
		problem.Write(w, err)
		return
	}
	problem.WriteJSON(w, http.StatusOK, body)
}

// checkModel returns an error unless the configuration has a model deployment of that
// name.
func (s *Server) checkModel(deployment string) error {
	doc := s.Holder.Current()
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
	var body OpenRequest
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
	var body SubmitRequest
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
	if err != nil {
		problem.Write(w, err)
		return
	}
	problem.WriteJSON(w, http.StatusOK, batch)
}
