package configurer

import (
	"fmt"
	"strings"
	"time"
)

// envPrefix begins the name of each environment variable.
const envPrefix = "HEATHERROCK"

// Setting is one entry of the table of settings.
type Setting struct {
	// Name is the path of the setting in the file, with dots, and the name of its flag.
	Name    string
	Default string
	// Unit is the unit of a number, or the kind of a text, such as URL.
	Unit string
	Help string
	// Required reports whether the setting must be given.
	Required bool

	isNumber bool
	set      func(s *Settings, text string) error
}

// EnvVar returns the name of the setting's environment variable.
func (s Setting) EnvVar() string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(s.Name, ".", "_"))
}

// The units of the settings.
const (
	unitDuration    = "duration"
	unitBytes       = "bytes"
	unitRequests    = "requests"
	unitLines       = "lines"
	unitDescriptors = "files"
	unitLayers      = "layers a second"
	unitLoads       = "loads"
	unitAddress     = "host:port"
	unitURL         = "URL"
	unitFile        = "file"
	unitName        = "name"
	unitHash        = "SHA-256"
)

// Table returns the table of settings, in the order of the documentation.
func Table() []Setting {
	table := []Setting{
		nameSetting("id", "", func(s *Settings) *string { return &s.ID }, "Names the instance."),
		nameSetting("datacentre", "", func(s *Settings) *string { return &s.DataCentre }, "Data centre that the instance is in."),
		nameSetting("region", "", func(s *Settings) *string { return &s.Region }, "Region that the data centre is in."),
	}
	callers := func(s *Settings) *Listener { return &s.Callers }
	operators := func(s *Settings) *Listener { return &s.Operators }
	peers := func(s *Settings) *Listener { return &s.Peers }
	table = append(table, listenerSettings("callers", ":8080", "callers", callers)...)
	table = append(table, listenerSettings("operators", ":8081", "operators", operators)...)
	table = append(table, listenerSettings("peers", ":8082", "other instances", peers)...)
	advertise := func(s *Settings) *string { return &s.AdvertiseAddress }
	table = append(table, textSetting("peers.advertise", "", unitAddress, advertise, checkOptionalAddress,
		"Address at which other instances reach the peers' listener. Empty means the listener's own."))
	table = append(table, serviceSettings()...)
	table = append(table, limitSettings()...)
	table = append(table, timeSettings()...)
	return append(table, repairSettings()...)
}

// listenerSettings returns the settings of one listener. The help texts name those who connect to it by clients.
func listenerSettings(group, address, clients string, listenerOf func(*Settings) *Listener) []Setting {
	file := func(n string, field func(*Listener) *string, help string) Setting {
		return textSetting(group+"."+n, "", unitFile, func(s *Settings) *string { return field(listenerOf(s)) }, acceptAny, help)
	}
	return []Setting{
		textSetting(group+".address", address, unitAddress, func(s *Settings) *string { return &listenerOf(s).Address }, checkAddress,
			"Address to listen on for "+clients+"."),
		file("cert", func(l *Listener) *string { return &l.Cert },
			"Certificate in PEM that is shown to "+clients+". TLS is off if it is empty."),
		file("key", func(l *Listener) *string { return &l.Key }, "Private key of the certificate, in PEM."),
		file("ca", func(l *Listener) *string { return &l.CA },
			"Authorities in PEM that the other end's certificate must come from. None is asked for if it is empty."),
	}
}

