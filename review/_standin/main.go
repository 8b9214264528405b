// Command _standin holds the stand-ins that the scripts of the review start: clients, a trainer,
// samplers and the platform's store. It starts the product as separate processes.
//
//	standin CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD, which is record.txt in the folder of
// the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// namesJSON holds the names of the platform's headers, paths and keys.
//
//go:embed names.json
var namesJSON []byte

var names map[string]string

// record writes what was sent, answered and run to a file.
type record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	broken  int
	checked int
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (r *record) breach(format string, args ...any) {
	r.line("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	if r.broken <= 5 {
		fmt.Println("broken: " + fmt.Sprintf(format, args...))
	}
}

// running is the deployment of the case, once there is one.
var running atomic.Pointer[deployment]

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil || json.Unmarshal(namesJSON, &names) != nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	r := &record{
		file:  file,
		began: time.Now(),
	}
	trouble := os.Getenv("TROUBLE") != "0"
	go func() {
		// The processes that were started end with this one.
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
		<-signals
		r.line("stopped by a signal")
		if d := running.Load(); d != nil {
			d.close()
		}
		os.Exit(2)
	}()
	r.line("case %s, trouble %t", os.Args[1], trouble)
	d, err := newDeployment(r)
	running.Store(d)
	if err == nil {
		err = cases[os.Args[1]](d, trouble)
	}
	if d != nil {
		d.close()
	}
	r.line("checked %d, broken %d, error %v", r.checked, r.broken, err)
	fmt.Printf("checked %d, broken %d\n", r.checked, r.broken)
	switch {
	case err != nil:
		fmt.Println("the case could not run: " + strings.TrimSpace(err.Error()))
		os.Exit(2)
	case r.broken > 0:
		os.Exit(1)
	}
}
