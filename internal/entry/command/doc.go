// Package command is the command line of egretbend.
//
//	egretbend serve --settings instance.json
//	egretbend config put --file configuration.json --revision 12
//
// Exit codes: 0 done, 1 failed, 2 wrong input, 3 refused (a conflict, for
// example), 4 the outcome is unknown.
package command
