package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "reason of the change, for the audit trail"},
		&cli.StringFlag{Name: "command-id", Usage: "ID of the command, to retry it without a second effect; a new ID by default"},
		&cli.BoolFlag{Name: "dry-run", Usage: "validate only, change nothing"},
		&cli.IntFlag{Name: "wait", Usage: "wait until the change is in force at this many daemons: the entry and those that report to it"},
		&cli.BoolFlag{Name: "force", Usage: "overwrite objects even if they have changed since they were read"},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "set the objects of a manifest, all or nothing",
		UsageText: "crowbridge apply -f manifest.yaml [--reason why] [--dry-run]",
		Flags:     append(changeFlags(), &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "manifest; - reads standard input", Required: true}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			objects, err := readManifest(cmd.String("file"))
			if err != nil {
				return &commandError{code: exitRejected, text: err.Error()}
			}
			return call(ctx, cmd, func(ctx context.Context, api rpc.Operators) error {
				changes, err := newChanges(ctx, api, objects, cmd.Bool("force"))
				if err != nil {
					return err
				}
				return submit(ctx, cmd, api, changes)
			})
		},
	}
}

func readManifest(path string) ([]*config.Object, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, errors.Wrap(err, "manifest")
	}
	return config.ParseManifest(data)
}

// newChanges returns changes that expect the objects' current revisions, so that concurrent changes
// conflict.
func newChanges(ctx context.Context, api rpc.Operators, objects []*config.Object, force bool) ([]*rpc.Change, error) {
	current, err := currentObjects(ctx, api)
	if err != nil {
		return nil, err
	}
	changes := make([]*rpc.Change, 0, len(objects))
	for _, object := range objects {
		data, err := json.Marshal(object)
		if err != nil {
			return nil, errors.Wrap(err, object.ID())
		}
		change := &rpc.Change{Kind: string(object.Kind), Name: object.Name, Object: data}
		if existing := current[object.ID()]; existing != nil {
			change.ExpectedRevision = existing.Revision
		}
		if force {
			change.ExpectedRevision = config.AnyRevision
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func currentObjects(ctx context.Context, api rpc.Operators) (map[string]*config.Object, error) {
	reply, err := api.Get(ctx, &rpc.GetRequest{})
	if err != nil {
		return nil, err
	}
	current := map[string]*config.Object{}
	for _, item := range reply.Objects {
		object, err := config.DecodeObject(item.Object)
		if err != nil {
			return nil, errors.Wrapf(err, "%s/%s", item.Kind, item.Name)
		}
		current[object.ID()] = object
	}
	return current, nil
}

func submit(ctx context.Context, cmd *cli.Command, api rpc.Operators, changes []*rpc.Change) error {
	commandID := cmd.String("command-id")
	if commandID == "" {
		commandID = uuid.NewString()
	}
	reply, err := api.Apply(ctx, &rpc.ApplyRequest{
		CommandId: commandID, Reason: cmd.String("reason"), Changes: changes, DryRun: cmd.Bool("dry-run"),
	})
	if err != nil {
		return errors.Wrapf(err, "command %s: result unknown: retry with --command-id %s", commandID, commandID)
	}
	switch reply.Verdict {
	case rpc.Verdict_VERDICT_ACCEPTED:
		fmt.Printf("accepted: %d change(s) at offset %d (command %s) %s\n", len(changes), reply.Offset, commandID, reply.Reason)
		return awaitDaemons(ctx, cmd, api, reply.Offset)
	case rpc.Verdict_VERDICT_REJECTED:
		return &commandError{code: exitRejected, text: "rejected: " + reply.Reason}
	default:
		return &commandError{code: exitUnknown, text: fmt.Sprintf("unknown: command %s: %s", commandID, reply.Reason)}
	}
}

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete an object",
		UsageText: "crowbridge delete KIND NAME [--reason why]",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			kind, name, err := kindAndName(cmd)
			if err != nil {
				return err
			}
			return call(ctx, cmd, func(ctx context.Context, api rpc.Operators) error {
				change := &rpc.Change{Kind: kind, Name: name, ExpectedRevision: config.AnyRevision}
				return submit(ctx, cmd, api, []*rpc.Change{change})
			})
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "take a backend server out of routing while its requests finish",
		UsageText: "crowbridge drain SERVER [--undo]",
		Flags:     append(changeFlags(), &cli.BoolFlag{Name: "undo", Usage: "put it back into routing"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name := cmd.Args().First()
			if name == "" {
				return errors.New("SERVER: missing: use crowbridge drain SERVER")
			}
			return call(ctx, cmd, func(ctx context.Context, api rpc.Operators) error {
				current, err := currentObjects(ctx, api)
				if err != nil {
					return err
				}
				object := current[string(config.KindBackendServer)+"/"+name]
				if object == nil {
					return errors.Errorf("backend server %q doesn't exist: see crowbridge get BackendServer", name)
				}
				object.BackendServer.Draining = !cmd.Bool("undo")
				changes, err := newChanges(ctx, api, []*config.Object{object}, cmd.Bool("force"))
				if err != nil {
					return err
				}
				return submit(ctx, cmd, api, changes)
			})
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what apply would change",
		UsageText: "crowbridge diff -f manifest.yaml",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "manifest; - reads standard input"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			objects, err := readManifest(cmd.String("file"))
			if err != nil {
				return &commandError{code: exitRejected, text: err.Error()}
			}
			return call(ctx, cmd, func(ctx context.Context, api rpc.Operators) error {
				current, err := currentObjects(ctx, api)
				if err != nil {
					return err
				}
				for _, object := range objects {
					fmt.Println(describeChange(current[object.ID()], object))
				}
				return nil
			})
		},
	}
}

// describeChange returns the difference between two versions of an object.
func describeChange(before, after *config.Object) string {
	if before == nil {
		return "+ " + after.ID()
	}
	unversioned := *before
	unversioned.Revision = 0
	if reflect.DeepEqual(&unversioned, after) {
		return "= " + after.ID()
	}
	return "~ " + after.ID() + "\n  - " + compact(&unversioned) + "\n  + " + compact(after)
}

// compact returns an object as JSON.
func compact(object *config.Object) string {
	data, err := json.Marshal(object)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "generate an API key or operator token and print it with its hash for the configuration",
		Action: func(context.Context, *cli.Command) error {
			key := uuid.NewString() + uuid.NewString()
			fmt.Printf("key   %s\nhash  %s\n", key, daemon.HashSecret(key))
			return nil
		},
	}
}

func kindAndName(cmd *cli.Command) (kind, name string, err error) {
	const arguments = 2
	if cmd.Args().Len() != arguments {
		return "", "", errors.Errorf("arguments: use KIND NAME, with KIND one of %v", config.Kinds)
	}
	return cmd.Args().Get(0), cmd.Args().Get(1), nil
}
