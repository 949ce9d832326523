//go:build review

package lab

// The services, host and paths of the deployment.
const (
	DeskService = "huvo11a"
	PoolService = "wuno96b"
	Host        = "ficu95.example"
	HoldPrefix  = "/puxa403/"
	LookPrefix  = "/cufi504/"
	DraftPrefix = "/lohu930/"
)

// Tenant is a tenant of the configuration.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
	// Priority is its rank.
	Priority int `json:"priority"`
}

// Config returns the operator's configuration.
func Config(version int, tenants ...Tenant) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMS, targetMS, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMS, "latency_target_ms": targetMS,
			"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false, "sticky": resumable, "resumable": resumable,
			"gap_target_ms": 200,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-hold", HoldPrefix, "unsafe", DeskService, 1500, 150, 1, false),
			route("r-look", LookPrefix, "safe", DeskService, 1500, 150, 2, false),
			route("r-draft", DraftPrefix, "streaming", PoolService, 20000, 500, 2, true),
		},
		"services": []any{
			map[string]any{"name": DeskService, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
			map[string]any{
				"name": PoolService, "health_path": "/healthz", "max_conns": 968, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 192, "kv_capacity": 100000, "kv_token_bytes": 918000, "link_mbps": 400000.0, "stride": 3,
					"models":  []any{map[string]any{"name": "m", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}},
					"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309,
					"chunk": 512, "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 5,
					"usual": map[string]int{"prompt": 760, "answer": 3 * EventCount}, "layers": Layers, "layer_mb": LayerMB,
					"activation_bytes": 16384, "pipe_mbps": 22000.0,
					"kinds": []any{map[string]any{"name": cardKind, "size_mb": CardMB, "pace": 2.4, "read_factor": 3.2}},
				},
			},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": tenants,
	}
}
