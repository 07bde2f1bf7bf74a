package harness

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// RunCLI runs the operators' CLI, which tries all entries in turn, and returns its output.
func (c *Cluster) RunCLI(args ...string) (string, error) {
	controls := make([]string, 0, len(c.Entries))
	for _, e := range c.Entries {
		controls = append(controls, e.ControlAddress)
	}
	return c.RunCLIAt(strings.Join(controls, ","), args...)
}

// RunCLIAt runs the operators' CLI against the given control addresses, separated by commas.
func (c *Cluster) RunCLIAt(controls string, args ...string) (string, error) {
	return c.runCLI(operatorToken, controls, args)
}

// RunReadOnlyCLI runs the operators' CLI with a read-only token.
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
