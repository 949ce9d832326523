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
	// layerTime is the time that the fastest stand-in engines take for one layer.
	layerTime = time.Millisecond
	// commandTimeout bounds the time of one command of a script.
	commandTimeout = time.Minute
)

// fleetKey is the key of a script's fleet in the environment's values.
type fleetKey struct{}

// commands are the commands of the scripts in addition to those of testscript.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"heatherrock": runProgram,
	"instance":    startInstance,
	"certify":     writeCertificate,
	"covered":     waitCovered,
	"ask":         sendRequest,
	"begin":       beginRequest,
	"documented":  checkDocumented,
}

// runProgram runs the program in this process and checks its exit code: heatherrock EXIT COMMAND ARGUMENT... Arguments
// that name files of the script are made absolute.
func runProgram(ts *testscript.TestScript, _ bool, args []string) {
	commandLine := append([]string{}, args[1:]...)
	for i, arg := range commandLine {
		if file := ts.MkAbs(arg); arg != "" && isFile(file) {
			commandLine[i] = file
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	s := launcher.Streams{Out: ts.Stdout(), Err: ts.Stderr()}
	exit := launcher.New(release, launcher.WithCommands(presenter.Command())).Run(ctx, s, commandLine)
	if strconv.Itoa(exit) != args[0] {
		ts.Fatalf("exit code %d, want %s", exit, args[0])
	}
}

// isFile reports whether a regular file exists.
func isFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.Mode().IsRegular()
}

// startInstance starts an instance and its stand-ins, and sets OPERATORS to the instance's address for operators:
// instance [CERT KEY CREDENTIAL].
func startInstance(ts *testscript.TestScript, _ bool, args []string) {
	configure := func(*configurer.Settings) {}
	if len(args) == 3 {
		configure = func(s *configurer.Settings) {
			s.Operators.Cert, s.Operators.Key, s.CredentialHash = ts.MkAbs(args[0]), ts.MkAbs(args[1]), assembler.HashCredential(args[2])
		}
	}
	fleet, err := assembler.New(assembler.MixedFleet(1, layerTime), 1, assembler.WithSettings(configure))
	ts.Check(err)
	ts.Defer(fleet.Close)
	*ts.Value(fleetKey{}).(**assembler.Fleet) = fleet
	ts.Setenv("OPERATORS", fleet.Nodes[0].OperatorAddress())
}

// checkDocumented checks that a page of the documentation contains the content of a file: documented PAGE FILE.
func checkDocumented(ts *testscript.TestScript, _ bool, args []string) {
	page, err := os.ReadFile("../../docs/" + args[0])
	ts.Check(err)
	if !strings.Contains(string(page), ts.ReadFile(args[1])) {
		ts.Fatalf("%s does not hold %s", args[0], args[1])
	}
}

// writeCertificate writes a self-signed certificate for the loopback address and its key: certify CERT KEY.
func writeCertificate(ts *testscript.TestScript, _ bool, args []string) {
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

// waitCovered waits until the instance has discovered every engine and has activated the configuration of an epoch:
// covered EPOCH.
func waitCovered(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	fleet := *ts.Value(fleetKey{}).(**assembler.Fleet)
	epoch, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	ts.Check(fleet.WaitForEngines(ctx))
	ts.Check(fleet.WaitForEpoch(ctx, epoch))
}

// sendRequest sends a request and prints the response's status, code and text: ask TEAM PROMPT LIMIT.
func sendRequest(ts *testscript.TestScript, _ bool, args []string) {
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

// beginRequest sends a request and returns once its first token was delivered; the request is cancelled at the end of
// the script: begin TEAM PROMPT LIMIT.
func beginRequest(ts *testscript.TestScript, _ bool, args []string) {
	fleet := *ts.Value(fleetKey{}).(**assembler.Fleet)
	limit, err := strconv.Atoi(args[2])
	ts.Check(err)
	c := assembler.NewCaller(args[0])
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Complete(ctx, fleet.Nodes[0].CallerAddress(), assembler.Model, args[1], limit)
		c.Close()
	}()
	ts.Defer(func() {
		cancel()
		<-done
	})
	running := func() bool {
		attempts := fleet.Nodes[0].Router().State(time.Now()).Attempts
		return len(attempts) > 0 && attempts[0].Tokens > 0
	}
	waitCtx, cancelWait := context.WithTimeout(ctx, commandTimeout)
	defer cancelWait()
	ts.Check(assembler.WaitUntil(waitCtx, running))
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
