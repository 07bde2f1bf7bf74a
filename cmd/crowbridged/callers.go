package main

import (
	"strconv"

	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/crowbridge/crowbridge/internal/settings"
	"github.com/urfave/cli/v3"
)

// defaultMemoryMB is the default of memory-mb.
const defaultMemoryMB = 1024

// callerLimitFlags are the settings of what callers make a process hold.
func callerLimitFlags() []cli.Flag {
	return []cli.Flag{
		intFlag("request-memory", 0, "maximum memory for callers' connections and requests, in bytes; 0: three tenths of the process's memory"),
		intFlag("max-connections", 0, "maximum number of callers' connections; 0: as many as memory and descriptors allow, which bound it in any case"),
		intFlag("receive-buffer", intake.DefaultReceiveBuffer, "receive buffer of a caller's connection, in bytes"),
		durationFlag("stall-timeout", intake.DefaultStallTimeout, "time without progress after which a request is given up for others that need its memory"),
		durationFlag("linger-timeout", intake.DefaultLingerTimeout, "maximum time for which bytes behind a refusal are dropped"),
	}
}

// callerLimits returns the settings of callerLimitFlags.
func callerLimits(cmd *cli.Command) intake.Options {
	return intake.Options{
		RequestMemory: int64(cmd.Int("request-memory")), Connections: cmd.Int("max-connections"), ReceiveBuffer: cmd.Int("receive-buffer"),
		StallTimeout: cmd.Duration("stall-timeout"), LingerTimeout: cmd.Duration("linger-timeout"),
	}
}

// checkCallerLimits checks the settings of callerLimitFlags.
func checkCallerLimits(cmd *cli.Command, c *settings.Checker) {
	c.Positive("receive-buffer", int64(cmd.Int("receive-buffer")))
	c.Positive("stall-timeout", int64(cmd.Duration("stall-timeout")))
	c.Positive("linger-timeout", int64(cmd.Duration("linger-timeout")))
	c.NotNegative("max-connections", int64(cmd.Int("max-connections")))
	c.NotNegative("request-memory", int64(cmd.Int("request-memory")))
}

// processLimitFlags are callerLimitFlags and the settings of the process's own limits, where no settings file has them.
func processLimitFlags() []cli.Flag {
	return append(callerLimitFlags(),
		intFlag("memory-mb", defaultMemoryMB, "memory that this process may use, in MiB"),
		intFlag("max-fds", 0, "descriptors that this process may use; 0: the system's limit"),
	)
}

// processLimits returns the checked settings of processLimitFlags.
func processLimits(cmd *cli.Command, c *settings.Checker) intake.Options {
	checkCallerLimits(cmd, c)
	c.Positive("memory-mb", int64(cmd.Int("memory-mb")))
	c.NotNegative("max-fds", int64(cmd.Int("max-fds")))
	options := callerLimits(cmd)
	options.Memory, options.Descriptors = int64(cmd.Int("memory-mb"))<<20, cmd.Int("max-fds")
	if options.Descriptors == 0 {
		descriptors, err := intake.SystemDescriptors()
		c.AddError("max-fds", "0", err)
		options.Descriptors = descriptors
	}
	maxBody := cmd.Int("max-body")
	c.AddError("max-body", strconv.Itoa(maxBody), options.CheckBodyLimit(int64(maxBody)))
	return options
}
