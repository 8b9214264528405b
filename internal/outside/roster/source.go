package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/egretbend/egretbend/internal/kernel/answer"
	"github.com/egretbend/egretbend/internal/kernel/part"
)

// Instance is the entry of an upstream in the instance list.
type Instance struct {
	ID            string `json:"id"`
	Group         string `json:"group"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	Leaving       bool   `json:"leaving"`
}

// Source provides the platform's instance list.
type Source interface {
	// List returns the live and leaving upstreams known to the platform.
	List(ctx context.Context) ([]Instance, error)
}

// Adapters holds the constructors of Source implementations by adapter name. Each
// takes the address of the service.
var Adapters part.Registry[func(address string) Source]

// PathList is the path at which the HTTP protocol serves the list as JSON.
const PathList = "/instances"

// maxListBytes bounds the list, which has some 200 bytes for each of 10,000 instances.
const maxListBytes = 16 << 20

func init() {
	Adapters.Add("http", func(address string) Source {
		return &HTTP{
			Address: address,
			Client: http.Client{
				Transport: answer.Transport{},
			},
		}
	})
}

// HTTP is a Source that fetches the list as JSON over HTTP.
type HTTP struct {
	Address string
	Client  http.Client
}

// List implements Source.
func (h *HTTP) List(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Address+PathList, nil)
	if err != nil {
		return nil, err
	}
	res, err := h.Client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("instance list: status %d", res.StatusCode)
	}
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	return list, nil
}
