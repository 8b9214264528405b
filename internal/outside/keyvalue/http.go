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

	"github.com/egretbend/egretbend/internal/kernel/answer"
)

// The paths of the HTTP protocol. Every call is a POST with a Request as JSON request
// body and a Response as JSON response body.
const (
	PathGet       = "/kv/get"
	PathPut       = "/kv/put"
	PathWatch     = "/kv/watch"
	PathGrant     = "/kv/grant"
	PathKeepAlive = "/kv/keep_alive"
	PathRevoke    = "/kv/revoke"
)

// maxResponseBytes bounds a response. A value has at most a megabyte, and a third more as base64.
const maxResponseBytes = 8 << 20

// Request is the request body of all paths; each path uses some of its fields.
type Request struct {
	Key    string `json:"key,omitempty"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect,omitempty"`
	Lease  uint64 `json:"lease,omitempty"`
	TTLMS  int64  `json:"ttl_ms,omitempty"`
}

// Response is the response body of all paths.
type Response struct {
	Item  Item      `json:"item"`
	Error ErrorCode `json:"error,omitempty"`
}

// ErrorCode is the code of an error in a Response.
type ErrorCode string

// The error codes of the service.
const (
	CodeNone      ErrorCode = ""
	CodeNotFound  ErrorCode = "not_found"
	CodeConflict  ErrorCode = "conflict"
	CodeLeaseGone ErrorCode = "lease_gone"
	CodeNoChange  ErrorCode = "no_change"
)

var errorsByCode = map[ErrorCode]error{
	CodeNotFound:  ErrNotFound,
	CodeConflict:  ErrConflict,
	CodeLeaseGone: ErrLeaseGone,
	CodeNoChange:  ErrNoChange,
}

func init() {
	Adapters.Add("http", func(address string) Store {
		return &HTTP{
			Address: address,
			Client: http.Client{
				Transport: answer.Transport{},
			},
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
	return h.call(ctx, PathGet, Request{
		Key: key,
	})
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	item, err := h.call(ctx, PathPut, Request{
		Key:    key,
		Value:  value,
		Expect: expect,
		Lease:  lease,
	})
	return item.Revision, err
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, after uint64) (Item, error) {
	return h.call(ctx, PathWatch, Request{
		Key:    key,
		Expect: after,
	})
}

// Grant implements Store.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	item, err := h.call(ctx, PathGrant, Request{
		TTLMS: ttl.Milliseconds(),
	})
	return item.Lease, err
}

// KeepAlive implements Store.
func (h *HTTP) KeepAlive(ctx context.Context, lease uint64) error {
	_, err := h.call(ctx, PathKeepAlive, Request{
		Lease: lease,
	})
	return err
}

// Revoke implements Store.
func (h *HTTP) Revoke(ctx context.Context, lease uint64) error {
	_, err := h.call(ctx, PathRevoke, Request{
		Lease: lease,
	})
	return err
}

func (h *HTTP) call(ctx context.Context, path string, request Request) (Item, error) {
	body, err := json.Marshal(request)
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return Item{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if res.StatusCode != http.StatusOK {
		return Item{}, fmt.Errorf("%w: status %d", ErrUnavailable, res.StatusCode)
	}
	var response Response
	if err := json.Unmarshal(data, &response); err != nil {
		return Item{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if response.Error != CodeNone {
		return response.Item, errorsByCode[response.Error]
	}
	return response.Item, nil
}

// classifyError returns ErrUnavailable for a call that was never sent, and
// ErrOutcomeUnknown for one whose response is missing. Only a failed dial proves that the
// service did nothing.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrOutcomeUnknown
}
