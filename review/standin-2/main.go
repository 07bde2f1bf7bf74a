// Command review-standin-2 plays the cases of the second review: it starts the project's daemons as
// processes beside stand-ins of the store, of servers and of clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxPlay bounds a case; it is below the 120 s that a case may run.
const maxPlay = 100 * time.Second

var cases = map[string]func(w *world, trouble bool){
	"slashes": playSlashes,
	"bodies":  playBodies,
	"leave":   playLeave,
	"large":   playLarge,
	"history": playHistory,
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "stream-server" {
		serveStream()
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		cannotRun("it was ended from outside")
	}()
	time.AfterFunc(maxPlay, func() { cannotRun("it takes longer than " + maxPlay.String()) })
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case %s, with the disruption: %t", os.Args[1], trouble)
	cases[os.Args[1]](w, trouble)
}
