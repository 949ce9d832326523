package configurer

import (
	"fmt"
	"strings"
	"time"
)

// prefix begins the name of each environment variable.
const prefix = "HEATHERROCK"

// Setting is one entry of the table of settings.
type Setting struct {
	// Name is the path of the setting in the file, with dots, and the name of its flag.
	Name    string
	Default string
	// Unit is the unit of a number, or what a text is.
	Unit string
	Help string
	// Required is set if the setting must be given.
	Required bool

	number bool
	set    func(s *Settings, text string) error
}

// Environment returns the name of the setting's environment variable.
func (n Setting) Environment() string {
	return prefix + "_" + strings.ToUpper(strings.ReplaceAll(n.Name, ".", "_"))
}

// The units of the settings.
const (
	unitDuration = "duration"
	unitBytes    = "bytes"
	unitRequests = "requests"
	unitLayers   = "layers a second"
	unitLoads    = "loads"
	unitAddress  = "host:port"
	unitURL      = "URL"
	unitFile     = "file"
	unitName     = "name"
	unitHash     = "SHA-256"
)

// Table returns the table of settings, in the order of the documentation.
func Table() []Setting {
	table := []Setting{
		name("id", "", func(s *Settings) *string { return &s.ID }, "Names the instance."),
		name("datacentre", "", func(s *Settings) *string { return &s.DataCentre }, "Data centre that the instance is in."),
		name("region", "", func(s *Settings) *string { return &s.Region }, "Region that the data centre is in."),
	}
	callers := func(s *Settings) *Listener { return &s.Callers }
	operators := func(s *Settings) *Listener { return &s.Operators }
	peers := func(s *Settings) *Listener { return &s.Peers }
	table = append(table, listener("callers", ":8080", "callers", callers)...)
	table = append(table, listener("operators", ":8081", "operators", operators)...)
	table = append(table, listener("peers", ":8082", "other instances", peers)...)
	advertise := func(s *Settings) *string { return &s.Advertise }
	table = append(table, text("peers.advertise", "", unitAddress, advertise, isOptionalAddress,
		"Address at which other instances reach the peers' listener. Empty means the listener's own."))
	table = append(table, services()...)
	table = append(table, limits()...)
	table = append(table, times()...)
	return append(table, repairs()...)
}

// listener returns the settings of one listener.
func listener(group, address, whom string, of func(*Settings) *Listener) []Setting {
	file := func(n string, field func(*Listener) *string, help string) Setting {
		return text(group+"."+n, "", unitFile, func(s *Settings) *string { return field(of(s)) }, anyText, help)
	}
	return []Setting{
		text(group+".address", address, unitAddress, func(s *Settings) *string { return &of(s).Address }, isAddress,
			"Address to listen on for "+whom+"."),
		file("cert", func(l *Listener) *string { return &l.Cert },
			"Certificate in PEM that is shown to "+whom+". TLS is off if it is empty."),
		file("key", func(l *Listener) *string { return &l.Key }, "Private key of the certificate, in PEM."),
		file("ca", func(l *Listener) *string { return &l.CA },
			"Authorities in PEM that the other end's certificate must come from. None is asked for if it is empty."),
	}
}

// services returns the settings of the platform's services, of the operators' credential and of the log.
func services() []Setting {
	service := func(n string, field func(*Settings) *string, help string) Setting {
		return text(n, "", unitURL, field, isURL, help)
	}
	return []Setting{
		service("tables", func(s *Settings) *string { return &s.Tables }, "Base URL of the platform's table service."),
		service("objects", func(s *Settings) *string { return &s.Objects }, "Base URL of the platform's object store."),
		service("instances", func(s *Settings) *string { return &s.Instances }, "Base URL of the platform's instance list."),
		service("weights", func(s *Settings) *string { return &s.Weights }, "Base URL of the platform's weight store."),
		text("credential", "", unitHash, func(s *Settings) *string { return &s.Credential }, isHash,
			"SHA-256 of the operators' bearer token, in hexadecimal. None is asked for if it is empty."),
		text("log.format", "text", unitName, func(s *Settings) *string { return &s.Log.Format }, oneOf("text", "json"),
			"Format of the log: text or json."),
		text("log.level", "info", unitName, func(s *Settings) *string { return &s.Log.Level },
			oneOf("debug", "info", "warn", "error"), "Lowest level that is logged: debug, info, warn or error."),
	}
}

// limits returns the bounds on what callers may ask.
func limits() []Setting {
	return []Setting{
		number("limits.body", 1<<20, 1<<10, 1<<30, unitBytes, func(s *Settings, n int64) { s.Limits.Body = n },
			"Largest body of a request."),
		number("limits.header", 16<<10, 1<<10, 1<<20, unitBytes, func(s *Settings, n int64) { s.Limits.Header = int(n) },
			"Largest headers of a request, together."),
		number("limits.streams", 4096, 1, 1<<20, unitRequests, func(s *Settings, n int64) { s.Limits.Streams = int(n) },
			"Requests that run at once."),
		number("limits.queue", 1024, 1, 1<<20, unitRequests, func(s *Settings, n int64) { s.Limits.Queue = int(n) },
			"Requests that wait."),
	}
}

