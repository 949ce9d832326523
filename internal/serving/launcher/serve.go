package launcher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"

	"github.com/heatherrock/heatherrock/internal/serving/bounder"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/serving/runner"
)

// serve runs an instance until the context ends, then drains it.
func serve(ctx context.Context, s Streams, args []string) int {
	settings, err := configurer.Parse(args, s.Environ...)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(s.Out, configurer.Help())
		return ExitDone
	}
	if err != nil {
		fmt.Fprintln(s.Err, err)
		return ExitUsage
	}
	log := NewLog(s.Err, settings.Log)
	bounder.NewPlan(bounder.Machine{MemoryBytes: settings.Limits.MemoryBytes, Descriptors: settings.Limits.Descriptors}).LimitHeap()
	r := runner.New(settings, runner.NewPlatform(settings), runner.WithLog(log))
	if err := r.Start(); err != nil {
		log.Error("instance not started", "error", err)
		return ExitFailed
	}
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), settings.Times.DrainTimeout)
	defer cancel()
	if cutOff := r.Drain(drainCtx); cutOff > 0 {
		log.Error("requests cut off", "requests", cutOff)
		return ExitFailed
	}
	return ExitDone
}

// NewLog returns the log of a process, which writes to w.
func NewLog(w io.Writer, l configurer.Log) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
