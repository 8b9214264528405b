package client

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
	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// Client calls one instance. It needs no constructor and may be copied.
type Client struct {
	Address string
	// Scheme is http or https. Empty means http.
	Scheme string
	// Key is the bearer token. If it is empty, no token is sent.
	Key string
	// Header is sent with every call.
	Header http.Header
	// HTTP is the client to use. Nil means one that takes only valid responses.
	HTTP *http.Client
}

// maxResponseBytes limits the size of a response body, which is cut off beyond it.
const maxResponseBytes = 256 << 20

// ErrNoAnswer means that the instance did not respond, or not completely.
var ErrNoAnswer = errors.New("the instance did not respond; try another one")

// Do sends a request and decodes the JSON response into out, unless out is nil. The body
// of the request is in, encoded as JSON, or empty if in is nil.
func (c Client) Do(ctx context.Context, method, path string, in, out any) error {
	_, err := c.DoHeader(ctx, method, path, in, out)
	return err
}

// DoHeader is like Do and also returns the headers of the response.
func (c Client) DoHeader(ctx context.Context, method, path string, in, out any) (http.Header, error) {
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return nil, err
	}
	res, err := c.httpClient().Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if res.StatusCode != http.StatusOK {
		return res.Header, decodeError(res.StatusCode, data)
	}
	if out == nil {
		return res.Header, nil
	}
	return res.Header, json.Unmarshal(data, out)
}

func (c Client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+c.Address+path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	return req, nil
}

func (c Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultClient
}

// defaultClient uses http.DefaultTransport.
var defaultClient = &http.Client{
	Transport: answer.Transport{},
}

// decodeError returns the error of a response whose status is not 200.
func decodeError(status int, data []byte) error {
	var body problem.Body
	if json.Unmarshal(data, &body) != nil || body.Code == "" {
		return problem.Internal.Withf("status %d: %s", status, data)
	}
	e := &problem.Error{
		Kind: problem.Kind{
			Code:    body.Code,
			Status:  status,
			Remedy:  body.Remedy,
			Outcome: body.Outcome,
		},
		Cause:      errors.New(body.Message),
		RetryAfter: time.Duration(body.RetryAfterMS) * time.Millisecond,
	}
	return e
}

// IsDialError reports whether err shows that no connection to the instance could be
// opened, so that the call can't have had an effect.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
