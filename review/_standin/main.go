// Command standin plays the cases of folder review that can't be put as a day of the users'
// bench. It starts the programs of deploy/system.toml as processes of their own on loopback
// addresses; the store, the routers, the servers and the clients are stand-ins.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// A scenario plays one case and returns what broke the rule. With trouble unset it leaves
// out the disruption.
type scenario func(p *platform, trouble bool) (broken []string, err error)

var scenarios = map[string]struct {
	zones []string
	play  scenario
}{
	"idle-first":    {[]string{"sapa", "mu-cang"}, idleFirst},
	"drain-restart": {[]string{"sapa", "mu-cang"}, drainRestart},
	"cold-restart":  {[]string{"sapa", "mu-cang"}, coldRestart},
}

// longest is the time that a case may take.
const longest = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	chosen, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return 2
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("scenario %s, disruption: %v", name, trouble)
	p, err := newPlatform(rec, chosen.zones...)
	if err != nil {
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	var once sync.Once
	end := func() { once.Do(func() { p.close(os.Getenv("REVIEW_LOGS")) }) }
	go func() {
		// Whatever happens, no process that was started stays.
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		select {
		case <-signals:
		case <-time.After(longest):
		}
		rec.log("could not run: ended before its end")
		end()
		os.Exit(2)
	}()
	broken, err := chosen.play(p, trouble)
	damaged := p.damaged()
	end()
	if err != nil {
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	rec.log("damaged packets at clients and servers: %d", damaged)
	for _, line := range broken {
		rec.log("BROKEN: %s", line)
	}
	rec.log("%d times broken", len(broken))
	fmt.Printf("%s, disruption %v: %d times broken\n", name, trouble, len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}
