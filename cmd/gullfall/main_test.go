package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	arrowflight "github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/miekg/dns"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
	"gullfall/internal/platform"
)

const settings = `{"TickS":0.005,"Az":"a","Balancers":1,"Discovery":"automatic",
 "Classes":[{"Name":"report","Effect":"safe","AimS":1,"HardLimitS":3,"Gain":1}],
 "FamilyInfo":{"Sets":1,"Slabs":4,"Width":1,"BundleMax":8},
 "Limits":{"Cancel":true,"SendCap":3,"ConnectTimeoutS":0.25,"ConnIdleS":30,"StreamsPerConn":32,"RetryAfter":true,"MaxRetryAfterS":2}}`

// serve runs the daemon with its log discarded.
func serve() error {
	return run(new(slog.LevelVar), func(string) *slog.Logger { return slog.New(slog.DiscardHandler) })
}

// freeAddr returns a local address on which nothing listens.
func freeAddr(t *testing.T, network string) string {
	t.Helper()
	if network == "udp" {
		pc, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer pc.Close()
		return pc.LocalAddr().String()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// getStatusLine sends a GET request on a new connection and returns the status line, or "" without a response.
func getStatusLine(addr, path string) string {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nConnection: close\r\n\r\n", path)
	answer, _ := io.ReadAll(nc)
	line, _, _ := strings.Cut(string(answer), "\r\n")
	return line
}

// TestServeUntilSIGTERM runs the daemon with both fronts until SIGTERM, twice: the second run takes its settings from the store. After
// SIGTERM the daemon keeps serving for listenGrace, but withdraws its DNS-SD records.
func TestServeUntilSIGTERM(t *testing.T) {
	dir := t.TempDir()
	t.Chdir(dir)
	listen, flightAddr, dnsAddr := freeAddr(t, "tcp"), freeAddr(t, "tcp"), freeAddr(t, "udp")
	deploy := fmt.Sprintf("[flight]\nlisten = %q\n[dnssd]\nserve = %q\n[store]\ndirectory = %q\n", flightAddr,
		dnsAddr, filepath.Join(dir, "store"))
	if err := os.Mkdir("deploy", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile("deploy/gullfall.toml", []byte(deploy), 0o644); err != nil {
		t.Fatal(err)
	}
	t.Setenv("NODE_CONFIG", filepath.Join(dir, "config.json"))
	for round, settingsJSON := range []string{`,"settings":` + settings, ""} {
		config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
			"limits":{"cores":1.0,"memory_mb":192,"sockets":1024}%s}`, listen, freeAddr(t, "tcp"), settingsJSON)
		if err := os.WriteFile("config.json", []byte(config), 0o644); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- serve() }()
		for end := time.Now().Add(20 * time.Second); getStatusLine(listen, "/up") != "HTTP/1.1 200 OK"; time.Sleep(10 * time.Millisecond) {
			select {
			case err := <-ended:
				t.Fatalf("round %d: ended with %v", round, err)
			default:
			}
			if time.Now().After(end) {
				t.Fatalf("round %d: never up", round)
			}
		}
		cc, err := grpc.NewClient("passthrough:///"+flightAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(10*time.Second))
		stream, err := arrowflight.NewClientFromConn(cc, nil).DoGet(ctx, &arrowflight.Ticket{Ticket: []byte(`{"class":"none"}`)},
			grpc.WaitForReady(true))
		if err == nil {
			_, err = stream.Recv()
		}
		if status.Code(err) != codes.InvalidArgument {
			t.Errorf("round %d: an unknown class by Flight: %v", round, err)
		}
		cancel()
		cc.Close()
		q := new(dns.Msg).SetQuestion("n0._gullfall._tcp.local.", dns.TypeSRV)
		if m, _, err := new(dns.Client).Exchange(q, dnsAddr); err != nil || len(m.Answer) != 1 {
			t.Errorf("round %d: own records: %v, %v", round, m, err)
		}
		if round == 0 {
			time.Sleep(3 * time.Second) // the settings are stored once the store's only member leads
		}
		start := time.Now()
		syscall.Kill(os.Getpid(), syscall.SIGTERM)
		time.Sleep(600 * time.Millisecond)
		if got := getStatusLine(listen, "/up"); got != "HTTP/1.1 200 OK" && time.Since(start) < listenGrace {
			t.Errorf("round %d: a client that connects 0.6 s after SIGTERM gets %q", round, got)
		}
		list := new(dns.Msg).SetQuestion("_gullfall._tcp.local.", dns.TypePTR)
		if m, _, err := new(dns.Client).Exchange(list, dnsAddr); err != nil || len(m.Answer) != 0 {
			t.Errorf("round %d: records are still served during the drain: %v, %v", round, m, err)
		}
		if err := <-ended; err != nil {
			t.Errorf("round %d: %v", round, err)
		}
	}
}

// TestReloadMovesWatch: repeated SIGHUPs, also with a faulty file or during a drain, do not end the daemon, and the watch moves to the
// discovery address that changed in the file, although NODE_DISCOVERY gave another at startup.
func TestReloadMovesWatch(t *testing.T) {
	t.Chdir(t.TempDir())
	listen := freeAddr(t, "tcp")
	watched := make(chan string, 9)
	discovery := func(name string) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go func() {
			for nc, err := ln.Accept(); err == nil; nc, err = ln.Accept() {
				t.Cleanup(func() { nc.Close() })
				io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n{\"version\":1,\"full\":true,\"servers\":[]}\n")
				watched <- name
			}
		}()
		return ln.Addr().String()
	}
	first, second := discovery("first"), discovery("second")
	t.Setenv("NODE_CONFIG", "config.json")
	t.Setenv("NODE_DISCOVERY", first)
	write := func(discovery string) {
		config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","settings":%s}`, listen, discovery, settings)
		if err := os.WriteFile("config.json", []byte(config), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-watched:
			if got != want {
				t.Fatalf("the watch is on the %s address, not the %s", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("no watch on the %s address", want)
		}
	}
	write(first)
	ended := make(chan error, 1)
	go func() { ended <- serve() }()
	expect("first")
	for _, to := range []struct{ addr, watch string }{{"nowhere", ""}, {second, "second"}, {first, "first"}} {
		write(to.addr)
		for range 3 {
			syscall.Kill(os.Getpid(), syscall.SIGHUP)
			time.Sleep(10 * time.Millisecond)
		}
		if to.watch != "" {
			expect(to.watch)
		}
	}
	if got := getStatusLine(listen, "/up"); got != "HTTP/1.1 200 OK" {
		t.Errorf("after reloads: %q", got)
	}
	write(second)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	expect("second")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestDrainEndsDespiteSlowClient: a client that never completes its request does not keep a drain from ending.
func TestDrainEndsDespiteSlowClient(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	c, err := coordinator.New(aggregator.Settings{ShardSets: 1, Shards: 1, Reach: 1,
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: time.Second}}}, 1, log, membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clients := &platform.Server{Coordinator: c, Log: log, MaxConns: 9, BodyMemory: 1 << 20}
	go clients.Serve(ln)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, "POST /report HTTP/1.1\r\n") // the rest of the request never follows
	start := time.Now()
	d := &daemon{coordinator: c, fronts: fronts{listener: ln, clients: clients}, log: log}
	d.drain(start.Add(listenGrace + 300*time.Millisecond))
	if took := time.Since(start); took < listenGrace || took > 5*time.Second {
		t.Errorf("the drain took %v", took)
	}
}
