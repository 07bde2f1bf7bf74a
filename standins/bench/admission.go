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

// serverSim simulates a server behind a real admission queue, in virtual time. The server
// runs up to simBatch requests at full speed and slows all of them down beyond that.
type serverSim struct {
	queue   *admission.Queue
	now     time.Time
	events  eventHeap
	random  *rand.Rand
	jobs    map[string]job
	id      int
	running int

	urgentLatencies []float64 // from arrival to completion, in milliseconds
	urgentSent      int
	urgentOnTime    int
	goodput         float64 // cost of requests that completed before their deadline
	costByCustomer  map[string]float64
}

type job struct {
	request admission.Request
	arrived time.Time
	cost    float64
}

type event struct {
	at         time.Time
	arrival    *arrival
	finishedID string
}

// arrival is a Poisson process of requests of one customer and class.
type arrival struct {
	customer     string
	class        config.Class
	meanInterval time.Duration
	deadline     time.Duration
	cost         float64
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
		now:   simStart, random: rand.New(rand.NewPCG(seed, 9)), jobs: map[string]job{},
		costByCustomer: map[string]float64{},
	}
}

func (s *serverSim) run(arrivals []*arrival, duration time.Duration) {
	for _, a := range arrivals {
		heap.Push(&s.events, event{at: s.now, arrival: a})
	}
	end := s.now.Add(duration)
	for len(s.events) > 0 {
		e, ok := heap.Pop(&s.events).(event)
		if !ok || e.at.After(end) {
			return
		}
		s.now = e.at
		if e.arrival != nil {
			s.offerRequest(e.arrival)
		} else {
			s.finishRequest(e.finishedID)
		}
		s.queue.TakeRefusals(s.now)
		for _, request := range s.queue.Dispatch(s.now) {
			s.startRequest(request)
		}
	}
}

func (s *serverSim) offerRequest(a *arrival) {
	heap.Push(&s.events, event{at: s.now.Add(time.Duration(s.random.ExpFloat64() * float64(a.meanInterval))), arrival: a})
	s.id++
	id := fmt.Sprint(s.id)
	request := admission.Request{
		ID: id, Customer: a.customer, Weight: 1, Class: a.class, Cost: a.cost, Deadline: s.now.Add(a.deadline),
	}
	if a.class == config.ClassUrgent {
		s.urgentSent++
	}
	s.jobs[id] = job{request: request, arrived: s.now, cost: a.cost * (0.5 + s.random.Float64())}
	if s.queue.Offer(s.now, request) != nil {
		delete(s.jobs, id)
	}
}

func (s *serverSim) startRequest(request admission.Request) {
	s.running++
	j := s.jobs[request.ID]
	slowdown := max(1, float64(s.running)/simBatch)
	took := time.Duration(j.cost * slowdown * float64(simTokenTime))
	heap.Push(&s.events, event{at: s.now.Add(took), finishedID: request.ID})
}

func (s *serverSim) finishRequest(id string) {
	s.running--
	j := s.jobs[id]
	delete(s.jobs, id)
	s.queue.Done(s.now, id, j.cost, true)
	s.costByCustomer[j.request.Customer] += j.cost
	onTime := !s.now.After(j.request.Deadline)
	if onTime {
		s.goodput += j.cost
	}
	if j.request.Class == config.ClassUrgent {
		s.urgentLatencies = append(s.urgentLatencies, s.now.Sub(j.arrived).Seconds()*1000)
		if onTime {
			s.urgentOnTime++
		}
	}
}

