package store

import (
	"errors"
	"fmt"
	"log/slog"

	"github.com/hashicorp/raft"

	"gullfall/internal/config"
	"gullfall/internal/statemachine"
)

// Recover reduces a store to the single member called name, from the state on its disk, and returns the last applied index. An
// operator runs it, with the coordinator stopped, after more than half of the voters are permanently lost. All entries of the
// member's log count as committed; entries that only the lost members had acknowledged are lost.
func Recover(cfg config.Store, name string, log *slog.Logger) (index uint64, err error) {
	if cfg.Directory == "" || cfg.Listen == "" {
		return 0, errors.New("store.directory and store.listen: a store in memory, or of one member, has nothing to recover")
	}
	d, err := openDisk(cfg.Directory, log)
	if err != nil {
		return 0, fmt.Errorf("store.directory: %w; stop the coordinator before recovering its store", err)
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	if exists, err := raft.HasExistingState(d, d, d); err != nil || !exists {
		return 0, errors.Join(err, fmt.Errorf("store.directory: %s holds no store", cfg.Directory))
	}
	conf := raft.DefaultConfig()
	conf.LocalID, conf.Logger = raft.ServerID(name), raftLogger()
	s := &Store{log: log, name: name, state: statemachine.New(), disk: d, changed: make(chan struct{})}
	_, transport := raft.NewInmemTransport(raft.ServerAddress(cfg.Listen))
	singleMember := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(name), Address: raft.ServerAddress(cfg.Listen)}}}
	if err := raft.RecoverCluster(conf, (*fsm)(s), d, d, d, transport, singleMember); err != nil {
		return 0, fmt.Errorf("store.directory: %w", err)
	}
	return s.state.Index(), nil
}
