package main

import "fmt"

// Names of the configuration.
const (
	host       = "ficu95.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	appService = "xano55b"
	appPath    = "/pufi791/2f"
	llmService = "huvo11a"
	llmPath    = "/lohu930/2f"
)

// configuration is the operators' configuration, in the form of PROTOCOL.md and with the values of
// the site's classes.
func configuration() []byte {
	return fmt.Appendf(nil, `{"version":7,"routes":[
{"name":"r-2yhvz3p","host":%q,"path_prefix":"/lohu930/","type":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":1,"service":%q,"max_attempts":2,"public":false,"session_affinity":true,"resumable":true,"itl_target_ms":120},
{"name":"r-fi6y7z5","host":%q,"path_prefix":"/pufi791/","type":"idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":%q,"max_attempts":2,"public":false}],
"services":[{"name":%q,"health_path":"/health","max_conns":408,"protocol":"h1","tls":false},{"name":%q,"health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":[%q],"priority":1}]}`, host, llmService, host, appService, llmService, appService, apiKey)
}
