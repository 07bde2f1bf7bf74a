package agent

import (
	"context"

	"github.com/crowbridge/crowbridge/internal/group"
	"github.com/crowbridge/crowbridge/internal/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

// restartingEngine is an engine whose process may be replaced at any moment.
type restartingEngine struct {
	instance string
	plan     group.EnginePlan
	// strangers counts plans that reached a process that they weren't made for.
	strangers int
	// madeFor is the instance that was read last.
	madeFor string
}

var errOtherInstance = errors.New("status 409: another instance")

func (e *restartingEngine) State(context.Context) (*EngineState, error) {
	e.madeFor = e.instance
	return &EngineState{Instance: e.instance, Plan: e.plan}, nil
}

func (e *restartingEngine) Stage(_ context.Context, _ int64, version group.Version, _ []byte) error {
	e.plan.Staged = version
	return nil
}

func (e *restartingEngine) Map(context.Context, group.Version) ([]byte, error) { return nil, nil }

func (e *restartingEngine) Tell(_ context.Context, _ int64, instance string, plan group.EnginePlan) error {
	if instance != e.instance {
		return errOtherInstance
	}
	if e.madeFor != e.instance {
		e.strangers++
	}
	e.plan = plan
	return nil
}

var _ = Describe("a rank whose engine starts anew", func() {
	It("isn't told a plan that was made for the process before", func() {
		engine := &restartingEngine{instance: "one"}
		logger, _ := logrustest.NewNullLogger()
		control := NewRankControl("g", 0, engine, logrus.NewEntry(logger))
		ctx := context.Background()
		Expect(control.tick(ctx)).To(Succeed())
		order := func(kind group.Kind, version, step int64) *rpc.OrderReply {
			report := control.rank.Report()
			reply, err := control.Order(ctx, &rpc.OrderRequest{
				Group: "g", Fence: 1, Incarnation: control.encode(report).Incarnation, Kind: rpc.OrderKind(kind), MapVersion: version, StartStep: step,
			})
			if err != nil {
				return nil
			}
			return reply
		}
		order(group.KindRaise, 0, 0)
		order(group.KindPropose, 0, 0)
		order(group.KindCommit, 0, 0)
		Expect(control.tick(ctx)).To(Succeed())
		Expect(engine.plan.GrantedThrough).To(BeNumerically(">", 0))
		order(group.KindStage, 7, 0)
		order(group.KindPropose, 7, engine.plan.GrantedThrough+10)

		engine.instance, engine.plan = "two", group.EnginePlan{}
		order(group.KindCommit, 7, control.rank.Report().GrantedThrough+10)
		Expect(engine.strangers).To(BeZero())
		Expect(engine.plan.GrantedThrough).To(BeZero(), "the new process begins no step")
		Expect(control.tick(ctx)).To(Succeed())
		Expect(control.rank.Report().Recovering).To(BeTrue())
	})
})
