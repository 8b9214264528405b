// Package client calls the doors of an instance with JSON.
//
//	c := client.Client{Address: "127.0.0.1:7100"}
//	var status operator.Status
//	err := c.Do(ctx, http.MethodGet, "/v1/status", nil, &status)
//
// An error answer of the instance comes back as a *problem.Error of its kind.
package client
