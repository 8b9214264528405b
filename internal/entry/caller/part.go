package caller

import (
	"context"
	"io"

	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/entry/budget"
	"github.com/egretbend/egretbend/internal/entry/httpserver"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/rollout/stream"
	"github.com/egretbend/egretbend/internal/route/relay"
	"github.com/egretbend/egretbend/internal/route/router"
	"github.com/egretbend/egretbend/internal/route/ticket"
	"github.com/egretbend/egretbend/internal/route/wire"
)

func init() {
	part.Register(part.Factory{
		Name:  "entry.caller",
		Stage: part.StageHandlers,
		Make:  makePart,
	})
}

func makePart(h *part.Host) (part.Part, error) {
	client := &wire.Client{}
	scheme := "http"
	if h.Settings.Security.Certificate != "" {
		scheme = "https"
	}
	members := part.MustGet[*member.Table](h)
	s := &Server{
		Mux:           part.MustGet[*httpserver.Mux](h),
		Members:       members,
		Configuration: part.MustGet[*configuration.Holder](h),
		Relay: &relay.Relay{
			Router: part.MustGet[*router.Router](h),
			Client: client,
			Timer:  h.Timer,
			ReadBody: func(ctx context.Context, body io.Reader, length int64) ([]byte, error) {
				return budget.FromContext(ctx).ReadResponse(ctx, body, length)
			},
		},
		Generator: part.MustGet[*stream.Generator](h),
		Tickets: &ticket.Issuer{
			Address:     h.Settings.Listen,
			Incarnation: members.Self().Incarnation,
			Timer:       h.Timer,
		},
		Client:  client,
		Timer:   h.Timer,
		Journal: h.Journal,
		Scheme:  scheme,
	}
	s.Mux.HandleFunc(pat.Get("/v1/addresses"), s.handleAddresses)
	s.Mux.HandleFunc(pat.Post("/v1/tickets"), s.handleTickets)
	s.Mux.HandleFunc(pat.New("/v1/services/:deployment/*"), s.handleService)
	s.Mux.HandleFunc(pat.Post("/v1/models/:deployment/completions"), s.handleCompletion)
	return part.Noop{}, nil
}
