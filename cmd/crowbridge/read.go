package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"sigs.k8s.io/yaml"
)

const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// printOutput prints value in the selected output format. For tables it calls table.
func printOutput(cmd *cli.Command, value any, table func(*tabwriter.Writer)) error {
	switch cmd.String("output") {
	case outputTable:
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		table(w)
		return w.Flush()
	case outputJSON:
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode output")
		}
		fmt.Println(string(data))
		return nil
	case outputYAML:
		data, err := yaml.Marshal(value)
		if err != nil {
			return errors.Wrap(err, "encode output")
		}
		fmt.Print(string(data))
		return nil
	default:
		return errors.Errorf("--output %q: use table, json or yaml", cmd.String("output"))
	}
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print configuration objects",
		UsageText: "crowbridge get [KIND [NAME]] [-o table|json|yaml]",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return call(ctx, cmd, func(ctx context.Context, api rpc.Operators) error {
				reply, err := api.Get(ctx, &rpc.GetRequest{Kind: cmd.Args().Get(0), Name: cmd.Args().Get(1)})
				if err != nil {
					return err
				}
				objects := make([]*config.Object, 0, len(reply.Objects))
				for _, item := range reply.Objects {
					object, err := config.DecodeObject(item.Object)
					if err != nil {
						return errors.Wrapf(err, "%s/%s", item.Kind, item.Name)
					}
					objects = append(objects, object)
				}
				return printObjects(cmd, objects)
			})
		},
	}
}

// printObjects prints objects. The YAML output is a manifest for apply.
func printObjects(cmd *cli.Command, objects []*config.Object) error {
	if cmd.String("output") == outputYAML {
		for _, object := range objects {
			object.Revision = 0
			data, err := yaml.Marshal(object)
			if err != nil {
				return errors.Wrap(err, object.ID())
			}
			fmt.Printf("---\n%s", data)
		}
		return nil
	}
	return printOutput(cmd, objects, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "KIND\tNAME\tREVISION\tLABELS")
		for _, object := range objects {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", object.Kind, object.Name, object.Revision, labelText(object.Labels))
		}
	})
}

func labelText(labels map[string]string) string {
	data, err := json.Marshal(labels)
	if err != nil || len(labels) == 0 {
		return ""
	}
	return strings.NewReplacer(`"`, "", "{", "", "}", "", ":", "=").Replace(string(data))
}

func readAudit(ctx context.Context, cmd *cli.Command, request *rpc.AuditRequest) error {
	return call(ctx, cmd, func(ctx context.Context, api rpc.Operators) error {
		reply, err := api.Audit(ctx, request)
		if err != nil {
			return err
		}
		if cmd.String("output") == outputJSON {
			for _, line := range reply.Entries {
				fmt.Println(string(line))
			}
			return nil
		}
		entries := make([]config.AuditEntry, 0, len(reply.Entries))
		for _, line := range reply.Entries {
			var entry config.AuditEntry
			if err := json.Unmarshal(line, &entry); err != nil {
				return errors.Wrap(err, "decode audit entry")
			}
			entries = append(entries, entry)
		}
		if isUnfiltered(request) {
			if err := config.VerifyAudit(entries); err != nil {
				return err
			}
		}
		return printOutput(cmd, entries, func(w *tabwriter.Writer) { auditTable(w, entries) })
	})
}

// isUnfiltered reports whether a request returns consecutive entries, whose hash chain can be verified.
func isUnfiltered(request *rpc.AuditRequest) bool { return request.Actor == "" && request.Object == "" }