// serviceSettings returns the settings of the platform's services, of the operators' credential and of the log.
func serviceSettings() []Setting {
	service := func(n string, field func(*Settings) *string, help string) Setting {
		return textSetting(n, "", unitURL, field, checkURL, help)
	}
	return []Setting{
		service("tables", func(s *Settings) *string { return &s.TablesURL }, "Base URL of the platform's table service."),
		service("objects", func(s *Settings) *string { return &s.ObjectsURL }, "Base URL of the platform's object store."),
		service("instances", func(s *Settings) *string { return &s.InstancesURL }, "Base URL of the platform's instance list."),
		service("weights", func(s *Settings) *string { return &s.WeightsURL }, "Base URL of the platform's weight store."),
		textSetting("credential", "", unitHash, func(s *Settings) *string { return &s.CredentialHash }, checkHash,
			"SHA-256 of the operators' bearer token, in hexadecimal. None is asked for if it is empty."),
		textSetting("log.format", "text", unitName, func(s *Settings) *string { return &s.Log.Format }, checkOneOf("text", "json"),
			"Format of the log: text or json."),
		textSetting("log.level", "info", unitName, func(s *Settings) *string { return &s.Log.Level },
			checkOneOf("debug", "info", "warn", "error"), "Lowest level that is logged: debug, info, warn or error."),
	}
}

// limitSettings returns the settings that bound the requests of callers.
func limitSettings() []Setting {
	return []Setting{
		numberSetting("limits.body", 1<<20, 1<<10, 1<<30, unitBytes, func(s *Settings, n int64) { s.Limits.BodyBytes = n },
			"Largest body of a request."),
		numberSetting("limits.header", 16<<10, 1<<10, 1<<20, unitBytes, func(s *Settings, n int64) { s.Limits.HeaderBytes = int(n) },
			"Largest headers of a request, together."),
		numberSetting("limits.lines", 22_000, 16, 1<<20, unitLines, func(s *Settings, n int64) { s.Limits.HeaderLines = int(n) },
			"Most header lines of a request, with its trailers. A request within 65,536 bytes does not reach the default."),
		numberSetting("limits.memory", 0, 0, 1<<40, unitBytes, func(s *Settings, n int64) { s.Limits.MemoryBytes = n },
			"Memory of the machine, which bounds connections and what they hold. 0 means unknown: bounds as for 1 GiB."),
		numberSetting("limits.descriptors", 0, 0, 1<<20, unitDescriptors, func(s *Settings, n int64) { s.Limits.Descriptors = int(n) },
			"Open files that the process may have, which bounds connections. 0 means unknown: bounds as for 16,384."),
		numberSetting("limits.streams", 4096, 1, 1<<20, unitRequests, func(s *Settings, n int64) { s.Limits.ConcurrentRequests = int(n) },
			"Requests that run at once."),
		numberSetting("limits.queue", 1024, 1, 1<<20, unitRequests, func(s *Settings, n int64) { s.Limits.QueuedRequests = int(n) },
			"Requests that wait."),
	}
}

// timeSettings returns the settings of intervals and timeouts.
func timeSettings() []Setting {
	return []Setting{
		durationSetting("times.poll", "1s", func(s *Settings) *time.Duration { return &s.Times.PollInterval },
			"Time between reads of the configuration's head."),
		durationSetting("times.gossip", "1s", func(s *Settings) *time.Duration { return &s.Times.GossipInterval },
			"Time between exchanges with peers."),
		durationSetting("times.list", "1s", func(s *Settings) *time.Duration { return &s.Times.ListInterval },
			"Time between reads of the platform's instance list."),
		durationSetting("times.report", "500ms", func(s *Settings) *time.Duration { return &s.Times.LoadReadInterval },
			"Time between reads of an endpoint's load."),
		durationSetting("times.progress", "2s", func(s *Settings) *time.Duration { return &s.Times.ProgressTimeout },
			"Longest wait for a step of an answer."),
		durationSetting("times.request", "5m", func(s *Settings) *time.Duration { return &s.Times.RequestTimeout },
			"Longest time from the arrival of a request to its end."),
		durationSetting("times.header", "5s", func(s *Settings) *time.Duration { return &s.Times.HeaderTimeout },
			"Longest wait for the headers of a request."),
		durationSetting("times.body", "30s", func(s *Settings) *time.Duration { return &s.Times.BodyTimeout },
			"Longest wait for the body of a request."),
		durationSetting("times.write", "10s", func(s *Settings) *time.Duration { return &s.Times.WriteTimeout },
			"Longest wait for a caller to take a part of an answer."),
		durationSetting("times.idle", "2m", func(s *Settings) *time.Duration { return &s.Times.ConnectionIdleTimeout },
			"Longest wait for the next request on a connection."),
		durationSetting("times.reload", "10s", func(s *Settings) *time.Duration { return &s.Times.ReloadInterval },
			"Time between looks at the certificate files."),
		durationSetting("times.notice", "5s", func(s *Settings) *time.Duration { return &s.Times.NoticePeriod },
			"Time that a leaving instance serves after it fails readiness, for the balancer to see it."),
		durationSetting("times.drain", "5m", func(s *Settings) *time.Duration { return &s.Times.DrainTimeout },
			"Longest wait for requests in flight on shutdown."),
		durationSetting("times.stale", "30s", func(s *Settings) *time.Duration { return &s.Times.MaxStaleness },
			"Time that an instance admits requests while it can reach neither the table service nor a peer."),
	}
}

