// Package assembler runs instances of heatherrock and stand-ins for all that lies outside them, in one process.
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

// poll is the time between looks at a condition.
const poll = 5 * time.Millisecond

// Fleet is a number of instances before one set of stand-ins.
type Fleet struct {
	Standins *starter.Starter
	// Nodes are the instances, the oldest first. Live returns them while others join and leave.
	Nodes []*runner.Runner

	mu         sync.Mutex
	times      configurer.Times
	limits     configurer.Limits
	datacentre string
	region     string
	logger     *slog.Logger
	options    []runner.Option
	settings   []func(*configurer.Settings)
	changes    []func(*starter.Fleet)
	started    int
}

// Option changes a Fleet under construction.
type Option func(*Fleet)

// WithTimes changes the instances' times.
func WithTimes(change func(*configurer.Times)) Option {
	return func(s *Fleet) { change(&s.times) }
}

// WithLogger sets the instances' log. Without it nothing is logged.
func WithLogger(l *slog.Logger) Option { return func(s *Fleet) { s.logger = l } }

// WithFleet changes the description of the stand-ins.
func WithFleet(change func(*starter.Fleet)) Option {
	return func(s *Fleet) { s.changes = append(s.changes, change) }
}

// WithRunner adds options of the instances.
func WithRunner(options ...runner.Option) Option {
	return func(s *Fleet) { s.options = append(s.options, options...) }
}

// WithSettings changes the settings of each instance that joins.
func WithSettings(change func(*configurer.Settings)) Option {
	return func(s *Fleet) { s.settings = append(s.settings, change) }
}

// WithPlace sets the data centre and region of the instances.
func WithPlace(datacentre, region string) Option {
	return func(s *Fleet) { s.datacentre, s.region = datacentre, region }
}

// New starts the stand-ins of a fleet and a number of instances. After an error none runs.
func New(f starter.Fleet, nodes int, options ...Option) (*Fleet, error) {
	s := &Fleet{
		datacentre: "a",
		region:     "r",
		logger:     slog.New(slog.DiscardHandler),
		limits:     configurer.Default().Limits,
		times:      configurer.Default().Times,
	}
	s.times.PollInterval = 200 * time.Millisecond
	s.times.GossipInterval = 100 * time.Millisecond
	s.times.ListInterval = 100 * time.Millisecond
	s.times.LoadReadInterval = 100 * time.Millisecond
	s.times.NoticePeriod = 300 * time.Millisecond
	for _, o := range options {
		o(s)
	}
	for _, change := range s.changes {
		change(&f)
	}
	standins, err := starter.Start(f)
	if err != nil {
		return nil, err
	}
	s.Standins = standins
	for range nodes {
		if _, err := s.Join(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Join starts one more instance and puts it into the instance list.
func (s *Fleet) Join() (*runner.Runner, error) {
	s.started++
	free := configurer.Listener{Address: "127.0.0.1:0"}
	settings := configurer.Settings{
		ID:           fmt.Sprintf("entry-%d", s.started),
		DataCentre:   s.datacentre,
		Region:       s.region,
		Callers:      free,
		Operators:    free,
		Peers:        free,
		TablesURL:    s.Standins.URL(starter.NameTables),
		ObjectsURL:   s.Standins.URL(starter.NameObjects),
		InstancesURL: s.Standins.URL(starter.NameInstances),
		WeightsURL:   s.Standins.URL(starter.NameWeights),
		Limits:       s.limits,
		Times:        s.times,
	}
	for _, change := range s.settings {
		change(&settings)
	}
	r := runner.New(settings, runner.NewPlatform(settings), append(s.options, runner.WithLog(s.logger))...)
	if err := r.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.Nodes = append(s.Nodes, r)
	s.mu.Unlock()
	s.Standins.List.Put(lister.Instance{
		ID: settings.ID, Role: lister.RoleEntry, Address: r.PeerAddress(), DataCentre: s.datacentre, Region: s.region,
	})
	return r, nil
}

// Retire drains the first instance and takes it out of the list. It returns the number of requests cut off.
func (s *Fleet) Retire(ctx context.Context) int {
	s.mu.Lock()
	first := s.Nodes[0]
	s.Nodes = slices.Clone(s.Nodes[1:])
	s.mu.Unlock()
	s.Standins.List.MarkLeaving(first.ID())
	cut := first.Drain(ctx)
	s.Standins.List.Remove(first.ID())
	return cut
}

// Live returns the instances that were not retired.
func (s *Fleet) Live() []*runner.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Nodes
}

// Close ends the instances and the stand-ins.
func (s *Fleet) Close() {
	for _, r := range s.Nodes {
		r.Close()
	}
	s.Standins.Close()
}

// Until returns once a condition holds, or the context's error.
func Until(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "condition not reached")
		case <-time.After(poll):
		}
	}
	return nil
}

