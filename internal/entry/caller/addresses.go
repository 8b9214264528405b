package caller

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/egretbend/egretbend/internal/entry/door"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// Address is one instance that a caller may use.
type Address struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Addresses is the answer to a caller that asks where to connect.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// KeepMS is how long the answer may be used, in milliseconds.
	KeepMS int64 `json:"keep_ms"`
	// Tickets are for requests that may not be repeated.
	Tickets []string `json:"tickets,omitempty"`
}

// maxTickets is the most tickets in one answer.
const maxTickets = 256

// addresses answers GET /v1/addresses.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	tickets, err := optionalInt(query.Get("tickets"), maxTickets)
	if err != nil {
		problem.Write(w, problem.BadRequest.Withf("tickets: %w", err))
		return
	}
	domain := query.Get("failure_domain")
	if domain == "" {
		domain = s.Members.Self().FailureDomain
	}
	cfg := s.addressing()
	answer := Addresses{
		KeepMS: keepTime(cfg).Milliseconds(),
	}
	key := query.Get("caller") + "/" + clientHost(r)
	for _, m := range choose(s.Members.View(), s.Members.Load, key, domain, cfg.Count) {
		answer.Addresses = append(answer.Addresses, Address{
			Instance:      m.ID,
			Address:       m.Address,
			FailureDomain: m.FailureDomain,
		})
	}
	if len(answer.Addresses) == 0 {
		problem.Write(w, problem.NoUpstream.Withf("no instance is usable").WithRetryAfter(time.Second))
		return
	}
	if !s.Mux.Leaving() {
		answer.Tickets = s.issue(tickets)
	}
	problem.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) addressing() configuration.Addresses {
	if doc := s.Holder.Current(); doc != nil {
		return doc.Parsed().Addresses
	}
	return configuration.Addresses{
		Count:  3,
		KeepMS: 10_000,
	}
}

// keepTime spreads the keep time, so that callers who asked at the same
// moment don't all ask again at the same moment.
func keepTime(cfg configuration.Addresses) time.Duration {
	const least = 2 - door.KeepJitter
	factor := least + rand.Float64()*(door.KeepJitter-least)
	return time.Duration(float64(cfg.KeepMS)*factor) * time.Millisecond
}

// choose picks n instances for a caller: one of its own failure domain first,
// if there is one, then others. The order is a rendezvous hash of caller and
// instance weighted by spare capacity, so callers spread evenly and stay
// where they are while the fleet stays as it is.
func choose(view *member.View, load func(id string) float64, key, domain string, n int) []member.Member {
	type ranked struct {
		m     member.Member
		score float64
	}
	var list []ranked
	for _, m := range view.Alive {
		if !m.Usable() {
			continue
		}
		list = append(list, ranked{
			m:     m,
			score: weighted(member.Score(key, m.ID), 1-load(m.ID)),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score > list[j].score })
	near := -1
	for i, c := range list {
		if c.m.FailureDomain == domain {
			near = i
			break
		}
	}
	var out []member.Member
	if near >= 0 {
		out = append(out, list[near].m)
	}
	for i := 0; i < len(list) && len(out) < n; i++ {
		if i != near {
			out = append(out, list[i].m)
		}
	}
	return out
}

// weighted returns a score that makes an instance come first with a
// probability in proportion to its weight.
func weighted(hash uint64, weight float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(weight, 0.1) / math.Log(u)
}

func optionalInt(s string, most int) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > most {
		return 0, problem.BadRequest.Withf("expected a number from 0 to %d, got %q", most, s)
	}
	return n, nil
}
