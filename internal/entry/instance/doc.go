// Package instance imports the parts that every instance runs, and starts them.
//
// Importing a package registers its parts with package part. This package holds the
// program's only list of parts: to add a part, write its package and import it here.
//
//	err := instance.Start(host)
package instance
