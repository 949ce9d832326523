package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/bench/presenter"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/serving/launcher"
)

const (
	// step is the time of a layer on the stand-ins' fastest engines.
	step = time.Millisecond
	// bound is the longest time that one command of a script may take.
	bound = time.Minute
)

// fleetKey is the key of a script's instance.
type fleetKey struct{}

// commands are the commands of the scripts besides those of testscript.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"heatherrock": command,
	"instance":    instance,
	"certify":     certify,
	"covered":     covered,
	"ask":         ask,
	"begin":       begin,
	"documented":  documented,
}

// command runs the program in this process: heatherrock EXIT COMMAND ARGUMENT... Names of the script's files are made
// absolute.
func command(ts *testscript.TestScript, _ bool, args []string) {
	line := append([]string{}, args[1:]...)
	for i, arg := range line {
		if file := ts.MkAbs(arg); arg != "" && isFile(file) {
			line[i] = file
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	s := launcher.Streams{Out: ts.Stdout(), Err: ts.Stderr()}
	exit := launcher.New(release, launcher.WithCommands(presenter.Command())).Run(ctx, s, line)
	if strconv.Itoa(exit) != args[0] {
		ts.Fatalf("exit code %d, want %s", exit, args[0])
	}
}

// isFile reports whether a file exists.
func isFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.Mode().IsRegular()
}

// instance starts an instance and its stand-ins, and sets OPERATORS to its operators' address: instance [CERT KEY
// CREDENTIAL].
func instance(ts *testscript.TestScript, _ bool, args []string) {
	change := func(*configurer.Settings) {}
	if len(args) == 3 {
		change = func(s *configurer.Settings) {
			s.Operators.Cert, s.Operators.Key, s.Credential = ts.MkAbs(args[0]), ts.MkAbs(args[1]), assembler.Hash(args[2])
		}
	}
	fleet, err := assembler.New(assembler.Mixed(1, step), 1, assembler.WithSettings(change))
	ts.Check(err)
	ts.Defer(fleet.Close)
	*ts.Value(fleetKey{}).(**assembler.Fleet) = fleet
	ts.Setenv("OPERATORS", fleet.Nodes[0].OperatorAddress())
}

// documented checks that a page of the documentation holds a file: documented PAGE FILE.
func documented(ts *testscript.TestScript, _ bool, args []string) {
	page, err := os.ReadFile("../../docs/" + args[0])
	ts.Check(err)
	if !strings.Contains(string(page), ts.ReadFile(args[1])) {
		ts.Fatalf("%s does not hold %s", args[0], args[1])
	}
}

// certify writes a certificate for the loopback, signed by itself, and its key: certify CERT KEY.
func certify(ts *testscript.TestScript, _ bool, args []string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: args[0]}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	ts.Check(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	ts.Check(err)
	for i, block := range []pem.Block{{Type: "CERTIFICATE", Bytes: cert}, {Type: "PRIVATE KEY", Bytes: private}} {
		ts.Check(os.WriteFile(ts.MkAbs(args[i]), pem.EncodeToMemory(&block), 0o600))
	}
}

// covered waits until the instance knows every engine and has a configuration in force.
func covered(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	fleet := *ts.Value(fleetKey{}).(**assembler.Fleet)
	epoch, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	ts.Check(fleet.Covered(ctx))
	ts.Check(fleet.InForce(ctx, epoch))
}

// ask sends a request and prints its status, code and text: ask TEAM PROMPT LIMIT.
func ask(ts *testscript.TestScript, _ bool, args []string) {
	fleet := *ts.Value(fleetKey{}).(**assembler.Fleet)
	limit, err := strconv.Atoi(args[2])
	ts.Check(err)
	c := assembler.NewCaller(args[0])
	defer c.Close()
	a, err := c.Complete(context.Background(), fleet.Nodes[0].CallerAddress(), assembler.Model, args[1], limit)
	ts.Check(err)
	_, err = ts.Stdout().Write([]byte(strconv.Itoa(a.Status) + " " + a.Code + a.Text + "\n"))
	ts.Check(err)
}

// begin sends a request and returns once its first token was delivered; the request ends with the script: begin TEAM
// PROMPT LIMIT.
func begin(ts *testscript.TestScript, _ bool, args []string) {
	fleet := *ts.Value(fleetKey{}).(**assembler.Fleet)
	limit, err := strconv.Atoi(args[2])
	ts.Check(err)
	c := assembler.NewCaller(args[0])
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = c.Complete(ctx, fleet.Nodes[0].CallerAddress(), assembler.Model, args[1], limit)
		c.Close()
	}()
	ts.Defer(func() {
		cancel()
		<-left
	})
	running := func() bool {
		attempts := fleet.Nodes[0].Router().State(time.Now()).Attempts
		return len(attempts) > 0 && attempts[0].Tokens > 0
	}
	wait, end := context.WithTimeout(ctx, bound)
	defer end()
	ts.Check(assembler.Until(wait, running))
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: commands,
		Setup: func(env *testscript.Env) error {
			env.Values[fleetKey{}] = new(*assembler.Fleet)
			return nil
		},
	})
}
