package hoster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Host is the host name of the routes in Config.
const Host = "desk.example"

// Config returns an operator's configuration: a model of 8 layers on the service "pool", of which one card holds 4 with
// memory to spare, and a plain service "desk" with an unsafe route /hold/ and a safe route /look/.
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

// Services returns the services in Config: the model of 8 layers on "pool", and the plain service "desk".
func Services() []any {
	return []any{
		map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 100},
		map[string]any{"name": "pool", "health_path": "/healthz", "max_conns": 100, "engine": map[string]any{
			"slots": 10, "kv_capacity": 10000, "kv_token_bytes": 800000, "stride": 1, "step_ms": 1.0, "per_seq_ms": 0.01,
			"context_per_k": 0.01, "read_per_s": 100000.0, "loads_at_once": 5, "layers": 8, "layer_mb": 1000.0,
			"activation_bytes": 1000, "pipe_mbps": 10000.0, "usual": map[string]any{"prompt": 100, "answer": EventsPerStream},
			"models": []any{map[string]any{"name": "m", "load_s": 1.0}},
			"kinds":  []any{map[string]any{"name": "card", "size_mb": 8000.0, "pace": 1.0, "read_factor": 1.0}},
		}},
	}
}

// SetCallerHeaders sets the headers that a caller sends with a request.
func SetCallerHeaders(r *http.Request, id, key string, deadline time.Duration) {
	r.Host = Host
	r.Header.Set("X-Heatherrock-Attempt-Id", id)
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("X-Heatherrock-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("X-Heatherrock-Token-Count", fmt.Sprintf("100,%d", EventsPerStream))
}

// IsAnswerTo reports whether the headers of an answer have a server's stamp and the ID of a request.
func IsAnswerTo(h http.Header, id string) bool {
	return strings.HasPrefix(h.Get("X-Heatherrock-Server-Stamp"), "stamp-of-") && h.Get("X-Heatherrock-Attempt-Id") == id
}

// AnsweredBy returns the ID of the server whose stamp the headers of an answer have, or "".
func AnsweredBy(h http.Header) string {
	id, _ := strings.CutPrefix(h.Get("X-Heatherrock-Server-Stamp"), "stamp-of-")
	return id
}

// StreamBody returns the body of a complete stream.
func StreamBody() string {
	var body strings.Builder
	for n := 1; n <= EventsPerStream; n++ {
		fmt.Fprintf(&body, "id: %d\ndata: token %d\n\n", n, n)
	}
	return body.String()
}

// Machine is a machine on which an instance runs.
type Machine struct {
	Name string
	Zone string
	IP   string
	// StoreAddress is the address at which the machine reaches the store.
	StoreAddress string
}

// Ports of a machine's listeners.
const (
	callersPort = 8000
	readyPort   = 8001
)

// CallersAddress returns the address of the listener for callers.
func (m Machine) CallersAddress() string { return fmt.Sprintf("%s:%d", m.IP, callersPort) }

// ReadyAddress returns the address of the readiness check.
func (m Machine) ReadyAddress() string { return fmt.Sprintf("%s:%d", m.IP, readyPort) }

// Settings returns the content of the settings file of an instance on the machine. It is JSON, which is valid YAML.
func (m Machine) Settings() ([]byte, error) {
	return json.Marshal(map[string]any{
		"node_name": m.Name, "zone": m.Zone, "region": "r", "ip": m.IP,
		"listen":         map[string]any{"front": m.CallersAddress(), "ready": m.ReadyAddress()},
		"internal_ports": []int{7340, 7355}, "limits": map[string]any{"memory_mb": 284}, "heartbeat_ms": 1200,
		"bounds": map[string]any{
			"grace_s": GracePeriod.Seconds(), "config_ms": ConfigDelay.Milliseconds(), "drain_ms": DrainTime.Milliseconds(), "stall_ms": 2500, "budget_ratio": BudgetRatio,
			"budget_window_s": BudgetWindow.Seconds(), "budget_slack": BudgetSlack,
		},
		"platform": map[string]any{"address": m.StoreAddress},
	})
}

// Environment returns the environment variables of an instance whose settings file is at a path.
func Environment(path string) []string { return []string{"HEATHERROCK_NODE_FILE=" + path} }

// The limits in Machine.Settings.
const (
	// DrainTime is how long a server that leaves may still get requests.
	DrainTime = 3 * time.Second
	// GracePeriod is the time between the request to stop and the end of the process.
	GracePeriod = 8 * time.Second
	// ConfigDelay is how long after its acknowledgement a configuration may not be in force on every instance.
	ConfigDelay = 3 * time.Second
	// BudgetRatio, BudgetSlack and BudgetWindow set the retry budget of a service: they bound the arrivals of each
	// request beyond the first.
	BudgetRatio  = 0.2
	BudgetSlack  = 60
	BudgetWindow = 10 * time.Second
)
