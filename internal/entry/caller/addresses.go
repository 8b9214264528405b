package caller

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/egretbend/egretbend/internal/entry/httpserver"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// Address identifies an instance that a caller may connect to.
type Address struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// AddressesResponse is the response to GET /v1/addresses.
type AddressesResponse struct {
	Addresses []Address `json:"addresses"`
	// TTLMS is how long the caller may cache the response, in milliseconds.
	TTLMS int64 `json:"keep_ms"`
	// Tickets allow the caller to send non-idempotent requests.
	Tickets []string `json:"tickets,omitempty"`
}

// maxTickets is the maximum number of tickets in one response.
const maxTickets = 256

// handleAddresses serves GET /v1/addresses.
func (s *Server) handleAddresses(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	tickets, err := parseOptionalInt(query.Get("tickets"), maxTickets)
	if err != nil {
		problem.Write(w, problem.BadRequest.Withf("tickets: %w", err))
		return
	}
	domain := query.Get("failure_domain")
	if domain == "" {
		domain = s.Members.Self().FailureDomain
	}
	cfg := s.addressSettings()
	response := AddressesResponse{
		TTLMS: addressTTL(cfg).Milliseconds(),
	}
	key := query.Get("caller") + "/" + clientHost(r)
	for _, m := range selectInstances(s.Members.View(), s.Members.Load, key, domain, cfg.Count) {
		response.Addresses = append(response.Addresses, Address{
			Instance:      m.ID,
			Address:       m.Address,
			FailureDomain: m.FailureDomain,
		})
	}
	if len(response.Addresses) == 0 {
		problem.Write(w, problem.NoUpstream.Withf("no instance is usable").WithRetryAfter(time.Second))
		return
	}
	if !s.Mux.Leaving() {
		response.Tickets = s.issueTickets(tickets)
	}
	problem.WriteJSON(w, http.StatusOK, response)
}

// addressSettings returns the configured address settings, or defaults while no
// configuration is loaded.
func (s *Server) addressSettings() configuration.Addresses {
	if doc := s.Configuration.Current(); doc != nil {
		return doc.Parsed().Addresses
	}
	return configuration.Addresses{
		Count: 3,
		TTLMS: 10_000,
	}
}

// addressTTL returns how long a caller may cache a response. It adds random jitter
// so that callers that asked at the same time do not all refresh at the same time.
func addressTTL(cfg configuration.Addresses) time.Duration {
	const minFactor = 2 - httpserver.MaxTTLFactor
	factor := minFactor + rand.Float64()*(httpserver.MaxTTLFactor-minFactor)
	return time.Duration(float64(cfg.TTLMS)*factor) * time.Millisecond
}

// selectInstances returns up to n instances for a caller, starting with one in the
// caller's failure domain if there is one. Instances are ranked by a rendezvous hash
// of the caller and the instance, weighted by spare capacity. This spreads callers
// evenly and keeps the selection stable while the fleet does not change.
func selectInstances(view *member.View, load func(id string) float64, key, domain string, n int) []member.Member {
	type scoredMember struct {
		m     member.Member
		score float64
	}
	var list []scoredMember
	for _, m := range view.Alive {
		if !m.Usable() {
			continue
		}
		list = append(list, scoredMember{
			m:     m,
			score: weightedScore(member.Score(key, m.ID), 1-load(m.ID)),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score > list[j].score })
	local := -1
	for i, s := range list {
		if s.m.FailureDomain == domain {
			local = i
			break
		}
	}
	var out []member.Member
	if local >= 0 {
		out = append(out, list[local].m)
	}
	for i := 0; i < len(list) && len(out) < n; i++ {
		if i != local {
			out = append(out, list[i].m)
		}
	}
	return out
}

// weightedScore maps a hash to a score such that an instance ranks first with a
// probability proportional to its weight. Weights below 0.1 count as 0.1.
func weightedScore(hash uint64, weight float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(weight, 0.1) / math.Log(u)
}

// parseOptionalInt parses a number from 0 to maximum. An empty string means 0.
func parseOptionalInt(s string, maximum int) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > maximum {
		return 0, problem.BadRequest.Withf("expected a number from 0 to %d, got %q", maximum, s)
	}
	return n, nil
}