// times returns the intervals and timeouts.
func times() []Setting {
	return []Setting{
		duration("times.poll", "1s", func(s *Settings) *time.Duration { return &s.Times.Poll },
			"Time between reads of the configuration's head."),
		duration("times.gossip", "1s", func(s *Settings) *time.Duration { return &s.Times.Gossip },
			"Time between exchanges with peers."),
		duration("times.list", "1s", func(s *Settings) *time.Duration { return &s.Times.List },
			"Time between reads of the platform's instance list."),
		duration("times.report", "500ms", func(s *Settings) *time.Duration { return &s.Times.Report },
			"Time between reads of an endpoint's load."),
		duration("times.progress", "2s", func(s *Settings) *time.Duration { return &s.Times.Progress },
			"Longest wait for a step of an answer."),
		duration("times.request", "5m", func(s *Settings) *time.Duration { return &s.Times.Request },
			"Longest time from the arrival of a request to its end."),
		duration("times.header", "5s", func(s *Settings) *time.Duration { return &s.Times.Header },
			"Longest wait for the headers of a request."),
		duration("times.body", "30s", func(s *Settings) *time.Duration { return &s.Times.Body },
			"Longest wait for the body of a request."),
		duration("times.write", "10s", func(s *Settings) *time.Duration { return &s.Times.Write },
			"Longest wait for a caller to take a part of an answer."),
		duration("times.idle", "2m", func(s *Settings) *time.Duration { return &s.Times.Idle },
			"Longest wait for the next request on a connection."),
		duration("times.reload", "10s", func(s *Settings) *time.Duration { return &s.Times.Reload },
			"Time between looks at the certificate files."),
		duration("times.notice", "5s", func(s *Settings) *time.Duration { return &s.Times.Notice },
			"Time that a leaving instance serves after it fails readiness, for the balancer to see it."),
		duration("times.drain", "5m", func(s *Settings) *time.Duration { return &s.Times.Drain },
			"Longest wait for requests in flight on shutdown."),
		duration("times.stale", "30s", func(s *Settings) *time.Duration { return &s.Times.Stale },
			"Time that an instance admits requests while it can reach neither the table service nor a peer."),
	}
}

// repairs returns the bounds on the repairs of missing layer ranges.
func repairs() []Setting {
	return []Setting{
		number("repairs.layers", 4, 1, 1<<20, unitLayers, func(s *Settings, n int64) { s.Repairs.Layers = int(n) },
			"Layers that the repairs of a region ask of the weight store."),
		number("repairs.loads", 4, 1, 1<<10, unitLoads, func(s *Settings, n int64) { s.Repairs.Loads = int(n) },
			"Loads of layers that run at once in a region."),
		duration("repairs.grace", "3s", func(s *Settings) *time.Duration { return &s.Repairs.Grace },
			"Time that layers must be missing before a spare loads them."),
		duration("repairs.window", "4s", func(s *Settings) *time.Duration { return &s.Repairs.Window },
			"Time after a write of the lease in which its holder starts orders. Shorter than the lease, 5s."),
	}
}

// name returns a required setting that names something.
func name(n, value string, field func(*Settings) *string, help string) Setting {
	s := text(n, value, unitName, field, isName, help)
	s.Required = true
	return s
}

// text returns a setting that is a text.
func text(name, value, unit string, field func(*Settings) *string, check func(string) error, help string) Setting {
	set := func(s *Settings, text string) error {
		if err := check(text); err != nil {
			return err
		}
		*field(s) = text
		return nil
	}
	return Setting{Name: name, Default: value, Unit: unit, Help: help, set: set}
}

// duration returns a setting that is a positive time with its unit.
func duration(name, value string, field func(*Settings) *time.Duration, help string) Setting {
	set := func(s *Settings, text string) error {
		d, err := readDuration(text)
		if err != nil {
			return err
		}
		*field(s) = d
		return nil
	}
	return Setting{Name: name, Default: value, Unit: unitDuration, Help: help, set: set}
}

// number returns a setting that is a whole number within bounds.
func number(name string, value, low, high int64, unit string, put func(*Settings, int64), help string) Setting {
	set := func(s *Settings, text string) error {
		n, err := readNumber(text, low, high)
		if err != nil {
			return err
		}
		put(s, n)
		return nil
	}
	return Setting{Name: name, Default: fmt.Sprint(value), Unit: unit, Help: help, number: true, set: set}
}

// Default returns the settings that hold where nothing is given.
func Default() Settings {
	var s Settings
	for _, n := range Table() {
		if n.Default == "" {
			continue
		}
		if err := n.set(&s, n.Default); err != nil {
			panic(n.Name + ": " + err.Error())
		}
	}
	return s
}

// Help returns the table of settings in Markdown.
func Help() string {
	var b strings.Builder
	b.WriteString("| Name and flag | Environment | Default | Unit | Meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, n := range Table() {
		value := "`" + n.Default + "`"
		if n.Required {
			value = "required"
		} else if n.Default == "" {
			value = "empty"
		}
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s |\n", n.Name, n.Environment(), value, n.Unit, n.Help)
	}
	return b.String()
}
