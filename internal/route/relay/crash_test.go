package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/crashnotice"
	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/secret"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/roster"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/relay"
	"github.com/egretbend/egretbend/internal/route/router"
	"github.com/egretbend/egretbend/internal/route/upstream"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// startServices starts n services that close when they receive the body "deadly", and
// counts how often that happened.
func startServices(t *testing.T, n int) (list []roster.Instance, crashes *atomic.Int32) {
	crashes = &atomic.Int32{}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{
			ReadHeaderTimeout: time.Second,
		}
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if string(body) == "deadly" {
				crashes.Add(1)
				_ = server.Close()
				return
			}
			w.Header().Set(relay.HeaderAttempt, r.Header.Get(relay.HeaderAttempt))
			_, _ = w.Write([]byte("answer"))
		})
		go func() { _ = server.Serve(ln) }()
		t.Cleanup(func() { _ = server.Close() })
		list = append(list, roster.Instance{
			ID:          fmt.Sprint("u", i),
			Group:       "g",
			Address:     ln.Addr().String(),
			Incarnation: 1,
		})
	}
	return list, crashes
}

// instance relays calls and reports the crashes it sees to other instances by gossip.
type instance struct {
	relay *relay.Relay
	board *crashnotice.Board
}

func newInstance(t *testing.T, name string, state *gossip.State, list []roster.Instance) *instance {
	clock := timer.Real{}
	doc, err := configuration.Decode([]byte(`{"configuration": {"format": 1, "team": "t", "deployments": [
		{"name": "s", "group": "g", "kind": "service", "attempts": 3, "retry_share": 1}]}}`), 1)
	if err != nil {
		t.Fatal(err)
	}
	holder := &configuration.Holder{}
	holder.Update(doc)
	table := &upstream.Table{}
	table.Build(doc.Parsed(), member.Member{ID: name}, list, clock.Now())
	sharedSecret := &secret.GossipSecret{
		State: state,
	}
	board := &crashnotice.Board{
		Secret: sharedSecret,
		Key:    name,
		Publisher: &crashnotice.GossipPublisher{
			State: state,
			Key:   name,
		},
		InstanceCount: func() int { return 2 },
		Timer:         clock,
	}
	var tb tomb.Tomb
	tb.Go(func() error { return board.Run(&tb) })
	listener := crashnotice.Listener{
		State: state,
		Board: board,
	}
	tb.Go(func() error { return listener.Run(&tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
	return &instance{
		board: board,
		relay: &relay.Relay{
			Router: &router.Router{
				Table:         table,
				Configuration: holder,
				Limiter:       &limit.Limiter{Timer: clock},
				Versions:      &version.Table{State: state},
				Timer:         clock,
				CrashReporter: &crash.Reporter{
					Secret:  sharedSecret,
					Timer:   clock,
					OnCrash: board.ReportCrash,
				},
				PoisonDetector: board,
			},
			Client: &wire.Client{},
			Timer:  clock,
		},
	}
}

func (i *instance) call(body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := i.relay.Do(ctx, relay.Call{
		RequestID:  "r",
		Deployment: "s",
		Method:     http.MethodPost,
		Path:       "/x",
		Body:       []byte(body),
		Idempotent: true,
		Header:     http.Header{},
	})
	return err
}

// Guards against a call that crashes services and is sent to more of them by one
// instance after another.
func TestCallThatCrashesServicesIsQuarantined(t *testing.T) {
	is := is.New(t)
	list, crashes := startServices(t, 20)
	var state gossip.State
	a, b := newInstance(t, "a", &state, list), newInstance(t, "b", &state, list)
	is.True(problem.Is(a.call("deadly"), problem.UpstreamFailed))
	is.Equal(crashes.Load(), int32(3)) // the number of attempts that the deployment allows
	sum := func() fingerprint.Digest {
		return fingerprint.DigestOf(fingerprint.Parts{Method: http.MethodPost, Host: "s", Target: "/x", Body: []byte("deadly")})
	}
	reported := func() bool { return b.board.Judge(sum).Crashes == 3 }
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, reported))
	is.True(problem.Is(b.call("deadly"), problem.UpstreamFailed))
	is.Equal(crashes.Load(), int32(4)) // one more crash is enough to quarantine the call
	quarantined := func() bool { return a.board.Judge(sum).Quarantined() && b.board.Judge(sum).Quarantined() }
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, quarantined))
	for _, i := range []*instance{a, b} {
		err := i.call("deadly")
		is.True(problem.Is(err, problem.Quarantined))
		is.True(problem.From(err).RetryAfter > time.Second)
		is.True(!strings.Contains(err.Error(), "deadly"))
		is.NoErr(i.call("plain"))
	}
}
