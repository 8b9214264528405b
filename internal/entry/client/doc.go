// Package client calls the HTTP API of an instance, with JSON bodies.
//
//	c := client.Client{Address: "127.0.0.1:7100"}
//	var status operator.Status
//	err := c.Do(ctx, http.MethodGet, "/v1/status", nil, &status)
//
// If the instance responds with an error, Do returns it as a *problem.Error of that kind.
// If it does not respond, the error is ErrNoAnswer.
package client
