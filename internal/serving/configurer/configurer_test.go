package configurer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"flag"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// validFile is a file that gives every kind of setting.
const validFile = `{
	// Comments and trailing commas are allowed.
	"id": "a-1", "datacentre": "cardiff", "region": "wales",
	"callers": {"address": "127.0.0.1:9000"},
	"tables": "http://127.0.0.1:7000",
	"limits": {"body": 2048},
	"times": {"poll": "250ms"}, /* the rest has defaults */
}`

func TestCheck(t *testing.T) {
	cases := []struct {
		name    string
		content string
		want    []string
	}{
		{"complete", validFile, nil},
		{"unknown name and bad duration", "{\n  \"datacenter\": \"x\",\n  \"times\": {\"poll\": \"5\"}\n}", []string{
			`f:2:3: datacenter: unknown setting; did you mean "datacentre"?`,
			`f:3:21: times.poll: "5" is not a duration with a unit, as in 500ms, 2s or 5m`,
		}},
		{"unknown name in a group", `{"limits": {"boby": 1}}`, []string{
			`f:1:13: limits.boby: unknown setting; did you mean "limits.body"?`,
		}},
		{"unknown group", `{"tims": {"poll": "1s"}}`, []string{`f:1:2: tims: unknown setting; did you mean "times"?`}},
		{"nothing near", `{"zzzzzzzz": 1}`, []string{`f:1:2: zzzzzzzz: unknown setting`}},
		{"column in characters", `{"id": "é", "region": 1}`, []string{
			`f:1:8: id: "é" holds 'é': only letters, digits, dots, dashes and underscores are allowed`,
			`f:1:23: region: must be a string`,
		}},
		{"wrong kinds", `{"id": {}, "limits": 1, "times": {"poll": 5}, "log": {"level": null}}`, []string{
			`f:1:8: id: must be a string`,
			`f:1:22: limits: must be an object`,
			`f:1:43: times.poll: must be a string with a unit, as in "500ms", "2s" or "5m"`,
			`f:1:64: log.level: must be a string`,
		}},
		{"numbers", `{"limits": {"body": "1", "header": 1.5, "streams": 0, "queue": 1e3}}`, []string{
			`f:1:21: limits.body: must be a number of bytes`,
			`f:1:36: limits.header: "1.5" is not a whole number`,
			`f:1:52: limits.streams: 0 is not from 1 to 1048576`,
			`f:1:64: limits.queue: "1e3" is not a whole number`,
		}},
		{"durations", `{"times": {"poll": "0s", "gossip": "-1s", "list": ""}}`, []string{
			`f:1:20: times.poll: "0s" must be more than 0`,
			`f:1:36: times.gossip: "-1s" must be more than 0`,
			`f:1:51: times.list: "" is not a duration with a unit, as in 500ms, 2s or 5m`,
		}},
		{"texts", `{"tables": "7", "callers": {"address": "9"}, "credential": "abc", "log": {"level": "loud"}}`, []string{
			`f:1:12: tables: "7" is not a URL of http or https`,
			`f:1:40: callers.address: "9" is not a host and port, as in 127.0.0.1:8080`,
			`f:1:60: credential: is not a SHA-256 of 64 hexadecimal digits`,
			`f:1:84: log.level: "loud" is not one of debug, info, warn, error`,
		}},
		{"given twice", `{"id": "a", "id": "b"}`, []string{`f:1:13: id: is given twice`}},
		{"certificate without a key", `{"peers": {"cert": "c.pem"}}`, []string{`f:1:20: peers.cert: needs peers.key`}},
		{"progress beyond the request", `{"times": {"progress": "1m", "request": "30s"}}`, []string{
			`f:1:24: times.progress: is longer than times.request`,
		}},
		{"orders after the lease", `{"repairs": {"window": "5s", "loads": 0}}`, []string{
			`f:1:24: repairs.window: is not shorter than the lease, 5s`,
			`f:1:39: repairs.loads: 0 is not from 1 to 1024`,
		}},
		{"malformed", "{\n \"id\": \"a\"\n \"region\": 1}", []string{
			`f:3:2: invalid character '"' after object value (expecting ',' or '}')`,
		}},
		{"empty", "", []string{`f:1:1: parsing value: unexpected EOF`}},
		{"a list", "[]", []string{`f:1:1: settings are not an object`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, p := range Check("f", []byte(c.content)) {
				got = append(got, p.String())
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("problems mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestParse(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(validFile), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("HEATHERROCK_TIMES_LIST", "7s")
	args := []string{"-config", file, "-id", "a-2"}
	got, err := Parse(args, "HEATHERROCK_ID=a-3", "HEATHERROCK_REGION=south", "OTHER=1", "HEATHERROCK_TOKEN=x")
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.ID, want.DataCentre, want.Region = "a-2", "cardiff", "south"
	want.Callers.Address, want.TablesURL = "127.0.0.1:9000", "http://127.0.0.1:7000"
	want.Limits.BodyBytes, want.Times.PollInterval, want.Times.ListInterval = 2048, 250*time.Millisecond, 7*time.Second
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings mismatch (-want +got):\n%s", diff)
	}
}

func TestParseProblems(t *testing.T) {
	required := []string{"-id", "a", "-datacentre", "b", "-region", "c"}
	cases := []struct {
		name    string
		args    []string
		environ []string
		want    string
	}{
		{"nothing", nil, nil, "id: must be given\ndatacentre: must be given\nregion: must be given"},
		{"bad flags", append(required, "-times.poll", "5", "-limits.body", "x"), nil,
			"limits.body: \"x\" is not a whole number\ntimes.poll: \"5\" is not a duration with a unit, as in 500ms, 2s or 5m"},
		{"unknown variable", required, []string{"HEATHERROCK_TIMES_POL=1s"},
			`HEATHERROCK_TIMES_POL: unknown environment variable; did you mean "HEATHERROCK_TIMES_POLL"?`},
		{"bad variable", required, []string{"HEATHERROCK_TIMES_POLL=1"},
			`times.poll: "1" is not a duration with a unit, as in 500ms, 2s or 5m`},
		{"key without certificate", append(required, "-callers.key", "k"), nil, "callers.key: needs callers.cert"},
		{"argument", append(required, "serve"), nil, "unexpected argument serve"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(c.args, c.environ...)
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error %v is not Problems", err)
			}
			if diff := cmp.Diff(c.want, err.Error()); diff != "" {
				t.Errorf("error mismatch (-want +got):\n%s", diff)
			}
		})
	}
	if _, err := Parse([]string{"-h"}); !errors.Is(err, flag.ErrHelp) {
		t.Errorf("-h gives %v", err)
	}
	if _, err := Parse([]string{"-nosuch", "1"}); err == nil {
		t.Error("an unknown flag gives no error")
	}
}

func TestParseFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := write("cert.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})))
	keyFile := write("key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})))
	text := write("text.pem", "not a certificate")
	absent := filepath.Join(dir, "absent.pem")
	cases := []struct{ name, cert, key, ca, want string }{
		{"valid", cert, keyFile, cert, ""},
		{"no certificate", absent, keyFile, cert, "peers.cert: open " + absent + ": no such file or directory"},
		{"no key", cert, absent, cert, "peers.key: open " + absent + ": no such file or directory"},
		{"not a certificate", text, keyFile, cert, "peers.cert: " + text + " with " + keyFile +
			": tls: failed to find any PEM data in certificate input"},
		{"no authorities named", cert, keyFile, "", "peers.cert: needs peers.ca, as both ends present certificates"},
		{"no authority", cert, keyFile, text, "peers.ca: " + text + " holds no certificate in PEM"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]string{
				"-id", "a", "-datacentre", "b", "-region", "c", "-peers.cert", c.cert, "-peers.key", c.key, "-peers.ca", c.ca,
			})
			got := ""
			if err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("error mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestHelp(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Help()) {
		t.Errorf("docs/SETTINGS.md does not hold the table of settings:\n%s", Help())
	}
}

func FuzzCheck(f *testing.F) {
	seeds := []string{
		validFile, "", "[]", "{", "{}", "null", `{"id": 1}`, `{"times": {"poll": "5"}}`, `{"é": "\ud800"}`,
		`{"limits": {"body": 99999999999999999999}}`, "// only a comment", `{"callers": {"address": {}}}`, "\xff\xfe{}",
	}
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		problems := Check("f", content)
		lines := strings.Count(string(content), "\n") + 1
		for _, p := range problems {
			if p.Line < 1 || p.Line > lines || p.Column < 1 || p.Text == "" {
				t.Errorf("problem %+v of %d lines", p, lines)
			}
		}
		if len(problems) > 0 {
			return
		}
		seenNames := map[string]bool{}
		entries, _ := readEntries("f", content)
		for _, e := range entries {
			if seenNames[e.name] {
				t.Errorf("%s was read twice", e.name)
			}
			seenNames[e.name] = true
		}
	})
}
