package fleet

// Here is measured how soon a coordinator serves that starts with nobody else there: discovery is gone, and so are the other members of
// its store; what it has is its own copy. It must never count a start as one that was answered by anything else.

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

// The layout of a fleet that remembers: cells, one shard each, and coordinators.
const (
	rememberCells   = 64
	rememberMembers = 3
)

// rememberFleet is coordinators with a store, and the list of data nodes that they hear before discovery is gone.
type rememberFleet struct {
	binary    string
	seed      uint64
	folder    string
	directory *discovery.Directory
	fronts    []string
	addrs     []string // of the store's members
	nodes     []*datanode.Node
	running   []*Coordinator
}

// Remembered has three coordinators with a store hear a list of so many data nodes, ends all of them and discovery, and starts one again
// and again. It returns how long each start took until its front took a connection, and until a query was answered whole.
func Remembered(ctx context.Context, binary string, total, rounds int, seed uint64) (accepts, answers []time.Duration, err error) {
	f := &rememberFleet{binary: binary, seed: seed}
	defer func() { err = errors.Join(err, f.stop()) }()
	if err := f.learn(ctx, total); err != nil {
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

// learn starts the members and discovery with a list of data nodes, waits until the store has it, and ends all but the data nodes.
func (f *rememberFleet) learn(ctx context.Context, total int) (err error) {
	if f.folder, err = os.MkdirTemp("", "gullfall-remember-"); err != nil {
		return err
	}
	if f.directory, err = discovery.Start(); err != nil {
		return err
	}
	list, err := f.list(total)
	if err != nil {
		return err
	}
	f.directory.Set(list...)
	for range rememberMembers {
		f.fronts, f.addrs = append(f.fronts, free("tcp")), append(f.addrs, free("tcp"))
	}
	for i := range rememberMembers {
		if _, err := f.start(ctx, i); err != nil {
			return err
		}
	}
	if err := answered(ctx, f.fronts[0]); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // the list is in the store, and each member has applied it
	if err := f.kill(); err != nil {
		return err
	}
	f.directory.Close()
	return nil
}

// list are the entries of discovery: the first two are data nodes that answer, of which one holds shard 0; all others hold other shards.
func (f *rememberFleet) list(total int) (list []discovery.Entry, err error) {
	for i := range total {
		e := discovery.Entry{ID: fmt.Sprintf("node-%05d", i), Addr: fmt.Sprintf("127.0.%d.%d:1", 1+i/250, 1+i%250), Zone: []string{"a", "b", "c"}[i%3], Cell: 2 + i%(rememberCells-2),
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

// start starts a member, which is among running also after an error.
func (f *rememberFleet) start(ctx context.Context, i int) (*Coordinator, error) {
	deploy := fmt.Sprintf("[store]\ndirectory = %q\nlisten = %q\nheartbeat = \"500ms\"\n", filepath.Join(f.folder, PeerName(i)), f.addrs[i])
	for j, addr := range f.addrs {
		deploy += fmt.Sprintf("[[store.peer]]\nname = %q\naddr = %q\n", PeerName(j), addr)
	}
	config := Config(PeerName(i), f.fronts[i], f.directory.Addr(), f.seed+uint64(i), 192, Settings(rememberCells, rememberCells, rememberMembers))
	c, err := Spawn(ctx, f.binary, f.fronts[i], map[string]string{"config.json": config, "deploy/gullfall.toml": deploy})
	f.running = append(f.running, c)
	return c, err
}

// startAlone starts the first member with nobody else there, and ends it once it has answered.
func (f *rememberFleet) startAlone(ctx context.Context) (accepted, answer time.Duration, err error) {
	begun := time.Now()
	c, err := f.start(ctx, 0)
	if err != nil {
		return 0, 0, err
	}
	accepted = time.Since(begun)
	if err := answered(ctx, f.fronts[0]); err != nil {
		return 0, 0, fmt.Errorf("%w\n%s", err, c.Log(2000))
	}
	answer = time.Since(begun)
	time.Sleep(200 * time.Millisecond)
	return accepted, answer, f.kill()
}

// kill ends the running members by SIGKILL.
func (f *rememberFleet) kill() error {
	for _, c := range f.running {
		if err := errors.Join(c.Kill(), c.Discard()); err != nil {
			return err
		}
	}
	f.running = nil
	return nil
}

// stop ends what was started.
func (f *rememberFleet) stop() (err error) {
	for _, c := range f.running {
		err = errors.Join(err, c.Stop())
	}
	for _, n := range f.nodes {
		n.Kill()
	}
	if f.directory != nil {
		f.directory.Close()
	}
	return errors.Join(err, os.RemoveAll(f.folder))
}

// answered waits until a front answers a query of shard 0 whole.
func answered(ctx context.Context, front string) error {
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
	return fmt.Errorf("no query was answered: %s", last)
}