func auditTable(w *tabwriter.Writer, entries []config.AuditEntry) {
	fmt.Fprintln(w, "OFFSET\tTIME\tACTOR\tACTION\tOBJECTS\tVERDICT\tREASON")
	for _, e := range entries {
		verdict := "accepted"
		if !e.Accepted {
			verdict = "rejected: " + e.RejectReason
		}
		at := time.UnixMilli(e.TimeMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Offset, at, e.Actor, e.Action, strings.Join(e.Objects, ","), verdict, e.Reason)
	}
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "print the audit trail of changes; -o json prints JSON lines",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "actor", Usage: "only entries of this operator or daemon"},
			&cli.StringFlag{Name: "object", Usage: "only entries of this object, as Kind/name"},
			&cli.Int64Flag{Name: "after", Value: config.NoOffset, Usage: "only entries after this offset"},
			&cli.Int64Flag{Name: "limit", Usage: "only this many of the newest entries; 0 prints all"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return readAudit(ctx, cmd, &rpc.AuditRequest{
				Actor: cmd.String("actor"), Object: cmd.String("object"),
				AfterOffset: cmd.Int64("after"), Limit: cmd.Int64("limit"),
			})
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "print the audit trail of one object",
		UsageText: "crowbridge history KIND NAME",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			kind, name, err := kindAndName(cmd)
			if err != nil {
				return err
			}
			return readAudit(ctx, cmd, &rpc.AuditRequest{Object: kind + "/" + name, AfterOffset: config.NoOffset})
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print an entry's view of the fleet",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return call(ctx, cmd, func(ctx context.Context, api rpc.Operators) error {
				reply, err := api.Status(ctx, &rpc.StatusRequest{})
				if err != nil {
					return err
				}
				return printOutput(cmd, reply, func(w *tabwriter.Writer) { statusTable(w, reply) })
			})
		},
	}
}

func statusTable(w *tabwriter.Writer, s *rpc.StatusReply) {
	fmt.Fprintf(w, "daemon %s\tzone %s\toffset %d\tera %d\tlog confirmed %d ms ago\thash %.12s\n",
		s.Daemon, s.Zone, s.Offset, storelog.Position(s.Offset).Era(), s.LogAgeMs, s.StateHash)
	for _, l := range s.Ledgers {
		fmt.Fprintf(w, "ledger %s\taccepted %d\tanswered %d\tnot run %d\tunknown %d\tin flight %d\n", l.Name, l.Accepted, l.Answered, l.NotRun, l.Unknown, l.InFlight)
	}
	fmt.Fprintln(w, "SERVER\tZONE\tSTATE\tIN FLIGHT\tQUEUED\tREPORT AGE MS")
	for _, server := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", server.Name, server.Zone, server.State, server.InFlight, server.Queued, server.ReportAgeMs)
	}
	for _, lease := range s.Leases {
		fmt.Fprintf(w, "lease %s\tholder %s\tfence %d\n", lease.Group, lease.Holder, lease.Fence)
	}
	for _, peer := range s.Peers {
		fmt.Fprintf(w, "daemon %s\thas offset %d\n", peer.Address, peer.Offset)
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print which servers a request may go to, and why not to the others",
		UsageText: "crowbridge explain --customer NAME (--model MODEL | --path PATH)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "customer", Required: true, Usage: "customer's name"},
			&cli.StringFlag{Name: "model", Usage: "requested model"},
			&cli.StringFlag{Name: "path", Usage: "path of a plain service"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return call(ctx, cmd, func(ctx context.Context, api rpc.Operators) error {
				reply, err := api.Explain(ctx, &rpc.ExplainRequest{
					Customer: cmd.String("customer"), Model: cmd.String("model"), Path: cmd.String("path"),
				})
				if err != nil {
					return err
				}
				return printOutput(cmd, reply, func(w *tabwriter.Writer) {
					fmt.Fprintf(w, "route\t%s\n", reply.Route)
					for _, server := range reply.Servers {
						fmt.Fprintf(w, "%s\t%t\t%s\n", server.Name, server.Eligible, server.Reason)
					}
				})
			})
		},
	}
}

const statusPollInterval = 100 * time.Millisecond

// awaitDaemons waits until as many daemons as --wait requires report the offset as in force.
func awaitDaemons(ctx context.Context, cmd *cli.Command, api rpc.Operators, offset int64) error {
	want := cmd.Int("wait")
	if want == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		status, err := api.Status(ctx, &rpc.StatusRequest{})
		if err != nil {
			return errors.Wrap(err, "accepted, but failed to read the status of the daemons")
		}
		have := countInForce(status, offset)
		if have >= want {
			fmt.Printf("in force at %d daemons\n", have)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("accepted, but in force at only %d daemons instead of %d", have, want)
		case <-time.After(statusPollInterval):
		}
	}
}

// countInForce returns the number of daemons at which the offset is in force.
func countInForce(status *rpc.StatusReply, offset int64) int {
	have := 0
	if status.Offset >= offset {
		have++
	}
	for _, peer := range status.Peers {
		if peer.Offset >= offset {
			have++
		}
	}
	return have
}
