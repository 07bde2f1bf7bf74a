package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/admission"
	"github.com/crowbridge/crowbridge/internal/config"
)

// serverSim drives one real admission queue before a model of a server, in
// virtual time: the server runs simBatch requests at full speed and slows all
// down beyond that.
type serverSim struct {
	queue   *admission.Queue
	now     time.Time
	events  eventHeap
	random  *rand.Rand
	started map[string]job
	id      int
	running int

	urgent     []float64 // times from arrival to answer, in milliseconds
	urgentSent int
	urgentKept int
	good       float64 // cost answered in time
	shares     map[string]float64
}

type job struct {
	request admission.Request
	arrived time.Time
	cost    float64
}

type event struct {
	at      time.Time
	arrival *arrival
	done    string
}

// arrival is a stream of requests of one customer and class.
type arrival struct {
	customer string
	class    config.Class
	every    time.Duration
	deadline time.Duration
	cost     float64
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const (
	simBatch       = 16
	simTokenTime   = time.Millisecond // per unit of cost at full speed
	urgentCost     = 20.0
	patientCost    = 80.0
	urgentDeadline = 400 * time.Millisecond
)

// capacity is the server's cost per second.
const capacity = simBatch * float64(time.Second/simTokenTime)

func newServerSim(fifo bool, seed uint64) *serverSim {
	limit := admission.LimitOptions{Min: 1, Max: 4 * simBatch}
	percent := 10
	if fifo {
		limit.Min = limit.Max
	}
	return &serverSim{
		queue: admission.NewQueue(admission.Options{Limit: limit, MaxQueued: 2000, PatientPercent: percent}),
		now:   benchStart, random: rand.New(rand.NewPCG(seed, 9)), started: map[string]job{},
		shares: map[string]float64{},
	}
}

func (s *serverSim) run(arrivals []*arrival, length time.Duration) {
	for _, a := range arrivals {
		heap.Push(&s.events, event{at: s.now, arrival: a})
	}
	end := s.now.Add(length)
	for len(s.events) > 0 {
		e, ok := heap.Pop(&s.events).(event)
		if !ok || e.at.After(end) {
			return
		}
		s.now = e.at
		if e.arrival != nil {
			s.arrive(e.arrival)
		} else {
			s.finish(e.done)
		}
		s.queue.TakeRefusals(s.now)
		for _, request := range s.queue.Dispatch(s.now) {
			s.begin(request)
		}
	}
}

func (s *serverSim) arrive(a *arrival) {
	heap.Push(&s.events, event{at: s.now.Add(time.Duration(s.random.ExpFloat64() * float64(a.every))), arrival: a})
	s.id++
	id := fmt.Sprint(s.id)
	request := admission.Request{
		ID: id, Customer: a.customer, Weight: 1, Class: a.class, Cost: a.cost, Deadline: s.now.Add(a.deadline),
	}
	if a.class == config.ClassUrgent {
		s.urgentSent++
	}
	s.started[id] = job{request: request, arrived: s.now, cost: a.cost * (0.5 + s.random.Float64())}
	if s.queue.Offer(s.now, request) != nil {
		delete(s.started, id)
	}
}

func (s *serverSim) begin(request admission.Request) {
	s.running++
	j := s.started[request.ID]
	slow := max(1, float64(s.running)/simBatch)
	took := time.Duration(j.cost * slow * float64(simTokenTime))
	heap.Push(&s.events, event{at: s.now.Add(took), done: request.ID})
}

func (s *serverSim) finish(id string) {
	s.running--
	j := s.started[id]
	delete(s.started, id)
	s.queue.Done(s.now, id, j.cost, true)
	s.shares[j.request.Customer] += j.cost
	inTime := !s.now.After(j.request.Deadline)
	if inTime {
		s.good += j.cost
	}
	if j.request.Class == config.ClassUrgent {
		s.urgent = append(s.urgent, s.now.Sub(j.arrived).Seconds()*1000)
		if inTime {
			s.urgentKept++
		}
	}
}

// flood is urgent work at a tenth of the capacity and patient work that brings
// the whole to load times the capacity. In first-in-first-out order all is of
// one class and one customer.
func flood(load float64, fifo bool) []*arrival {
	urgentRate := 0.1 * capacity / urgentCost
	patientRate := (load - 0.1) * capacity / patientCost
	urgent := &arrival{customer: "courier", class: config.ClassUrgent, every: per(urgentRate), deadline: urgentDeadline, cost: urgentCost}
	patient := &arrival{customer: "drafts", class: config.ClassPatient, every: per(patientRate), deadline: 20 * time.Second, cost: patientCost}
	if fifo {
		urgent.customer, urgent.class = "all", config.ClassUrgent
		patient.customer, patient.class = "all", config.ClassUrgent
	}
	return []*arrival{urgent, patient}
}

func per(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

const simLength = 2 * time.Minute

// Admission measures promptness, fairness, goodput, speed and memory.
func (r *Reporter) Admission() {
	half := 0.0
	for _, load := range []float64{0.5, 1, 2, 5} {
		s := newServerSim(false, 1)
		s.run(flood(load, false), simLength)
		name := fmt.Sprintf("admission/load-%g", load)
		p99 := Quantile(s.urgent, 0.99)
		if half == 0 {
			half = p99
		}
		r.Figure(name+"/urgent-p50", Quantile(s.urgent, 0.5), "ms")
		r.Compare(name+"/urgent-p99", p99, "ms", half)
		kept := 100 * float64(s.urgentKept) / float64(s.urgentSent)
		r.Compare(name+"/urgent-in-time", kept, "%", s.fifoKept(load))
	}
	r.jain()
	r.goodput()
	r.queueSpeed()
}

// fifoKept returns the share of urgent requests in time when all wait in one
// line. Urgent ones are told by their deadline.
func (s *serverSim) fifoKept(load float64) float64 {
	line := newFifo(1)
	line.run(load, simLength)
	return 100 * float64(line.kept) / float64(line.sent)
}

func (r *Reporter) jain() {
	s := newServerSim(false, 2)
	var arrivals []*arrival
	for i := range 20 {
		rate := 0.1 * capacity / urgentCost // twice the capacity together, without the greedy one
		if i == 0 {
			rate *= 50
		}
		arrivals = append(arrivals, &arrival{customer: fmt.Sprint(i), class: config.ClassNormal, every: per(rate), deadline: 5 * time.Second, cost: urgentCost})
	}
	s.run(arrivals, time.Minute)
	sum, squares := 0.0, 0.0
	for _, share := range s.shares {
		sum += share
		squares += share * share
	}
	r.Figure("admission/jain-one-sends-fifty-times", sum*sum/(20*squares), "index")
}

func (r *Reporter) goodput() {
	peak := 0.0
	for _, load := range []float64{0.5, 1, 2, 5} {
		s := newServerSim(false, 3)
		s.run([]*arrival{{customer: "c", class: config.ClassNormal, every: per(load * capacity / urgentCost), deadline: time.Second, cost: urgentCost}}, time.Minute)
		good := s.good / 60 / capacity * 100
		peak = max(peak, good)
		r.Compare(fmt.Sprintf("admission/goodput-%g", load), good, "%", peak)
	}
}

func (r *Reporter) queueSpeed() {
	const customers = 4200
	q := admission.NewQueue(admission.Options{Limit: admission.LimitOptions{Min: 16, Max: 16}, MaxQueued: 1 << 20, PatientPercent: 10})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	id := 0
	offer := func() {
		id++
		_ = q.Offer(benchStart, admission.Request{ // the queue is large enough
			ID: fmt.Sprint(id), Customer: fmt.Sprint("customer-", id%customers), Weight: 1,
			Class: config.ClassNormal, Cost: 20, Deadline: benchStart.Add(time.Hour),
		})
	}
	for range 2 * customers {
		offer()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	r.Figure("admission/memory-4200-customers-8400-queued", float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	result := testing.Benchmark(func(b *testing.B) {
		now := benchStart
		for range b.N {
			offer()
			now = now.Add(time.Microsecond)
			for _, request := range q.Dispatch(now) {
				q.Done(now.Add(time.Millisecond), request.ID, 20, true)
			}
		}
	})
	r.Figure("admission/offer-start-end-4200-customers", float64(result.T.Nanoseconds())/float64(result.N), "ns")
}
