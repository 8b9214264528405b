package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/entry/budget"
	"github.com/egretbend/egretbend/internal/entry/httpserver"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/evacuation"
	"github.com/egretbend/egretbend/internal/fleet/listing"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/runner"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Limits of operators' requests.
const (
	maxBody = 1 << 20 // bytes
	// changeTimeout limits one change of the configuration. If the response of the
	// key-value service is lost, the outcome is determined within this time or
	// reported as unknown.
	changeTimeout = 10 * time.Second
	// readTimeout limits one read from the key-value service.
	readTimeout = 2 * time.Second
)

// Server handles the requests of operators.
type Server struct {
	Configuration *configuration.Holder
	Editor        *configuration.Editor
	Members       *member.Table
	Listing       *listing.Table
	Versions      *version.Table
	Table         *upstream.Table
	Limiter       *limit.Limiter
	Runner        *runner.Runner
	Journal       *journal.Journal
	Client        *peer.Client
	Timer         timer.Service
	Budget        *budget.Budget
	Instance      string
	// Leave stops this instance gracefully.
	Leave func()
}

func init() {
	part.Register(part.Factory{
		Name:  "entry.operator",
		Stage: part.StageHandlers,
		Make:  makePart,
	})
}

func makePart(h *part.Host) (part.Part, error) {
	s := &Server{
		Configuration: part.MustGet[*configuration.Holder](h),
		Editor:        part.MustGet[*configuration.Editor](h),
		Members:       part.MustGet[*member.Table](h),
		Listing:       part.MustGet[*listing.Table](h),
		Versions:      part.MustGet[*version.Table](h),
		Table:         part.MustGet[*upstream.Table](h),
		Limiter:       part.MustGet[*limit.Limiter](h),
		Runner:        part.MustGet[*runner.Runner](h),
		Journal:       h.Journal,
		Client:        part.MustGet[*peer.Client](h),
		Timer:         h.Timer,
		Budget:        part.MustGet[*budget.Budget](h),
		Instance:      h.Settings.Name,
		Leave:         h.RequestShutdown,
	}
	mux := part.MustGet[*httpserver.Mux](h)
	key := h.Settings.Security.OperatorKey
	mux.HandleFunc(pat.Get("/v1/configuration"), httpserver.RequireKey(key, s.getConfiguration))
	mux.HandleFunc(pat.Put("/v1/configuration"), httpserver.RequireKey(key, s.putConfiguration))
	mux.HandleFunc(pat.Get("/v1/configuration/changes/:id"), httpserver.RequireKey(key, s.getChange))
	mux.HandleFunc(pat.Get("/v1/configuration/history"), httpserver.RequireKey(key, s.getHistory))
	mux.HandleFunc(pat.Get("/v1/status"), httpserver.RequireKey(key, s.getStatus))
	mux.HandleFunc(pat.Post("/v1/upstreams/:upstream/drain"), httpserver.RequireKey(key, s.drainUpstream))
	mux.HandleFunc(pat.Post("/v1/instance/drain"), httpserver.RequireKey(key, s.drainInstance))
	mux.HandleFunc(pat.Get("/v1/decisions/:id"), httpserver.RequireKey(key, s.getDecisions))
	return part.Noop{}, part.MustGet[*peer.Server](h).Register("Decisions", &decisionService{
		journal: h.Journal,
	})
}

// Configuration is the response to GET and PUT /v1/configuration.
type Configuration struct {
	Revision      uint64          `json:"revision"`
	Configuration json.RawMessage `json:"configuration"`
}

// ChangeRequest is the body of PUT /v1/configuration.
type ChangeRequest struct {
	// ID is chosen by the operator and identifies the change. Sending the same change
	// again with the same id has no further effect.
	ID string `json:"id"`
	// Revision is the revision on which the change is based; 0 for the first
	// configuration.
	Revision      uint64          `json:"revision"`
	Operator      string          `json:"operator"`
	Note          string          `json:"note,omitempty"`
	Configuration json.RawMessage `json:"configuration"`
}

