package platform

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/internal/coordinator"
)

func TestFrameEncoding(t *testing.T) {
	call := beginFrame(frameTypeCall)
	call = appendPart(call, &coordinator.Attempt{ID: "q.0", Shard: 0, Text: "text"}, 240*time.Millisecond)
	call = appendPart(call, &coordinator.Attempt{ID: "q.3", Shard: 3, IdempotencyKey: "key", Text: "more\ntext"}, 1999*time.Microsecond)
	for _, c := range []struct {
		name string
		got  []byte
		want string
	}{
		{"call of two parts", finishFrame(call), "\x2e\x00\x00\x00Qq.0 0 d=240 4\ntextq.3 3 d=1,k=key 9\nmore\ntext"},
		{"cancel", cancelFrame("q.3"), "\x04\x00\x00\x00Xq.3"},
		{"load check", loadCheckFrame(), "\x01\x00\x00\x00L"},
	} {
		if diff := cmp.Diff(c.want, string(c.got)); diff != "" {
			t.Errorf("%s (-want +got)\n%s", c.name, diff)
		}
	}
	if !isEmpty(beginFrame(frameTypeCall)) || isEmpty(call) {
		t.Error("isEmpty must be true exactly for a call without parts")
	}
}

// textConn is a connection on which a text arrives.
type textConn struct{ *strings.Reader }

func (textConn) SetReadDeadline(time.Time) error { return nil }

func TestFrameReader(t *testing.T) {
	answer := encodeFrame("Aq.3 ok 18 inflight=7,util=0.5\nvalue")
	load := map[string]float64{"inflight": 7, "util": 0.5}
	for _, c := range []struct {
		name, in string
		want     []receivedFrame
		end      error
	}{
		{"nothing", "", nil, io.EOF},
		{"answer", answer, []receivedFrame{{"q.3", coordinator.OK, []byte("value"), load}}, io.EOF},
		{"answers without a value", encodeFrame("Aq.3 busy 0 -\n") + encodeFrame("Aq.3 err 0 -\n"), []receivedFrame{
			{"q.3", coordinator.Overloaded, []byte{}, map[string]float64{}}, {"q.3", coordinator.Errored, []byte{}, map[string]float64{}}}, io.EOF},
		{"answers to checks", encodeFrame("L{\"util\":0.5,\"name\":\"a\"}") + encodeFrame("Lerr") + encodeFrame("Pok"), []receivedFrame{
			{"", coordinator.OK, nil, map[string]float64{"util": 0.5}}, {"", coordinator.Errored, nil, map[string]float64{}},
			{"", coordinator.OK, nil, map[string]float64{}}}, io.EOF},
		{"truncated in its header", answer[:3], nil, io.EOF},
		{"truncated in its value", answer[:len(answer)-1], nil, io.ErrUnexpectedEOF},
		{"type that data nodes don't send", encodeFrame("Qq.3"), nil, errCorrupt},
		{"length zero", "\x00\x00\x00\x00A", nil, errCorrupt},
		{"length over the limit", "\xff\xff\xff\x7fA", nil, errCorrupt},
		{"load report over the limit", encodeFrame("L" + strings.Repeat("x", maxFrameLine+1)), nil, errCorrupt},
		{"data node reports an error", encodeFrame("Ewhat was that"), nil, errCorrupt},
		{"unexpected id", encodeFrame("Aother ok 0 -\nvalue"), nil, errCorrupt},
		{"unknown outcome", encodeFrame("Aq.3 fine 0 -\nvalue"), nil, errCorrupt},
		{"answer line with words missing", encodeFrame("Aq.3 ok 0\nvalue"), nil, errCorrupt},
		{"unterminated line", encodeFrame("A" + strings.Repeat("x", maxFrameLine+1)), nil, errCorrupt},
		{"line longer than the frame", encodeFrame("Aq.3 ok") + " 0 -\n", nil, errCorrupt},
		{"control character in the value", encodeFrame("Aq.3 ok 0 -\na\x00b"), nil, errCorrupt},
		{"length that truncates the value", encodeFrame("Aq.3 ok 0 -\nval") + "ue of the answer", nil, errCorrupt},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFrameReader(textConn{strings.NewReader(c.in)}, func(id string) bool { return id == "q.3" })
			var got []receivedFrame
			for {
				f, err := r.next()
				if err == nil {
					err = r.checkEnd()
				}
				if err != nil {
					if !errors.Is(err, c.end) {
						t.Errorf("ended with %v, want %v", err, c.end)
					}
					break
				}
				got = append(got, f)
			}
			if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(receivedFrame{})); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

// TestWrongLengthIsFound guards against a value that is served cut off because the length of its frame is too small: however long
// the value is and in whichever pieces it arrives, its remainder must be found. Frames with the right length pass.
func TestWrongLengthIsFound(t *testing.T) {
	pieces := []int{1, 7, 536, 1024, 1448, 4096, 1 << 20} // bytes that arrive at once
	for _, size := range []int{1, 40, 1000, 1010, 1500, 2000, 6000, 60_000} {
		for _, missing := range []int{0, 1, 4, 5, 900, 1500, 5000} {
			if missing > size {
				continue
			}
			for _, piece := range pieces {
				frame := encodeFrame("Aq.3 ok 18 -\n" + strings.Repeat("v", size))
				spoilt := encodeFrame("Aq.3 ok 18 -\n" + strings.Repeat("v", size-missing))[:frameLengthBytes] + frame[frameLengthBytes:]
				if err := readFrameInPieces(t, spoilt, piece); (err == nil) != (missing == 0) {
					t.Errorf("value of %d bytes with a length that is %d too small, in pieces of %d: %v", size, missing, piece, err)
				}
			}
		}
	}
}

// readFrameInPieces reads a frame that arrives in pieces 1 ms apart, the first eight of them of the given size, and returns the error.
func readFrameInPieces(t *testing.T, frame string, piece int) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		var sender sync.WaitGroup
		sender.Go(func() {
			for range 8 {
				n := min(piece, len(frame))
				io.WriteString(theirs, frame[:n])
				time.Sleep(time.Millisecond)
				frame = frame[n:]
			}
			io.WriteString(theirs, frame)
		})
		ours.SetReadDeadline(time.Now().Add(readFrameTimeout))
		r := newFrameReader(ours, func(string) bool { return true })
		if _, err = r.next(); err == nil {
			err = r.checkEnd()
		}
		ours.Close()
		sender.Wait()
	})
	return err
}
