package submission

import (
	"net/url"
	"strings"

	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Binding is what determines the regions in which a batch may run and be stored. It is known
// without the batch itself, which an instance in another region must not read.
type Binding struct {
	// Host and Path select the route; they are empty in a claim of an earlier release.
	Host         string `json:"host,omitempty"`
	Path         string `json:"path,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	// Regions are the names of the regions that were allowed when the batch was accepted, by
	// the configuration of version ConfigVersion; nil if all were.
	Regions       []string `json:"regions,omitempty"`
	ConfigVersion uint64   `json:"config_version,omitempty"`
}

// Binding returns what determines the regions of the batch.
func (s *Submission) Binding() Binding {
	return Binding{
		Host:          s.Host,
		Path:          s.Path,
		Organisation:  s.Organisation,
		Regions:       s.Regions,
		ConfigVersion: s.ConfigVersion,
	}
}

// Bind records the regions that a configuration allows for the batch. It does nothing if the
// batch was bound by the same one or a newer one; a call that forwards the batch may still be
// reading it.
func (s *Submission) Bind(cfg *catalog.Configuration) {
	if cfg == nil || cfg.Version <= s.ConfigVersion {
		return
	}
	s.ConfigVersion = cfg.Version
	s.Regions = cfg.RequestRegions(s.Host, s.Path, s.Organisation, residency.Regions{}).Names()
}

// IDBinding returns the part of the binding of a batch that follows from its name.
func IDBinding(id string) Binding {
	_, organisation, ok := strings.Cut(id, "@")
	if !ok {
		return Binding{}
	}
	name, err := url.QueryUnescape(organisation)
	if err != nil {
		return Binding{}
	}
	return Binding{
		Organisation: name,
	}
}

// Allowed returns the regions in which a batch may run and be stored: those that were allowed
// when it was accepted and are allowed by cfg, the configuration in force. If these have nothing
// in common, as the operator has moved the route to other regions since, the newer ones apply.
func (b Binding) Allowed(cfg *catalog.Configuration) residency.Regions {
	accepted := residency.FromList(b.Regions)
	if cfg == nil {
		return accepted
	}
	inForce := cfg.RequestRegions(b.Host, b.Path, b.Organisation, accepted)
	both := accepted.Intersect(inForce)
	switch {
	case !both.Empty():
		return both
	case cfg.Version < b.ConfigVersion:
		return accepted
	}
	return inForce
}
