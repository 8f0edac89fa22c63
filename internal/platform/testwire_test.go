package platform

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// readResponse reads an HTTP response. It returns the status, "after" if Retry-After is set, "close" if the connection closes, and
// the body.
func readResponse(in *textproto.Reader) (string, error) {
	line, err := in.ReadLine()
	if err != nil {
		return "", err
	}
	header, err := in.ReadMIMEHeader()
	if err != nil {
		return "", err
	}
	n, _ := strconv.Atoi(header.Get("Content-Length"))
	body := make([]byte, n)
	_, err = io.ReadFull(in.R, body)
	text := strings.Fields(line)[1]
	if header.Get("Retry-After") != "" {
		text += " after"
	}
	if header.Get("Connection") == "close" {
		text += " close"
	}
	return text + " " + string(body), err
}

// readFrameText reads a frame and returns its type and payload; of a call only the ids and keys of the parts.
func readFrameText(in *bufio.Reader) (string, error) {
	text, _, err := readFrame(in)
	return text, err
}

// readFrame is like readFrameText, and also returns the time left that a call gives for each part, by id.
func readFrame(in *bufio.Reader) (string, map[string]time.Duration, error) {
	var size uint32
	if err := binary.Read(in, binary.LittleEndian, &size); err != nil {
		return "", nil, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return "", nil, err
	}
	left := map[string]time.Duration{}
	text, rest := string(body[0]), string(body[1:])
	if text == "Q" {
		var ids []string
		for rest != "" {
			line, after, _ := strings.Cut(rest, "\n")
			words := strings.Fields(line)
			n, _ := strconv.Atoi(words[3])
			if after[:n] != "text" {
				return "", nil, fmt.Errorf("text %q", after[:n])
			}
			timeLeft, _, _ := strings.Cut(strings.TrimPrefix(words[2], "d="), ",")
			ms, err := strconv.Atoi(timeLeft)
			if err != nil {
				return "", nil, fmt.Errorf("time %q", words[2])
			}
			left[words[0]] = time.Duration(ms) * time.Millisecond
			if _, key, keyed := strings.Cut(words[2], ",k="); keyed {
				words[0] += "(k=" + key + ")"
			}
			ids, rest = append(ids, words[0]), after[n:]
		}
		rest = strings.Join(ids, ",")
	}
	return strings.TrimSpace(text + " " + rest), left, nil
}

// encodeFrame returns a frame with the given type and payload.
func encodeFrame(body string) string {
	return string(binary.LittleEndian.AppendUint32(nil, uint32(len(body)))) + body
}
