package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxHeadFields is the most fields that a head or a trailer section may have.
const maxHeadFields = 100

var (
	// errSyntax is wrapped by the errors for lines that the grammar of HTTP/1.1 (RFC 9112) does not allow. Behind such a line it is
	// unknown where the message ends, so that nothing more may be read from the connection.
	errSyntax = errors.New("malformed HTTP")
	// errLineTooLong reports a line that is longer than the reader's buffer.
	errLineTooLong = errors.New("line too long")
	// errTooManyFields reports more than maxHeadFields fields.
	errTooManyFields = fmt.Errorf("more than %d header fields", maxHeadFields)
)

// readLine reads a line and returns it without its CRLF. It is valid until the next read. A line end that is only LF is an error: a
// sender that means it differently would disagree on where the head ends.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errLineTooLong
	}
	if err != nil {
		return nil, err
	}
	text, terminated := bytes.CutSuffix(line, []byte("\r\n"))
	if !terminated {
		return nil, fmt.Errorf("%w: line %.40q does not end in CRLF", errSyntax, line)
	}
	return text, nil
}

// readFields reads field lines up to and including the empty line behind them, and calls use for each. It keeps none of them: use
// copies what it needs.
func readFields(in *bufio.Reader, use func(name, value []byte) error) error {
	for count := 0; ; count++ {
		line, err := readLine(in)
		if err != nil || len(line) == 0 {
			return err
		}
		if count == maxHeadFields {
			return errTooManyFields
		}
		name, value, err := parseFieldLine(line)
		if err != nil {
			return err
		}
		if err := use(name, value); err != nil {
			return err
		}
	}
}

// parseFieldLine splits a line into the name and the value of a field (RFC 9112, 5). White space before the colon and lines that
// continue the one before are errors: other readers take them for other fields, which could hide a request in the body.
func parseFieldLine(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, fmt.Errorf("%w: field line %.40q", errSyntax, line)
	}
	value = bytes.Trim(value, " \t")
	if !isFieldText(value) {
		return nil, nil, fmt.Errorf("%w: value of field %.40q", errSyntax, name)
	}
	return name, value, nil
}

// isToken reports whether text is a token (RFC 9110, 5.6.2), such as a method or the name of a field.
func isToken(text []byte) bool {
	for _, b := range text {
		isAlphanumeric := b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isFieldText reports whether text may stand in the value of a field: no control character but tab.
func isFieldText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// fieldIs reports whether a field has this name. Names are case-insensitive.
func fieldIs(name []byte, known string) bool {
	return len(name) == len(known) && strings.EqualFold(string(name), known)
}

// bodyFraming tells where a body ends: after its last chunk, after size bytes, or, if it is neither chunked nor sized, where the kind of
// message says.
type bodyFraming struct {
	chunked bool
	sized   bool
	size    int64
}

// add takes over a field that frames the body, and skips any other. Two such fields in one message are an error, because it would
// be ambiguous which one applies: a reader that takes the other one would find a different request behind the body.
func (f *bodyFraming) add(name, value []byte) (err error) {
	isLength := fieldIs(name, "Content-Length")
	if !isLength && !fieldIs(name, "Transfer-Encoding") {
		return nil
	}
	if f.sized || f.chunked {
		return fmt.Errorf("%w: the body is framed twice", errSyntax)
	}
	if !isLength {
		f.chunked = strings.EqualFold(string(value), "chunked")
		if !f.chunked {
			return fmt.Errorf("%w: Transfer-Encoding %.40q", errSyntax, value)
		}
		return nil
	}
	f.sized = true
	f.size, err = parseNumber(value, 10)
	return err
}

// maxNumberDigits is the most digits that a number in the framing may have; leading zeros count.
const maxNumberDigits = 15

// parseNumber parses a length or the size of a chunk: digits of the base, and nothing else.
func parseNumber(text []byte, base int) (int64, error) {
	n, err := strconv.ParseUint(string(text), base, 63)
	if err != nil || len(text) > maxNumberDigits {
		return 0, fmt.Errorf("%w: number %.40q", errSyntax, text)
	}
	return int64(n), nil
}
