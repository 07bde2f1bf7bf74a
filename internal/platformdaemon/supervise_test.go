package platformdaemon

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

var _ = Describe("superviseTasks", func() {
	It("stops as planned when a task fails, and returns its error", func() {
		failed := errors.New("a port was lost")
		tasks, end := context.WithCancel(context.Background())
		group, tasks := errgroup.WithContext(tasks)
		frontendStopped := make(chan struct{})
		group.Go(func() error {
			<-frontendStopped
			return nil
		})
		group.Go(func() error { return failed })
		var cause error
		err := superviseTasks(context.Background(), tasks, group, end, func(c error) {
			cause = c
			close(frontendStopped)
		})
		Expect(err).To(Equal(failed))
		Expect(cause).To(Equal(failed))
	})

	It("runs the tasks until a planned stop is over", func() {
		stop, requestStop := context.WithCancel(context.Background())
		requestStop()
		tasks, end := context.WithCancel(context.Background())
		group, tasks := errgroup.WithContext(tasks)
		group.Go(func() error {
			<-tasks.Done()
			return nil
		})
		Expect(superviseTasks(stop, tasks, group, end, func(cause error) {
			Expect(cause).NotTo(HaveOccurred())
			Expect(tasks.Err()).NotTo(HaveOccurred())
		})).To(Succeed())
	})
})
