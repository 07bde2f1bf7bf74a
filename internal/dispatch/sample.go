package dispatch

import "github.com/crowbridge/crowbridge/internal/fleet"

// sampleSize is the number of servers considered for a choice, which bounds its cost in
// services with thousands of servers.
const sampleSize = 128

// sample returns a random sample of the servers, with repetition, or all of them if they are
// few enough.
func (b *Balancer) sample(servers []*fleet.Server) (sampled []*fleet.Server, all bool) {
	if len(servers) <= sampleSize {
		return servers, true
	}
	sampled = make([]*fleet.Server, sampleSize)
	for i := range sampled {
		sampled[i] = servers[b.random(len(servers))]
	}
	return sampled, false
}

// chooseCandidate chooses from a sample of the allowed servers, or from all of them if none in
// the sample is eligible. If no server's group can run requests, it returns the group that broke last.
func (p *Pipeline) chooseCandidate(x *exchange) (Choice, *brokenGroup) {
	candidates := p.candidates(x)
	sampled, all := p.balancer.sample(candidates)
	if !all && !x.request.Suspect { // entries isolate suspects by the same list of servers
		if open, _ := p.balancer.openServers(sampled, p.now()); len(open) > 0 {
			if choice := p.chooser.Choose(p.now(), open, x.request, x.tried); choice.Server != nil {
				return choice, nil
			}
		}
	}
	open, broken := p.balancer.openServers(candidates, p.now())
	if broken != nil {
		return Choice{}, broken
	}
	return p.chooser.Choose(p.now(), open, x.request, x.tried), nil
}
