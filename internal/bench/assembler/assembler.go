// Package assembler runs instances of heatherrock in one process, together with stand-ins for all external services.
package assembler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/serving/commander"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/serving/runner"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

// pollInterval is the interval at which a condition is checked.
const pollInterval = 5 * time.Millisecond

// Fleet is a number of instances that share one set of stand-ins.
type Fleet struct {
	Standins *starter.Starter
	// Nodes are the instances, the oldest first. Use LiveNodes to read them while instances join and leave.
	Nodes []*runner.Runner

	mu              sync.Mutex
	times           configurer.Times
	limits          configurer.Limits
	dataCentre      string
	region          string
	logger          *slog.Logger
	runnerOptions   []runner.Option
	settingsChanges []func(*configurer.Settings)
	standinChanges  []func(*starter.Fleet)
	startedCount    int
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithTimes changes the instances' time settings.
func WithTimes(change func(*configurer.Times)) Option {
	return func(f *Fleet) { change(&f.times) }
}

// WithLogger sets the instances' logger. By default nothing is logged.
func WithLogger(l *slog.Logger) Option { return func(f *Fleet) { f.logger = l } }

// WithStandins changes the description of the stand-ins.
func WithStandins(change func(*starter.Fleet)) Option {
	return func(f *Fleet) { f.standinChanges = append(f.standinChanges, change) }
}

// WithRunnerOptions adds options of the instances.
func WithRunnerOptions(options ...runner.Option) Option {
	return func(f *Fleet) { f.runnerOptions = append(f.runnerOptions, options...) }
}

// WithSettings changes the settings of each instance that joins.
func WithSettings(change func(*configurer.Settings)) Option {
	return func(f *Fleet) { f.settingsChanges = append(f.settingsChanges, change) }
}

// WithLocation sets the data centre and region of the instances.
func WithLocation(dataCentre, region string) Option {
	return func(f *Fleet) { f.dataCentre, f.region = dataCentre, region }
}

// New starts the stand-ins of a fleet and a number of instances. If it returns an error, nothing is left running.
func New(description starter.Fleet, nodes int, options ...Option) (*Fleet, error) {
	f := &Fleet{
		dataCentre: "a",
		region:     "r",
		logger:     slog.New(slog.DiscardHandler),
		limits:     configurer.Default().Limits,
		times:      configurer.Default().Times,
	}
	f.times.PollInterval = 200 * time.Millisecond
	f.times.GossipInterval = 100 * time.Millisecond
	f.times.ListInterval = 100 * time.Millisecond
	f.times.LoadReadInterval = 100 * time.Millisecond
	f.times.NoticePeriod = 300 * time.Millisecond
	for _, o := range options {
		o(f)
	}
	for _, change := range f.standinChanges {
		change(&description)
	}
	standins, err := starter.Start(description)
	if err != nil {
		return nil, err
	}
	f.Standins = standins
	for range nodes {
		if _, err := f.Join(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Join starts another instance and adds it to the instance list.
func (f *Fleet) Join() (*runner.Runner, error) {
	f.startedCount++
	free := configurer.Listener{Address: "127.0.0.1:0"}
	settings := configurer.Settings{
		ID:           fmt.Sprintf("entry-%d", f.startedCount),
		DataCentre:   f.dataCentre,
		Region:       f.region,
		Callers:      free,
		Operators:    free,
		Peers:        free,
		TablesURL:    f.Standins.URL(starter.NameTables),
		ObjectsURL:   f.Standins.URL(starter.NameObjects),
		InstancesURL: f.Standins.URL(starter.NameInstances),
		WeightsURL:   f.Standins.URL(starter.NameWeights),
		Limits:       f.limits,
		Times:        f.times,
	}
	for _, change := range f.settingsChanges {
		change(&settings)
	}
	r := runner.New(settings, runner.NewPlatform(settings), append(f.runnerOptions, runner.WithLog(f.logger))...)
	if err := r.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.Nodes = append(f.Nodes, r)
	f.mu.Unlock()
	f.Standins.List.Put(lister.Instance{
		ID: settings.ID, Role: lister.RoleEntry, Address: r.PeerAddress(), DataCentre: f.dataCentre, Region: f.region,
	})
	return r, nil
}

// DrainFirst marks the oldest instance as leaving, drains it and removes it from the list. It returns the number of
// requests cut off.
func (f *Fleet) DrainFirst(ctx context.Context) int {
	f.mu.Lock()
	first := f.Nodes[0]
	f.Nodes = slices.Clone(f.Nodes[1:])
	f.mu.Unlock()
	f.Standins.List.MarkLeaving(first.ID())
	cut := first.Drain(ctx)
	f.Standins.List.Remove(first.ID())
	return cut
}

// LiveNodes returns the instances that were not drained.
func (f *Fleet) LiveNodes() []*runner.Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Nodes
}

// Close stops the instances and the stand-ins.
func (f *Fleet) Close() {
	for _, r := range f.Nodes {
		r.Close()
	}
	f.Standins.Close()
}

// WaitUntil polls a condition until it holds. It returns the context's error if the context ends first.
func WaitUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "condition does not hold yet")
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Accept submits and accepts records through the first instance's operator interface and waits until they are in force
// on every instance. It returns the epoch.
func (f *Fleet) Accept(ctx context.Context, records ...recorder.Record) (int64, error) {
	submitted, err := f.sendCommand(ctx, accepter.Command{Action: accepter.ActionSubmit, Records: records})
	if err != nil {
		return 0, err
	}
	// Accepting is refused until a new instance has announced which schemas it reads.
	var accepted accepter.Result
	wait := WaitUntil(ctx, func() bool {
		accepted, err = f.sendCommand(ctx, accepter.Command{Action: accepter.ActionAccept, Changes: submitted.Changes})
		return err == nil
	})
	if wait != nil {
		return 0, err
	}
	return accepted.Epoch, f.WaitForEpoch(ctx, accepted.Epoch)
}

// WaitForEpoch waits until an epoch, or a later one, is in force on every instance. It returns the context's error if
// the context ends first.
func (f *Fleet) WaitForEpoch(ctx context.Context, epoch int64) error {
	return WaitUntil(ctx, func() bool {
		for _, r := range f.LiveNodes() {
			if r.View().Epoch < epoch {
				return false
			}
		}
		return true
	})
}

// sendCommand sends one command to the first instance.
func (f *Fleet) sendCommand(ctx context.Context, c accepter.Command) (accepter.Result, error) {
	c.ID = uuid.NewString()
	c.Operator = "duty"
	var result accepter.Result
	client := commander.NewClient("http://"+f.Nodes[0].OperatorAddress(), "")
	status, err := client.Do(ctx, http.MethodPost, "/changes", c, &result, http.StatusOK, http.StatusConflict,
		http.StatusUnprocessableEntity)
	if err != nil {
		return result, merry.Prepend(err, c.Action)
	}
	if status != http.StatusOK {
		return result, merry.Errorf("%s: %s %v %v", c.Action, result.Reason, result.Faults, result.Conflicts)
	}
	return result, nil
}

// WaitForEngines waits until every instance has as many endpoints as the fleet has engines. It returns the context's
// error if the context ends first.
func (f *Fleet) WaitForEngines(ctx context.Context) error {
	return WaitUntil(ctx, func() bool {
		for _, r := range f.LiveNodes() {
			if len(r.Router().State(time.Now()).Picker.Endpoints) < len(f.Standins.Fleet.Engines) {
				return false
			}
		}
		return true
	})
}

// WaitForPeers waits until every instance has received gossip about every other. It returns the context's error if the
// context ends first.
func (f *Fleet) WaitForPeers(ctx context.Context) error {
	return WaitUntil(ctx, func() bool {
		live := f.LiveNodes()
		for _, r := range live {
			if r.Members() < len(live) {
				return false
			}
		}
		return true
	})
}

// HashCredential returns the hash of a bearer token as records hold it.
func HashCredential(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// NewModelRecord returns the record of a model with one version, v1.
func NewModelRecord(name string, layers, tokens int) recorder.Record {
	return newRecord(recorder.KindModel, name, recorder.Model{
		Layers: layers, MaxAnswerTokens: tokens, FirstTokenMillis: 1900, TokenIntervalMillis: 43,
		Versions: []recorder.Version{{Name: "v1", SharePercent: 100}},
	})
}

// NewTeamRecord returns the record of a team whose bearer token is its name.
func NewTeamRecord(name string, share int) recorder.Record {
	return newRecord(recorder.KindTeam, name, recorder.Team{CredentialHash: HashCredential(name), QueueWeight: share})
}

// newRecord returns a record of the current schema.
func newRecord(kind, name string, body any) recorder.Record {
	r, err := recorder.NewRecord(kind, name, body)
	if err != nil {
		panic(err) // All bodies of this package can be encoded.
	}
	return r
}