// arrivalsFor returns urgent requests at a tenth of the capacity, and patient requests that
// bring the total to load times the capacity. For the FIFO baseline all have the same class
// and customer.
func arrivalsFor(load float64, fifo bool) []*arrival {
	urgentRate := 0.1 * capacity / urgentCost
	patientRate := (load - 0.1) * capacity / patientCost
	urgent := &arrival{customer: "courier", class: config.ClassUrgent, meanInterval: interval(urgentRate), deadline: urgentDeadline, cost: urgentCost}
	patient := &arrival{customer: "drafts", class: config.ClassPatient, meanInterval: interval(patientRate), deadline: 20 * time.Second, cost: patientCost}
	if fifo {
		urgent.customer, urgent.class = "all", config.ClassUrgent
		patient.customer, patient.class = "all", config.ClassUrgent
	}
	return []*arrival{urgent, patient}
}

func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

const simDuration = 2 * time.Minute

// Admission measures latency, fairness, goodput, throughput and memory of the admission
// queue.
func (r *Reporter) Admission() {
	baseline := 0.0
	for _, load := range []float64{0.5, 1, 2, 5} {
		s := newServerSim(false, 1)
		s.run(arrivalsFor(load, false), simDuration)
		name := fmt.Sprintf("admission/load-%g", load)
		p99 := Quantile(s.urgentLatencies, 0.99)
		if baseline == 0 {
			baseline = p99
		}
		r.Figure(name+"/urgent-p50", Quantile(s.urgentLatencies, 0.5), "ms")
		r.Compare(name+"/urgent-p99", p99, "ms", baseline)
		onTime := 100 * float64(s.urgentOnTime) / float64(s.urgentSent)
		r.Compare(name+"/urgent-in-time", onTime, "%", s.fifoOnTime(load))
	}
	r.fairness()
	r.goodput()
	r.queueThroughput()
}

// fifoOnTime returns the percentage of urgent requests that complete before their deadline
// with a FIFO queue.
func (s *serverSim) fifoOnTime(load float64) float64 {
	fifo := newFIFOSim(1)
	fifo.run(load, simDuration)
	return 100 * float64(fifo.onTime) / float64(fifo.sent)
}

func (r *Reporter) fairness() {
	s := newServerSim(false, 2)
	var arrivals []*arrival
	for i := range 20 {
		rate := 0.1 * capacity / urgentCost // together twice the capacity, without the customer that sends more
		if i == 0 {
			rate *= 50
		}
		arrivals = append(arrivals, &arrival{customer: fmt.Sprint(i), class: config.ClassNormal, meanInterval: interval(rate), deadline: 5 * time.Second, cost: urgentCost})
	}
	s.run(arrivals, time.Minute)
	sum, squares := 0.0, 0.0
	for _, share := range s.costByCustomer {
		sum += share
		squares += share * share
	}
	r.Figure("admission/jain-one-sends-fifty-times", sum*sum/(20*squares), "index")
}

func (r *Reporter) goodput() {
	peak := 0.0
	for _, load := range []float64{0.5, 1, 2, 5} {
		s := newServerSim(false, 3)
		s.run([]*arrival{{customer: "c", class: config.ClassNormal, meanInterval: interval(load * capacity / urgentCost), deadline: time.Second, cost: urgentCost}}, time.Minute)
		good := s.goodput / 60 / capacity * 100
		peak = max(peak, good)
		r.Compare(fmt.Sprintf("admission/goodput-%g", load), good, "%", peak)
	}
}

func (r *Reporter) queueThroughput() {
	const customers = 4200
	q := admission.NewQueue(admission.Options{Limit: admission.LimitOptions{Min: 16, Max: 16}, MaxQueued: 1 << 20, PatientPercent: 10})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	id := 0
	offer := func() {
		id++
		_ = q.Offer(simStart, admission.Request{ // the queue is large enough
			ID: fmt.Sprint(id), Customer: fmt.Sprint("customer-", id%customers), Weight: 1,
			Class: config.ClassNormal, Cost: 20, Deadline: simStart.Add(time.Hour),
		})
	}
	for range 2 * customers {
		offer()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	r.Figure("admission/memory-4200-customers-8400-queued", float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	result := testing.Benchmark(func(b *testing.B) {
		now := simStart
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