func (s *Server) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	doc := s.Configuration.Current()
	if doc == nil {
		problem.WriteJSON(w, http.StatusOK, Configuration{
			Configuration: json.RawMessage("null"),
		})
		return
	}
	problem.WriteJSON(w, http.StatusOK, Configuration{
		Revision:      doc.Revision,
		Configuration: doc.Configuration,
	})
}

func (s *Server) putConfiguration(w http.ResponseWriter, r *http.Request) {
	var body ChangeRequest
	if err := problem.ReadJSON(w, r, maxBody, &body); err != nil {
		problem.Write(w, err)
		return
	}
	if body.ID == "" || body.Operator == "" {
		problem.Write(w, problem.BadRequest.Withf("expected an id and an operator"))
		return
	}
	// The change continues if the operator's connection breaks. If it were cancelled
	// halfway, its outcome would stay unknown.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	doc, err := s.Editor.Put(ctx, configuration.Change{
		ID:       body.ID,
		Operator: body.Operator,
		Note:     body.Note,
		Parent:   body.Revision,
	}, body.Configuration)
	if err != nil {
		problem.Write(w, err)
		return
	}
	problem.WriteJSON(w, http.StatusOK, Configuration{
		Revision:      doc.Revision,
		Configuration: doc.Configuration,
	})
}

