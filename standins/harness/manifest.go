package harness

import (
	"fmt"
	"strings"

	"github.com/crowbridge/crowbridge/internal/daemon"
)

// Manifest returns the deployment's configuration as YAML.
func (c *Cluster) Manifest() string {
	var b strings.Builder
	fmt.Fprintf(&b, "kind: Policy\nname: default\npolicy: {keyWindowSeconds: %d, clockSkewMs: %d}\n", c.Layout.KeyWindowSeconds, c.Layout.ClockSkewMs)
	for i, customer := range customerNames {
		fmt.Fprintf(&b, "---\nkind: Customer\nname: %s\nlabels: {fleet: florists}\ncustomer: {weight: 1, keyHashes: [%s]}\n", customer, daemon.HashSecret(c.Keys[i]))
	}
	b.WriteString("---\nkind: Service\nname: text-writer\nservice: {protocol: engine, models: [petal-7b], maxConcurrency: 16}\n")
	b.WriteString("---\nkind: Service\nname: courier-api\nservice: {protocol: plain, pathPrefix: /dispatch, maxConcurrency: 16, class: urgent}\n")
	b.WriteString("---\nkind: Route\nname: writing\nroute: {service: text-writer, customers: fleet=florists}\n")
	b.WriteString("---\nkind: Route\nname: dispatching\nroute: {service: courier-api, customers: fleet=florists}\n")
	if len(c.rankAddresses) > 0 {
		fmt.Fprintf(&b, "---\nkind: Service\nname: %s\nservice: {protocol: engine, models: [expert-7b]}\n", groupService)
		fmt.Fprintf(&b, "---\nkind: Group\nname: %s\ngroup: {service: %s, ranks: %d, experts: %d, layers: %d, slotsPerRank: %d, skewWeight: 1, costWeight: 0.1, maxLoads: 4}\n",
			GroupName, groupService, len(c.rankAddresses), groupExperts, groupLayers, groupSlots)
	}
	for _, s := range c.Servers {
		if s.Group != "" {
			fmt.Fprintf(&b, "---\nkind: BackendServer\nname: %s\nbackendServer: {service: %s, zone: %s, address: %q, control: %q, group: %s, rank: %d, engine: %q, ignoresFence: %t}\n",
				s.Name, s.Service, s.Zone, s.dialAddress(), s.control, s.Group, s.Rank, s.backend, c.Layout.IgnoreFences)
			continue
		}
		fmt.Fprintf(&b, "---\nkind: BackendServer\nname: %s\nbackendServer: {service: %s, zone: %s, address: %q, control: %q}\n",
			s.Name, s.Service, s.Zone, s.dialAddress(), s.control)
	}
	return b.String()
}
