package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/operator"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/settings"
)

// Settings are the settings of balsamctl.
type Settings = settings.Operator

// session holds what a command works with: the settings, the platform and the
// client for calls to nodes.
type session struct {
	settings Settings
	store    platform.Store
	client   *rpc.Client
	// module is the platform plug-in that provides the store.
	module kernel.Module
}

// readSettings reads the file that --settings names.
func readSettings(command *cli.Command) (Settings, error) {
	path := command.String("settings")
	if path == "" {
		return Settings{}, kernel.Usage(Error.New("--settings FILE is required"))
	}
	config, err := settings.Load[Settings](path)
	return config, kernel.Usage(err)
}

// open reads the settings and starts the platform plug-in. The session must be
// closed.
func open(ctx context.Context, command *cli.Command) (*session, error) {
	config, err := readSettings(command)
	if err != nil {
		return nil, err
	}
	s, err := prepare(config)
	if err != nil {
		return nil, kernel.Usage(err)
	}
	if err := s.module.Start(ctx); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

// prepare provisions the platform plug-in and loads the keys, without starting
// anything.
func prepare(config Settings) (*session, error) {
	ring, err := keys.Load(config.Keys)
	if err != nil {
		return nil, err
	}
	store, module, err := kernel.NewModule[platform.Store](kernel.KindPlatform, config.Platform.Plugin)
	if err != nil {
		return nil, err
	}
	s := &session{settings: config, store: operator.WaitForBudget(store), module: module, client: rpc.NewClient(ring.ClientTLS())}
	if err := provision(module, config.Platform.Settings); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

func provision(module kernel.Module, pluginSettings json.RawMessage) error {
	log, err := observe.NewLog(os.Stderr, "warning")
	if err != nil {
		return err
	}
	env := kernel.Env{Log: log, Path: "platform.settings", Fail: func(error) {}}
	if err := module.Provision(env, pluginSettings); err != nil {
		return err
	}
	return module.Validate()
}

func (s *session) close() error {
	s.client.Close()
	return s.module.Stop()
}

func (s *session) fleet(ctx context.Context) *operator.Fleet {
	return operator.NewFleet(ctx, s.store, s.client, s.settings.Seeds)
}

// withSession runs a command in a session.
func withSession(action func(context.Context, *cli.Command, *session) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) (err error) {
		s, err := open(ctx, command)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, s.close()) }()
		return action(ctx, command, s)
	}
}

func (a *app) checkSettings(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return kernel.Usage(Error.New("unknown command %s; see balsamctl --help", command.Args().First()))
	}
	if !command.Bool("check-settings") {
		return cli.ShowRootCommandHelp(command)
	}
	config, err := readSettings(command)
	if err != nil {
		return err
	}
	s, err := prepare(config)
	if err != nil {
		return kernel.Usage(err)
	}
	return s.close()
}
