package instance

import (
	"github.com/egretbend/egretbend/internal/kernel/part"

	// These packages register their parts when they are imported.
	_ "github.com/egretbend/egretbend/internal/entry/caller"
	_ "github.com/egretbend/egretbend/internal/entry/httpserver"
	_ "github.com/egretbend/egretbend/internal/entry/operator"
	_ "github.com/egretbend/egretbend/internal/entry/trainer"
	_ "github.com/egretbend/egretbend/internal/fleet/configuration"
	_ "github.com/egretbend/egretbend/internal/fleet/crashnotice"
	_ "github.com/egretbend/egretbend/internal/fleet/listing"
	_ "github.com/egretbend/egretbend/internal/fleet/member"
	_ "github.com/egretbend/egretbend/internal/fleet/peer"
	_ "github.com/egretbend/egretbend/internal/fleet/placement"
	_ "github.com/egretbend/egretbend/internal/fleet/version"
	_ "github.com/egretbend/egretbend/internal/outside/keyvalue"
	_ "github.com/egretbend/egretbend/internal/outside/roster"
	_ "github.com/egretbend/egretbend/internal/rollout/runner"
	_ "github.com/egretbend/egretbend/internal/route/router"
)

// Start starts all registered parts of an instance.
func Start(host *part.Host) error { return host.Start() }
