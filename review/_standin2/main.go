// Command standin2 runs the scripted cases of the second review: it starts a stand-in of the
// platform's store, samplers, clients and a trainer, and the product's processes with the command
// of the deploy file, all on loopback addresses.
//
//	standin2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// The processes that a case starts end with the thread that started them, which is this one.
func init() { runtime.LockOSThread() }

// cases are the scripted cases. Each returns what broke the rule, or nothing.
var cases = map[string]func(log *record, trouble bool) ([]string, error){
	"expect-version": expectVersion,
	"route-moved":    routeMoved,
	"late-refusal":   lateRefusal,
	"same-name":      sameName,
	"nested-name":    nestedName,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	log := &record{began: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case %s trouble=%t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](log, trouble)
	switch {
	case err != nil:
		log.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		for _, b := range broken {
			log.add("BROKEN %s", b)
			fmt.Println("BROKEN", b)
		}
		os.Exit(1)
	}
	log.add("the rule held")
	fmt.Println("the rule held")
}
