package harness

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Operator runs the operators' command line against all entries in turn.
func (c *Cluster) RunCLI(args ...string) (string, error) {
	controls := make([]string, 0, len(c.Entries))
	for _, e := range c.Entries {
		controls = append(controls, e.ControlAddress)
	}
	return c.RunCLIAt(strings.Join(controls, ","), args...)
}

// OperatorAt runs the operators' command line against the given entries.
func (c *Cluster) RunCLIAt(controls string, args ...string) (string, error) {
	return c.runCLI(operatorToken, controls, args)
}

// Reader runs the operators' command line with the token of somebody who may
// only read.
func (c *Cluster) RunReadOnlyCLI(args ...string) (string, error) {
	return c.runCLI(readerToken, c.Entries[0].ControlAddress, args)
}

func (c *Cluster) runCLI(token, controls string, args []string) (string, error) {
	cmd := exec.Command(filepath.Join(c.bin, "crowbridge"), args...)
	cmd.Env = append(os.Environ(), "CROWBRIDGE_ENTRY="+controls, "CROWBRIDGE_TOKEN="+token)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return out.String(), errors.Wrapf(err, "crowbridge %s", strings.Join(args, " "))
}