// repairSettings returns the settings that bound the repairs of missing layer ranges.
func repairSettings() []Setting {
	return []Setting{
		numberSetting("repairs.layers", 4, 1, 1<<20, unitLayers, func(s *Settings, n int64) { s.Repairs.LayersPerSecond = int(n) },
			"Layers that the repairs of a region ask of the weight store."),
		numberSetting("repairs.loads", 4, 1, 1<<10, unitLoads, func(s *Settings, n int64) { s.Repairs.ConcurrentLoads = int(n) },
			"Loads of layers that run at once in a region."),
		durationSetting("repairs.grace", "3s", func(s *Settings) *time.Duration { return &s.Repairs.GracePeriod },
			"Time that layers must be missing before a spare loads them."),
		durationSetting("repairs.window", "4s", func(s *Settings) *time.Duration { return &s.Repairs.OrderWindow },
			"Time after a write of the lease in which its holder starts orders. Shorter than the lease, 5s."),
	}
}

// nameSetting returns a required setting whose value is a name.
func nameSetting(n, value string, field func(*Settings) *string, help string) Setting {
	s := textSetting(n, value, unitName, field, checkName, help)
	s.Required = true
	return s
}

// textSetting returns a setting whose value is a text that check accepts.
func textSetting(name, value, unit string, field func(*Settings) *string, check func(string) error, help string) Setting {
	set := func(s *Settings, text string) error {
		if err := check(text); err != nil {
			return err
		}
		*field(s) = text
		return nil
	}
	return Setting{Name: name, Default: value, Unit: unit, Help: help, set: set}
}

// durationSetting returns a setting whose value is a positive duration with its unit.
func durationSetting(name, value string, field func(*Settings) *time.Duration, help string) Setting {
	set := func(s *Settings, text string) error {
		d, err := parseDuration(text)
		if err != nil {
			return err
		}
		*field(s) = d
		return nil
	}
	return Setting{Name: name, Default: value, Unit: unitDuration, Help: help, set: set}
}

// numberSetting returns a setting whose value is a whole number from low to high.
func numberSetting(name string, value, low, high int64, unit string, assign func(*Settings, int64), help string) Setting {
	set := func(s *Settings, text string) error {
		n, err := parseNumber(text, low, high)
		if err != nil {
			return err
		}
		assign(s, n)
		return nil
	}
	return Setting{Name: name, Default: fmt.Sprint(value), Unit: unit, Help: help, isNumber: true, set: set}
}

// Default returns the default values of all settings.
func Default() Settings {
	var s Settings
	for _, setting := range Table() {
		if setting.Default == "" {
			continue
		}
		if err := setting.set(&s, setting.Default); err != nil {
			panic(setting.Name + ": " + err.Error())
		}
	}
	return s
}

// Help returns the table of settings in Markdown.
func Help() string {
	var b strings.Builder
	b.WriteString("| Name and flag | Environment | Default | Unit | Meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range Table() {
		value := "`" + s.Default + "`"
		if s.Required {
			value = "required"
		} else if s.Default == "" {
			value = "empty"
		}
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s |\n", s.Name, s.EnvVar(), value, s.Unit, s.Help)
	}
	return b.String()
}
