package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

// readFleet returns the fleet described by the file that the only argument names.
func readFleet(flags *flag.FlagSet, args []string) (starter.Fleet, error) {
	if err := flags.Parse(args); err != nil {
		return starter.Fleet{}, err
	}
	if flags.NArg() != 1 {
		return starter.Fleet{}, errors.New("usage: standin fleet FILE")
	}
	content, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		return starter.Fleet{}, err
	}
	f, err := starter.ParseFleet(content)
	if err != nil {
		return starter.Fleet{}, fmt.Errorf("%s: %w", flags.Arg(0), err)
	}
	return f, nil
}

// addCommonFlags defines the flags that all commands but fleet have, and returns the address to listen on.
func addCommonFlags(flags *flag.FlagSet, f *starter.Fleet) *string {
	flags.Uint64Var(&f.Seed, "seed", 1, "seed of the random choices")
	flags.StringVar(&f.ControlAddress, "control", "", "address of the control listener; a free port if empty")
	return flags.String("address", "", "address to listen on; a free port if empty")
}

func readTables(flags *flag.FlagSet, args []string) (starter.Fleet, error) {
	f := starter.Fleet{Tables: &starter.Tables{}}
	address := addCommonFlags(flags, &f)
	flags.Float64Var(&f.Tables.WritesPerSecond, "writes", 0, "commits a second; 0 means no bound")
	flags.Float64Var(&f.Tables.ReadsPerSecond, "reads", 0, "reads a second; 0 means no bound")
	err := parseFlags(flags, args)
	f.Tables.Address = *address
	return f, err
}

func readObjects(flags *flag.FlagSet, args []string) (starter.Fleet, error) {
	f := starter.Fleet{Objects: &starter.Objects{}}
	address := addCommonFlags(flags, &f)
	flags.Float64Var(&f.Objects.WritesPerSecond, "writes", 0, "writes a second; 0 means no bound")
	flags.Float64Var(&f.Objects.ReadsPerSecond, "reads", 0, "reads a second; 0 means no bound")
	err := parseFlags(flags, args)
	f.Objects.Address = *address
	return f, err
}

func readInstances(flags *flag.FlagSet, args []string) (starter.Fleet, error) {
	f := starter.Fleet{Instances: &starter.List{}}
	address := addCommonFlags(flags, &f)
	lag := flags.Duration("lag", 0, "how late a change shows")
	err := parseFlags(flags, args)
	f.Instances.Address, f.Instances.Lag = *address, starter.Duration(*lag)
	return f, err
}

func readWeights(flags *flag.FlagSet, args []string) (starter.Fleet, error) {
	f := starter.Fleet{Weights: &starter.Weights{}}
	address := addCommonFlags(flags, &f)
	flags.Float64Var(&f.Weights.BytesPerSecond, "rate", 0, "bytes a second; 0 means no bound")
	flags.Int64Var(&f.Weights.LayerBytes, "layer", 0, "bytes of a layer; 0 means 64 KiB")
	err := parseFlags(flags, args)
	f.Weights.Address = *address
	return f, err
}

func readEngine(flags *flag.FlagSet, args []string) (starter.Fleet, error) {
	var f starter.Fleet
	address := addCommonFlags(flags, &f)
	var e starter.Engine
	var k starter.Kind
	flags.StringVar(&e.ID, "id", "engine", "id of the endpoint")
	flags.StringVar(&e.Kind, "kind", "standard", "kind of accelerator")
	flags.Func("held", "layers held, as model/version/from-to; may be repeated", func(text string) error {
		held, err := parseLayers(text)
		e.Held = append(e.Held, held)
		return err
	})
	flags.Func("adapter", "adapter loaded; may be repeated", func(text string) error {
		e.Adapters = append(e.Adapters, text)
		return nil
	})
	duration := func(to *starter.Duration, name, help string) {
		flags.DurationVar((*time.Duration)(to), name, 0, help)
	}
	duration(&k.LayerTime, "layer", "time of a batch for a layer")
	duration(&k.PrefillTime, "prefill", "time for a layer and position of a new prefix")
	duration(&k.PingInterval, "ping", "longest time without a line on a stream; 0 means 200ms")
	duration(&k.StageTimeout, "timeout", "wait for the engine of the last stage; 0 means no bound")
	duration(&k.Lag, "lag", "age of load reports and cache events")
	duration(&k.RestartDelay, "restart", "time after which a crashed engine starts again; 0 means never")
	flags.IntVar(&k.MaxBatch, "batch", 0, "steps that run together; 0 means 16")
	flags.IntVar(&k.LostEventInterval, "gap", 0, "one cache event in so many is lost; 0 means none")
	flags.BoolVar(&k.ChecksFencing, "fenced", false, "refuse orders with an old fencing number")
	flags.StringVar(&k.PoisonMarker, "poison", "", "marker of prompts that crash the engine")
	err := parseFlags(flags, args)
	e.Address = *address
	f.Kinds = map[string]starter.Kind{e.Kind: k}
	f.Engines = []starter.Engine{e}
	return f, err
}

// parseLayers parses a range of layers, such as oak/v1/0-12.
func parseLayers(text string) (streamer.LayerRange, error) {
	parts := strings.Split(text, "/")
	errFormat := fmt.Errorf("%q is not model/version/from-to", text)
	if len(parts) != 3 {
		return streamer.LayerRange{}, errFormat
	}
	from, to, _ := strings.Cut(parts[2], "-")
	first, err := strconv.Atoi(from)
	last, lastErr := strconv.Atoi(to)
	if err != nil || lastErr != nil || first < 0 || last <= first {
		return streamer.LayerRange{}, errFormat
	}
	return streamer.LayerRange{Model: parts[0], Version: parts[1], From: first, To: last}, nil
}

func readService(flags *flag.FlagSet, args []string) (starter.Fleet, error) {
	var f starter.Fleet
	address := addCommonFlags(flags, &f)
	v := starter.Server{}
	c := starter.Service{Stock: map[string]int{}}
	flags.StringVar(&v.ID, "id", "service", "id of the server")
	flags.StringVar(&v.Service, "service", "stock", "name of the service")
	flags.StringVar(&c.EffectPath, "effect", "/holds", "path of the call that is not idempotent")
	flags.BoolVar(&c.HasLookup, "lookup", false, "tell what became of an idempotency key")
	flags.Func("stock", "stock of an item, as item=quantity; may be repeated", func(text string) error {
		item, quantity, _ := strings.Cut(text, "=")
		n, err := strconv.Atoi(quantity)
		c.Stock[item] = n
		return err
	})
	err := parseFlags(flags, args)
	v.Address = *address
	f.Services = map[string]starter.Service{v.Service: c}
	f.Servers = []starter.Server{v}
	return f, err
}