// Accept submits and accepts records by the first instance's operators' interface and waits until they are in force on
// every instance. It returns the epoch.
func (s *Fleet) Accept(ctx context.Context, records ...recorder.Record) (int64, error) {
	submitted, err := s.change(ctx, accepter.Command{Action: accepter.ActionSubmit, Records: records})
	if err != nil {
		return 0, err
	}
	// An instance that has just joined has not yet told the others what it reads: until then accepting is refused.
	var accepted accepter.Result
	wait := Until(ctx, func() bool {
		accepted, err = s.change(ctx, accepter.Command{Action: accepter.ActionAccept, Changes: submitted.Changes})
		return err == nil
	})
	if wait != nil {
		return 0, err
	}
	return accepted.Epoch, s.InForce(ctx, accepted.Epoch)
}

// InForce returns once an epoch, or a later one, is in force on every instance.
func (s *Fleet) InForce(ctx context.Context, epoch int64) error {
	return Until(ctx, func() bool {
		for _, r := range s.Live() {
			if r.View().Epoch < epoch {
				return false
			}
		}
		return true
	})
}

// change sends one command to the first instance.
func (s *Fleet) change(ctx context.Context, c accepter.Command) (accepter.Result, error) {
	c.ID = uuid.NewString()
	c.Operator = "duty"
	var result accepter.Result
	client := commander.NewClient("http://"+s.Nodes[0].OperatorAddress(), "")
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

// Covered returns once every instance knows of as many engines as the fleet has, or the context's error.
func (s *Fleet) Covered(ctx context.Context) error {
	return Until(ctx, func() bool {
		for _, r := range s.Live() {
			if len(r.Router().State(time.Now()).Picker.Endpoints) < len(s.Standins.Fleet.Engines) {
				return false
			}
		}
		return true
	})
}

// Met returns once every instance has heard of every other, or the context's error.
func (s *Fleet) Met(ctx context.Context) error {
	return Until(ctx, func() bool {
		live := s.Live()
		for _, r := range live {
			if r.Members() < len(live) {
				return false
			}
		}
		return true
	})
}

// Hash returns the credential of a bearer token as records hold it.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// NewModel returns the record of a model with one version, v1.
func NewModel(name string, layers, tokens int) recorder.Record {
	return record(recorder.KindModel, name, recorder.Model{
		Layers: layers, MaxAnswerTokens: tokens, FirstTokenMillis: 1900, TokenIntervalMillis: 43,
		Versions: []recorder.Version{{Name: "v1", SharePercent: 100}},
	})
}

// NewTeam returns the record of a team whose bearer token is its name.
func NewTeam(name string, share int) recorder.Record {
	return record(recorder.KindTeam, name, recorder.Team{CredentialHash: Hash(name), QueueWeight: share})
}

// record returns a record of the current schema.
func record(kind, name string, body any) recorder.Record {
	r, err := recorder.NewRecord(kind, name, body)
	if err != nil {
		panic(err) // The bodies of this package have an encoding.
	}
	return r
}
