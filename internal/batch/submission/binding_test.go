package submission

import (
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Guards against a batch that runs where the configuration of its acceptance or the one in force
// does not allow it, and against one that can't run anywhere after its route was moved.
func TestRegionsOfAcceptanceAndConfigurationApply(t *testing.T) {
	is := is.New(t)
	configuration := func(version uint64, list ...string) *catalog.Configuration {
		route := catalog.Route{Host: "h", Prefix: "/", Regions: residency.FromList(list)}
		return catalog.Configuration{Version: version, Routes: []catalog.Route{route}}.WithIndex()
	}
	allowed := func(accepted, inForce *catalog.Configuration) string {
		s := &Submission{Host: "h", Path: "/x"}
		s.Bind(accepted)
		s.Bind(configuration(1, "old")) // an instance that lags behind changes nothing
		return s.Binding().Allowed(inForce).String()
	}
	is.Equal(allowed(configuration(5), configuration(6)), "all")
	is.Equal(allowed(configuration(5, "a", "b"), configuration(6)), "a,b")
	is.Equal(allowed(configuration(5, "a", "b"), configuration(6, "b", "c")), "b")
	is.Equal(allowed(configuration(5, "a"), configuration(6, "c")), "c")
	is.Equal(allowed(configuration(5, "a"), configuration(6, []string{}...)), "none")
	is.Equal(allowed(configuration(5, "a"), configuration(4, "c")), "a")
	is.Equal(allowed(configuration(5, "a"), nil), "a")
}
