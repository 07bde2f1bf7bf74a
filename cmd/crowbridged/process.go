package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

// process manages the tasks of a daemon. They run until one of them fails or until the planned stop,
// which starts with a signal, is complete.
type process struct {
	cmd *cli.Command
	log *logrus.Entry
	// stopRequested ends when a signal requests a planned stop.
	stopRequested context.Context
	// tasks is the context of the tasks. It ends when a task fails or the process finishes.
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
		cmd: cmd, stopRequested: ctx,
		log: logger.WithFields(logrus.Fields{"daemon": name, "zone": cmd.String("zone")}),
	}
	// Requests in flight need the tasks after the signal.
	tasks, end := context.WithCancel(context.WithoutCancel(ctx))
	p.end = end
	p.group, p.tasks = errgroup.WithContext(tasks)
	return p, nil
}

// runTask starts a task.
func (p *process) runTask(task func(context.Context) error) {
	p.group.Go(func() error { return task(p.tasks) })
}

// runLoop starts a task that can't fail.
func (p *process) runLoop(task func(context.Context)) {
	p.runTask(func(ctx context.Context) error {
		task(ctx)
		return nil
	})
}

// listen listens at the address in a setting.
func (p *process) listen(setting string) (net.Listener, error) {
	return daemon.Listen(setting, p.cmd.String(setting))
}

// closeGrace is how long an HTTP server waits for calls in flight after its tasks' context has ended.
const closeGrace = time.Second

// serve starts an HTTP server at the address in a setting.
func (p *process) serve(setting string, handler http.Handler) error {
	listener, err := p.listen(setting)
	if err != nil {
		return err
	}
	p.runTask(func(ctx context.Context) error { return daemon.ServeHTTP(ctx, listener, handler, closeGrace) })
	return nil
}

// serveCallers starts an HTTP server at the address in a setting, with limits for its callers.
func (p *process) serveCallers(setting string, handler http.Handler, limits intake.Options) error {
	listener, err := p.listen(setting)
	if err != nil {
		return err
	}
	budget := intake.New(limits, p.log)
	bounded, err := budget.Listen(listener)
	if err != nil {
		return err
	}
	budget.Export()
	p.runTask(func(ctx context.Context) error { return daemon.ServeCallers(ctx, bounded, handler, closeGrace) })
	return nil
}

// awaitStop blocks until a planned stop is requested or a task has failed. It reports whether it was
// a planned stop, in which requests in flight may finish.
func (p *process) awaitStop() bool {
	select {
	case <-p.stopRequested.Done():
		p.log.Info("planned stop: waiting for requests in flight")
		return true
	case <-p.tasks.Done():
		return false
	}
}

// finish stops the tasks and returns the first error of one.
func (p *process) finish() error {
	p.end()
	return p.group.Wait()
}
