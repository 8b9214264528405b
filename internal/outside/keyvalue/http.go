package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// The paths of the HTTP protocol. Every call is a POST with a Call as JSON request
// body and an Answer as JSON response body.
const (
	PathGet       = "/kv/get"
	PathPut       = "/kv/put"
	PathWatch     = "/kv/watch"
	PathGrant     = "/kv/grant"
	PathKeepAlive = "/kv/keep_alive"
	PathRevoke    = "/kv/revoke"
)

// Call is the request body of all paths; each path uses some of its fields.
type Call struct {
	Key    string `json:"key,omitempty"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect,omitempty"`
	Lease  uint64 `json:"lease,omitempty"`
	TTLMS  int64  `json:"ttl_ms,omitempty"`
}

// Answer is the response body of all paths.
type Answer struct {
	Item  Item  `json:"item"`
	Error Fault `json:"error,omitempty"`
}

// Fault is the code of an error in an Answer.
type Fault string

// The error codes of the service.
const (
	FaultNone      Fault = ""
	FaultNotFound  Fault = "not_found"
	FaultConflict  Fault = "conflict"
	FaultLeaseGone Fault = "lease_gone"
	FaultNoChange  Fault = "no_change"
)

var errorsByFault = map[Fault]error{
	FaultNotFound:  ErrNotFound,
	FaultConflict:  ErrConflict,
	FaultLeaseGone: ErrLeaseGone,
	FaultNoChange:  ErrNoChange,
}

func init() {
	Adapters.Add("http", func(address string) Store {
		return &HTTP{
			Address: address,
		}
	})
}

// HTTP is a Store that calls the service over HTTP with JSON bodies.
type HTTP struct {
	Address string
	Client  http.Client
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Item, error) {
	return h.call(ctx, PathGet, Call{
		Key: key,
	})
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	item, err := h.call(ctx, PathPut, Call{
		Key:    key,
		Value:  value,
		Expect: expect,
		Lease:  lease,
	})
	return item.Revision, err
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, after uint64) (Item, error) {
	return h.call(ctx, PathWatch, Call{
		Key:    key,
		Expect: after,
	})
}

// Grant implements Store.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	item, err := h.call(ctx, PathGrant, Call{
		TTLMS: ttl.Milliseconds(),
	})
	return item.Lease, err
}

// KeepAlive implements Store.
func (h *HTTP) KeepAlive(ctx context.Context, lease uint64) error {
	_, err := h.call(ctx, PathKeepAlive, Call{
		Lease: lease,
	})
	return err
}

// Revoke implements Store.
func (h *HTTP) Revoke(ctx context.Context, lease uint64) error {
	_, err := h.call(ctx, PathRevoke, Call{
		Lease: lease,
	})
	return err
}

func (h *HTTP) call(ctx context.Context, path string, c Call) (Item, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return Item{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Address+path, bytes.NewReader(body))
	if err != nil {
		return Item{}, err
	}
	res, err := h.Client.Do(req)
	if err != nil {
		return Item{}, fmt.Errorf("%w: %w", classifyError(err), err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return Item{}, fmt.Errorf("%w: %w", ErrLost, err)
	}
	if res.StatusCode != http.StatusOK {
		return Item{}, fmt.Errorf("%w: status %d", ErrDown, res.StatusCode)
	}
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Item{}, fmt.Errorf("%w: %w", ErrLost, err)
	}
	if a.Error != FaultNone {
		return a.Item, errorsByFault[a.Error]
	}
	return a.Item, nil
}

// classifyError returns ErrDown for a call that was never sent, and ErrLost for one
// whose response is missing. Only a failed dial proves that the service did nothing.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrDown
	}
	return ErrLost
}
