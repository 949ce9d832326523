// Command gateway runs an instance on the first users' platform.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/heatherrock/heatherrock/internal/serving/bounder"
	"github.com/heatherrock/heatherrock/internal/serving/forwarder"
	"github.com/heatherrock/heatherrock/internal/serving/gateway"
	"github.com/heatherrock/heatherrock/internal/serving/logger"
	"github.com/heatherrock/heatherrock/platform"
)

func main() {
	os.Exit(run())
}

// run runs the instance until the process receives SIGINT or SIGTERM, and returns the exit code.
func run() int {
	flags := flag.NewFlagSet("gateway", flag.ContinueOnError)
	metrics := flags.Int("metrics", 0, "port of metrics and state; 0 takes the second internal port")
	crossingCost := flags.Duration("crossing.cost", forwarder.DefaultCrossingCost, "time of callers that one MB between data centres is worth")
	level := slog.LevelInfo
	flags.TextVar(&level, "level", level, "least level of the lines logged: debug, info, warn or error")
	if err := flags.Parse(os.Args[1:]); err != nil {
		return 2
	}
	output := logger.New(os.Stdout)
	defer output.Close()
	log := output.WithLevel(level)
	settings, err := platform.Load(os.Getenv(platform.SettingsVariable))
	if err != nil {
		log.Error("settings not read", "error", err)
		return 2
	}
	if *crossingCost < 0 {
		log.Error("settings not read", "error", "crossing.cost is below zero")
		return 2
	}
	instance := gatewaySettings(settings)
	instance.CrossingCost = *crossingCost
	if *metrics > 0 {
		instance.MetricsAddress = net.JoinHostPort(settings.IP, strconv.Itoa(*metrics))
	}
	log = log.With("instance", instance.ID)
	bounder.NewPlan(instance.Machine).LimitHeap()
	store := platform.NewStore(settings.Store.Address)
	defer store.Close()
	orders := platform.NewEndpointClient()
	defer orders.Close()
	g := gateway.New(instance, gateway.Platform{
		Store:          store,
		Orderer:        orders,
		Prober:         orders,
		Protocol:       platform.Protocol{},
		ConfigTable:    platform.TableConfig,
		ConfigKey:      platform.KeyConfig,
		EndpointTable:  platform.TableEndpoints,
		DecodeConfig:   platform.DecodeConfig,
		DecodeEndpoint: platform.DecodeEndpoint,
	}, log, time.Now)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := g.Start(); err != nil {
		log.Error("instance not started", "error", err)
		return 1
	}
	for {
		select {
		case <-reload:
			reloadSettings(log)
		case <-stop:
			g.Drain(context.Background())
			g.Close()
			return 0
		}
	}
}

// reloadSettings reads the settings file again. Settings only take effect when the process starts, so a change is only
// logged.
func reloadSettings(log *slog.Logger) {
	s, err := platform.Load(os.Getenv(platform.SettingsVariable))
	if err != nil {
		log.Error("settings not read again: those before stay in force", "error", err)
		return
	}
	log.Info("settings read again: they take effect at the next start", "name", s.Name)
}

// gatewaySettings returns the settings of the instance.
func gatewaySettings(s platform.Settings) gateway.Settings {
	internalAddress := func(offset int) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0]+offset)) }
	return gateway.Settings{
		ID:               fmt.Sprintf("%s-%s", s.Name, randomSuffix()),
		Name:             s.Name,
		DataCentre:       s.DataCentre,
		Region:           s.Region,
		CallersAddress:   s.Listen.Callers,
		ReadyAddress:     s.Listen.Ready,
		PeersAddress:     internalAddress(0),
		MetricsAddress:   internalAddress(1),
		GracePeriod:      s.Grace(),
		MaxConfigDelay:   s.ConfigDelay(),
		MaxEndpointDelay: s.DrainDelay(),
		RetryShare:       s.Bounds.BudgetRatio,
		RetrySlack:       s.Bounds.BudgetSlack,
		RetryWindow:      time.Duration(s.Bounds.BudgetWindow * float64(time.Second)),
		Machine:          bounder.Machine{MemoryBytes: int64(s.Limits.MemoryMB) * 1e6, Descriptors: s.Limits.Descriptors},
		MaxHeaderLines:   s.Limits.HeaderLines,
	}
}

// randomSuffix returns a random suffix for an instance's ID, so that each process has its own.
func randomSuffix() string {
	var b [3]byte
	_, _ = rand.Read(b[:]) // It never fails.
	return hex.EncodeToString(b[:])
}
