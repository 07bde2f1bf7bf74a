package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

// process is what both roles have in common: its tasks run until one fails or
// the process has finished its planned stop, which a signal begins.
type process struct {
	cmd *cli.Command
	log *logrus.Entry
	// asked ends when the operating system asks the process to stop.
	asked context.Context
	// tasks ends when the process's tasks have to.
	tasks context.Context
	end   context.CancelFunc
	group *errgroup.Group
}

func newProcess(ctx context.Context, cmd *cli.Command, name string) (*process, error) {
	logger, err := daemon.NewLogger(cmd.String("log-level"))
	if err != nil {
		return nil, err
	}
	p := &process{
		cmd: cmd, asked: ctx,
		log: logger.WithFields(logrus.Fields{"daemon": name, "zone": cmd.String("zone")}),
	}
	// Tasks outlive the signal: requests in flight need them.
	tasks, end := context.WithCancel(context.WithoutCancel(ctx))
	p.end = end
	p.group, p.tasks = errgroup.WithContext(tasks)
	return p, nil
}

// run starts a task that ends with the process.
func (p *process) run(task func(context.Context) error) {
	p.group.Go(func() error { return task(p.tasks) })
}

// loop starts a task that can't fail.
func (p *process) loop(task func(context.Context)) {
	p.run(func(ctx context.Context) error {
		task(ctx)
		return nil
	})
}

func (p *process) listen(setting string) (net.Listener, error) {
	return daemon.Listen(setting, p.cmd.String(setting))
}

// closeGrace is how long a server waits for calls in flight once requests are
// done.
const closeGrace = time.Second

// serve answers on the port that a setting names.
func (p *process) serve(setting string, handler http.Handler) error {
	listener, err := p.listen(setting)
	if err != nil {
		return err
	}
	p.run(func(ctx context.Context) error { return daemon.ServeHTTP(ctx, listener, handler, closeGrace) })
	return nil
}

// awaitStop blocks until the process is asked to stop, or a task has failed; it
// returns whether requests in flight are to be finished.
func (p *process) awaitStop() bool {
	select {
	case <-p.asked.Done():
		p.log.Info("planned stop: finishing the requests in flight")
		return true
	case <-p.tasks.Done():
		return false
	}
}

// finish ends the tasks and returns the first error of any.
func (p *process) finish() error {
	p.end()
	return p.group.Wait()
}
