// Package instance names the parts that every instance runs.
//
// The program has no list of parts elsewhere: importing a package registers
// what it brings. A new part is one package and one line here.
//
//	err := instance.Start(host)
package instance
