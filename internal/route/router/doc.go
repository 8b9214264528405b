// Package router joins admission, choice and retry budget for one request.
//
//	trip, err := r.Enter(job)       // let in, or refused at once
//	if err != nil { return err }
//	defer trip.Close(limit.Good)
//	u, err := trip.Next()           // an upstream not tried yet
//
// Each choice writes one log line: what was chosen, from how many, and why.
package router
