package fleet

// This file measures how soon a coordinator serves when it starts alone: neither discovery nor the other members of its store run, so
// it has only its own copy of the store. No other process may be up that could answer in its place.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"gullfall/internal/lab/datanode"
	"gullfall/internal/lab/discovery"
)

// The layout of a recoveryFleet: cells, which is also the number of shards, and members of the store.
const (
	recoveryCells   = 64
	recoveryMembers = 3
)

// recoveryFleet is a group of coordinators with a store that holds the list of data nodes from discovery.
type recoveryFleet struct {
	binary    string
	seed      uint64
	tempDir   string
	directory *discovery.Directory
	fronts    []string
	addrs     []string // store addresses of the members
	nodes     []*datanode.Node
	running   []*Coordinator
}

// MeasureCachedStart starts three coordinators with a store, which receive a list of total data nodes, ends them and discovery, and then
// starts one coordinator alone, rounds times. It returns, for each start, the time to the first accepted connection and to the first
// complete answer.
func MeasureCachedStart(ctx context.Context, binary string, total, rounds int, seed uint64) (accepts, answers []time.Duration, err error) {
	f := &recoveryFleet{binary: binary, seed: seed}
	defer func() { err = errors.Join(err, f.stop()) }()
	if err := f.prepare(ctx, total); err != nil {
		return nil, nil, err
	}
	for range rounds {
		accepted, answer, err := f.startAlone(ctx)
		if err != nil {
			return nil, nil, err
		}
		accepts, answers = append(accepts, accepted), append(answers, answer)
	}
	return accepts, answers, nil
}

// prepare starts discovery and the members, waits until the store has the list of data nodes, and ends all but the data nodes.
func (f *recoveryFleet) prepare(ctx context.Context, total int) (err error) {
	if f.tempDir, err = os.MkdirTemp("", "gullfall-remember-"); err != nil {
		return err
	}
	if f.directory, err = discovery.Start(); err != nil {
		return err
	}
	list, err := f.entries(total)
	if err != nil {
		return err
	}
	f.directory.Set(list...)
	for range recoveryMembers {
		f.fronts, f.addrs = append(f.fronts, freeAddr("tcp")), append(f.addrs, freeAddr("tcp"))
	}
	for i := range recoveryMembers {
		if _, err := f.start(ctx, i); err != nil {
			return err
		}
	}
	if err := waitForAnswer(ctx, f.fronts[0]); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // time for the list to be stored and applied by each member
	if err := f.kill(); err != nil {
		return err
	}
	f.directory.Close()
	return nil
}

// entries starts two data nodes and returns a discovery list of the given length. Only the first two, in cells 0 and 1, exist and can
// hold shard 0; the others are in other cells.
func (f *recoveryFleet) entries(total int) (list []discovery.Entry, err error) {
	for i := range total {
		e := discovery.Entry{ID: fmt.Sprintf("node-%05d", i), Addr: fmt.Sprintf("127.0.%d.%d:1", 1+i/250, 1+i%250), Zone: []string{"a", "b", "c"}[i%3], Cell: 2 + i%(recoveryCells-2),
			State: "SERVING", Weight: 1, Started: time.Now().Add(-time.Hour).UnixMilli()}
		if i < 2 {
			n := &datanode.Node{ID: e.ID, Cell: i, Proto: "frames", Ledger: datanode.NewLedger(), Takes: time.Millisecond}
			if err := n.Start(); err != nil {
				return nil, err
			}
			f.nodes = append(f.nodes, n)
			e.Addr, e.Cell = n.Addr(), i
		}
		list = append(list, e)
	}
	return list, nil
}

// start starts a member and adds it to running, also after an error.
func (f *recoveryFleet) start(ctx context.Context, i int) (*Coordinator, error) {
	deploy := fmt.Sprintf("[store]\ndirectory = %q\nlisten = %q\nheartbeat = \"500ms\"\n", filepath.Join(f.tempDir, PeerName(i)), f.addrs[i])
	for j, addr := range f.addrs {
		deploy += fmt.Sprintf("[[store.peer]]\nname = %q\naddr = %q\n", PeerName(j), addr)
	}
	config := Config(PeerName(i), f.fronts[i], f.directory.Addr(), f.seed+uint64(i), 192, Settings(recoveryCells, recoveryCells, recoveryMembers))
	c, err := Spawn(ctx, f.binary, f.fronts[i], map[string]string{"config.json": config, "deploy/gullfall.toml": deploy})
	f.running = append(f.running, c)
	return c, err
}

// startAlone starts the first member while no other runs, and kills it once it has answered a query.
func (f *recoveryFleet) startAlone(ctx context.Context) (accepted, answer time.Duration, err error) {
	begun := time.Now()
	c, err := f.start(ctx, 0)
	if err != nil {
		return 0, 0, err
	}
	accepted = time.Since(begun)
	if err := waitForAnswer(ctx, f.fronts[0]); err != nil {
		return 0, 0, fmt.Errorf("%w\n%s", err, c.Log(2000))
	}
	answer = time.Since(begun)
	time.Sleep(200 * time.Millisecond)
	return accepted, answer, f.kill()
}

// kill ends the running members with SIGKILL.
func (f *recoveryFleet) kill() error {
	for _, c := range f.running {
		if err := errors.Join(c.Kill(), c.Discard()); err != nil {
			return err
		}
	}
	f.running = nil
	return nil
}

// stop ends all processes, data nodes and discovery, and removes their files.
func (f *recoveryFleet) stop() (err error) {
	for _, c := range f.running {
		err = errors.Join(err, c.Stop())
	}
	for _, n := range f.nodes {
		n.Kill()
	}
	if f.directory != nil {
		f.directory.Close()
	}
	return errors.Join(err, os.RemoveAll(f.tempDir))
}

// waitForAnswer sends queries of shard 0 to a coordinator until one is answered completely.
func waitForAnswer(ctx context.Context, front string) error {
	last := ""
	for n := 0; ctx.Err() == nil; n++ {
		body := `{"shards":[{"shard":0,"weight":1}],"q":"c41e77d0"}`
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/lookup", bytes.NewReader([]byte(body)))
		if err != nil {
			return err
		}
		req.Header.Set("Req-Id", fmt.Sprintf("first-%d-%d", time.Now().UnixNano(), n))
		req.Header.Set("Req-Owner", "club")
		req.Header.Set("Req-Deadline-Ms", "1000")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		answer, err := io.ReadAll(res.Body)
		res.Body.Close()
		if res.StatusCode == http.StatusOK && err == nil && bytes.Contains(answer, []byte(datanode.Doc(0))) {
			return nil
		}
		last = fmt.Sprintf("%s %.200s", res.Status, answer)
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("no query was answered completely; the last answer was %s", last)
}
