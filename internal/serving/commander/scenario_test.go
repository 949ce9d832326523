package commander

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// fleetKey is the key under which a script's environment holds its fleet.
type fleetKey struct{}

// command is a command of the scripts.
type command func(ts *testscript.TestScript, f *fleet, args []string)

// commands are the commands of the scripts besides those of testscript.
var commands = map[string]command{
	// record EXIT INSTANCE COMMAND ARGUMENTS runs a record command against an instance.
	"record": func(ts *testscript.TestScript, f *fleet, args []string) {
		line := append([]string{"record", args[2], "-address", f.instances[args[1]].url, "-operator", "ann"}, args[3:]...)
		for i, arg := range line {
			if strings.HasSuffix(arg, ".json") {
				line[i] = ts.MkAbs(arg)
			}
		}
		exit := Run(context.Background(), line, ts.Stdout(), ts.Stderr())
		if strconv.Itoa(exit) != args[0] {
			ts.Fatalf("exit code %d, want %s", exit, args[0])
		}
	},
	// commit FAULT makes the next commit fail in the given way.
	"commit": func(ts *testscript.TestScript, f *fleet, args []string) {
		const hour = 3_600_000
		fault := faulter.Fault{CallPrefix: tabler.CallCommit, Kind: faulter.Kind(args[0]), MaxHits: 1, DelayMillis: hour}
		ts.Check(f.faults.AddFaults(fault))
	},
	// store down|up makes the table service unreachable or reachable again.
	"store": func(ts *testscript.TestScript, f *fleet, args []string) {
		if args[0] == "up" {
			f.faults.Clear()
			return
		}
		ts.Check(f.faults.AddFaults(faulter.Fault{Kind: faulter.Crash}))
	},
	// land applies the writes that were delayed.
	"land": func(ts *testscript.TestScript, f *fleet, _ []string) {
		ts.Logf("%d late writes", f.table.ApplyLateWrites())
	},
	// join INSTANCE [SCHEMA] adds an instance that can read models up to a schema version.
	"join": func(ts *testscript.TestScript, f *fleet, args []string) {
		schema := 2
		if len(args) > 1 {
			schema, _ = strconv.Atoi(args[1])
		}
		f.join(args[0], schema)
	},
	// leave INSTANCE removes an instance from the fleet.
	"leave": func(_ *testscript.TestScript, f *fleet, args []string) {
		f.mesh.leave(args[0])
		delete(f.instances, args[0])
	},
	// cut INSTANCE and heal INSTANCE cut an instance off from its peers and connect it again.
	"cut":  func(_ *testscript.TestScript, f *fleet, args []string) { f.instances[args[0]].node.setCut(true) },
	"heal": func(_ *testscript.TestScript, f *fleet, args []string) { f.instances[args[0]].node.setCut(false) },
	// round makes every instance read the configuration's head.
	"round": func(_ *testscript.TestScript, f *fleet, _ []string) { f.round() },
	// pass DURATION moves the clock forward.
	"pass": func(ts *testscript.TestScript, f *fleet, args []string) {
		d, err := time.ParseDuration(args[0])
		ts.Check(err)
		f.advance(d)
	},
	// ready INSTANCE prints "ready" or why an instance is not ready, and whether it admits requests.
	"ready": func(ts *testscript.TestScript, f *fleet, args []string) {
		i := f.instances[args[0]]
		reason := i.NotReadyReason(f.clock())
		if reason == "" {
			reason = "ready"
		}
		_, err := ts.Stdout().Write([]byte(reason + ", admits " + strconv.FormatBool(i.Admits(f.clock())) + "\n"))
		ts.Check(err)
	},
	// admit INSTANCE admits a request, and request INSTANCE prints the model versions of that request and of a new one.
	"admit": func(_ *testscript.TestScript, f *fleet, args []string) {
		f.instances[args[0]].admittedView = f.instances[args[0]].View()
	},
	"request": func(ts *testscript.TestScript, f *fleet, args []string) {
		i := f.instances[args[0]]
		old, _ := i.admittedView.SelectVersion("chat", "k")
		now, _ := i.View().SelectVersion("chat", "k")
		_, err := ts.Stdout().Write([]byte("in flight: " + old + ", new: " + now + "\n"))
		ts.Check(err)
	},
}

// setCut cuts the node off from the mesh or connects it again.
func (n *node) setCut(cut bool) {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	n.cut = cut
}

// leave removes a node. The entries that it published stay.
func (m *mesh) leave(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var nodes []*node
	for _, n := range m.nodes {
		if n.id != id {
			nodes = append(nodes, n)
		}
	}
	m.nodes = nodes
}

func TestScenarios(t *testing.T) {
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range commands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			c(ts, ts.Value(fleetKey{}).(*fleet), args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			f := newFleet(t)
			for _, id := range []string{"a", "b", "c"} {
				f.join(id, 2)
			}
			f.round()
			env.Values[fleetKey{}] = f
			return nil
		},
		Cmds: cmds,
	})
}
