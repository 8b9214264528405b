// Package command implements the command line of egretbend. Main runs it and returns the
// exit code.
//
//	egretbend serve --settings instance.json
//	egretbend config put --file configuration.json --revision 12
//
// Exit codes: 0 success, 1 failure, 2 wrong input, 3 refused by the instance (for
// example because of a conflict), 4 outcome unknown.
package command
