package hoster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Host is the host name of the routes that Config makes.
const Host = "desk.example"

// Config returns a configuration of the operator's: a model of 8 layers, of which a card holds 4 with room, on service
// "pool", and a plain service "desk" with an unsafe route /hold/ and a safe route /look/.
func Config(version int, keys ...string) map[string]any {
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": 4000,
			"latency_target_ms": 500, "priority": 1, "service": service, "max_attempts": attempts, "resumable": resumable,
		}
	}
	credentials := []any{}
	for _, k := range keys {
		credentials = append(credentials, k)
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("model", "streaming", "pool", 2, true), route("hold", "unsafe", "desk", 1, false),
			route("look", "safe", "desk", 2, false),
		},
		"services": Services(),
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "joiners", "api_keys": credentials}},
	}
}

// Services returns the services of a configuration: the model of 8 layers on "pool", and the plain service "desk".
func Services() []any {
	return []any{
		map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 100},
		map[string]any{"name": "pool", "health_path": "/healthz", "max_conns": 100, "engine": map[string]any{
			"slots": 10, "kv_capacity": 10000, "kv_token_bytes": 800000, "stride": 1, "step_ms": 1.0, "per_seq_ms": 0.01,
			"context_per_k": 0.01, "read_per_s": 100000.0, "loads_at_once": 5, "layers": 8, "layer_mb": 1000.0,
			"activation_bytes": 1000, "pipe_mbps": 10000.0, "usual": map[string]any{"prompt": 100, "answer": Events},
			"models": []any{map[string]any{"name": "m", "load_s": 1.0}},
			"kinds":  []any{map[string]any{"name": "card", "size_mb": 8000.0, "pace": 1.0, "read_factor": 1.0}},
		}},
	}
}

// Ask gives a request the headers of a caller.
func Ask(r *http.Request, id, key string, deadline time.Duration) {
	r.Host = Host
	r.Header.Set("X-Heatherrock-Attempt-Id", id)
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("X-Heatherrock-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("X-Heatherrock-Token-Count", fmt.Sprintf("100,%d", Events))
}

// Stamped reports whether an answer bears a server's stamp and the id of a request.
func Stamped(h http.Header, id string) bool {
	return strings.HasPrefix(h.Get("X-Heatherrock-Server-Stamp"), "stamp-of-") && h.Get("X-Heatherrock-Attempt-Id") == id
}

// WholeStream is the body of a whole stream.
func WholeStream() string {
	var b strings.Builder
	for n := 1; n <= Events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// Machine is a machine on which an instance runs.
type Machine struct {
	Name string
	Zone string
	IP   string
	// Store is where the machine reaches the store.
	Store string
}

// Addresses of a machine's listeners.
const (
	callersPort = 8000
	readyPort   = 8001
)

// Callers returns the address for callers.
func (m Machine) Callers() string { return fmt.Sprintf("%s:%d", m.IP, callersPort) }

// Ready returns the address of the readiness check.
func (m Machine) Ready() string { return fmt.Sprintf("%s:%d", m.IP, readyPort) }

// Settings returns the settings file of an instance on the machine. JSON is YAML.
func (m Machine) Settings() ([]byte, error) {
	return json.Marshal(map[string]any{
		"node_name": m.Name, "zone": m.Zone, "region": "r", "ip": m.IP,
		"listen":         map[string]any{"front": m.Callers(), "ready": m.Ready()},
		"internal_ports": []int{7340, 7355}, "limits": map[string]any{"memory_mb": 284}, "heartbeat_ms": 1200,
		"bounds": map[string]any{
			"grace_s": Grace.Seconds(), "drain_ms": 3000, "stall_ms": 2500, "budget_ratio": BudgetRatio,
			"budget_window_s": BudgetWindow.Seconds(), "budget_slack": BudgetSlack,
		},
		"platform": map[string]any{"address": m.Store},
	})
}

// Environment returns the environment of an instance whose settings file is at a path.
func Environment(path string) []string { return []string{"HEATHERROCK_NODE_FILE=" + path} }

// The bounds that the settings give.
const (
	// Grace is the time between the order to stop and the end of the process.
	Grace = 8 * time.Second
	// BudgetRatio, BudgetSlack and BudgetWindow bound the arrivals beyond the first of each request at a service.
	BudgetRatio  = 0.2
	BudgetSlack  = 60
	BudgetWindow = 10 * time.Second
)