// getChange returns the revision of a change, for an operator who did not get the
// response to PUT /v1/configuration.
func (s *Server) getChange(w http.ResponseWriter, r *http.Request) {
	parent, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		problem.Write(w, problem.BadRequest.Withf("revision: expected the revision on which the change is based"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	rev, err := s.Editor.FindChange(ctx, configuration.Change{
		ID:     pat.Param(r, "id"),
		Parent: parent,
	})
	if err != nil {
		problem.Write(w, err)
		return
	}
	problem.WriteJSON(w, http.StatusOK, Configuration{
		Revision: rev,
	})
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	list, err := s.Editor.History(ctx)
	if err != nil {
		problem.Write(w, err)
		return
	}
	if list == nil {
		list = []configuration.Change{}
	}
	problem.WriteJSON(w, http.StatusOK, list)
}

// drainUpstream marks the current incarnation of an upstream as leaving, in the whole
// fleet.
func (s *Server) drainUpstream(w http.ResponseWriter, r *http.Request) {
	id := pat.Param(r, "upstream")
	if !s.Listing.MarkLeavingByID(id) {
		problem.Write(w, problem.NotFound.Withf("no upstream %q in the instance list", id))
		return
	}
	problem.WriteJSON(w, http.StatusOK, struct {
		Upstream string `json:"upstream"`
		Leaving  bool   `json:"leaving"`
	}{
		Upstream: id,
		Leaving:  true,
	})
}

// drainInstance starts the graceful shutdown of this instance. It responds at once; the
// shutdown is complete when the process ends.
func (s *Server) drainInstance(w http.ResponseWriter, _ *http.Request) {
	s.Leave()
	problem.WriteJSON(w, http.StatusOK, struct {
		Instance string `json:"instance"`
		Leaving  bool   `json:"leaving"`
	}{
		Instance: s.Instance,
		Leaving:  true,
	})
}

// UpstreamStatus is the state of an upstream as this instance sees it.
type UpstreamStatus struct {
	Deployment string  `json:"deployment"`
	Upstream   string  `json:"upstream"`
	Version    string  `json:"version,omitempty"`
	Load       float64 `json:"load"`
	InFlight   int64   `json:"in_flight"`
	Leaving    bool    `json:"leaving"`
	// Ejected is set while the upstream is excluded because of its failures.
	Ejected bool `json:"out"`
}

// MemberStatus is the state of an instance of the fleet as this instance sees it.
type MemberStatus struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Status        string `json:"status"`
	Leaving       bool   `json:"leaving"`
}

// LimitStatus is the concurrency limit of a deployment, its requests in flight and the
// newest published version of its weights.
type LimitStatus struct {
	Deployment string  `json:"deployment"`
	Limit      float64 `json:"limit"`
	InFlight   int64   `json:"in_flight"`
	Published  string  `json:"published,omitempty"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	// HighestRevision is the highest revision that this instance has heard of through gossip.
	HighestRevision uint64            `json:"told_revision"`
	Members         []MemberStatus    `json:"members"`
	Upstreams       []UpstreamStatus  `json:"upstreams"`
	Limits          []LimitStatus     `json:"limits"`
	Sessions        []runner.Overview `json:"sessions"`
	Buffers         budget.Usage      `json:"buffers"`
	// Evacuated are the failure domains to which nothing may be sent.
	Evacuated []evacuation.Status `json:"evacuated,omitempty"`
	Groups    []GroupStatus       `json:"groups,omitempty"`
	Queues    []QueueStatus       `json:"queues,omitempty"`
	// Restrictions are the routes and organisations that are restricted to regions.
	Restrictions []RestrictionStatus `json:"restrictions,omitempty"`
}

// GroupStatus is what an instance knows of the upstreams of a service in a failure domain.
// Upstreams of evacuated domains are left out.
type GroupStatus struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Upstreams     int    `json:"upstreams"`
	// Cold is how many of them are cold.
	Cold int `json:"cold"`
}

// QueueStatus is the queue of an instance for a service, or for its upstreams in some regions.
type QueueStatus struct {
	Name     string `json:"name"`
	Waiting  int    `json:"waiting"`
	InFlight int    `json:"in_flight"`
}

// RestrictionStatus is the list of allowed regions of a route or an organisation.
type RestrictionStatus struct {
	// Kind is "route" or "organisation".
	Kind    string   `json:"kind"`
	Name    string   `json:"name"`
	Regions []string `json:"regions"`
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	status := Status{
		Instance:        s.Instance,
		Revision:        s.Configuration.Revision(),
		HighestRevision: s.Configuration.GossipedRevision(),
		Sessions:        s.Runner.Sessions(),
		Buffers:         s.Budget.Usage(),
	}
	for _, m := range s.Members.View().Known {
		status.Members = append(status.Members, MemberStatus{
			Instance:      m.ID,
			FailureDomain: m.FailureDomain,
			Address:       m.Address,
			Status:        m.Status.String(),
			Leaving:       m.Leaving,
		})
	}
	sort.Slice(status.Members, func(i, j int) bool { return status.Members[i].Instance < status.Members[j].Instance })
	s.addDeployments(&status)
	problem.WriteJSON(w, http.StatusOK, status)
}

// addDeployments adds the limits and upstreams of all deployments, sorted by deployment.
func (s *Server) addDeployments(status *Status) {
	now := s.Timer.Now()
	sets := s.Table.Sets()
	names := make([]string, 0, len(sets))
	for name := range sets {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		lim, inFlight := s.Limiter.Limit(name)
		row := LimitStatus{
			Deployment: name,
			Limit:      lim,
			InFlight:   inFlight,
		}
		if p, ok := s.Versions.Newest(name); ok {
			row.Published = p.Version.String()
		}
		status.Limits = append(status.Limits, row)
		for _, u := range sets[name].Upstreams {
			status.Upstreams = append(status.Upstreams, upstreamStatus(name, u, now))
		}
	}
}

func upstreamStatus(deployment string, u *upstream.Upstream, now timer.Instant) UpstreamStatus {
	row := UpstreamStatus{
		Deployment: deployment,
		Upstream:   u.ID,
		Load:       u.Load(now),
		InFlight:   u.InFlight(),
		Leaving:    u.Leaving(),
		Ejected:    u.Ejected(now),
	}
	if r, _, ok := u.Report(now); ok && !r.Version.IsZero() {
		row.Version = r.Version.String()
	}
	return row
}
