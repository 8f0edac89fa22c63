package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
)

var (
	// ErrUnreachable is returned by Call if no coordinator serves the socket.
	ErrUnreachable = errors.New("no coordinator answers at the admin socket")
	// ErrConnectionClosed is returned by Call if the connection was closed without a response.
	ErrConnectionClosed = errors.New("the connection was closed: too many are open, or the coordinator ends")
)

// CommandError is the failure of a command as reported by the coordinator.
type CommandError struct {
	Command string
	Reason  string
}

func (e *CommandError) Error() string { return e.Reason }

// Call sends a command to the coordinator that serves the socket at path, and decodes the response into result. args may be nil.
// Call returns when ctx ends. If the command itself failed, the error is a CommandError.
func Call(ctx context.Context, path, command string, args, result any) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	closeConn := func() { _ = nc.Close() }
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	req := request{Command: command}
	if args != nil {
		if req.Args, err = json.Marshal(args); err != nil {
			return fmt.Errorf("arguments of %s: %w", command, err)
		}
	}
	if err := json.NewEncoder(nc).Encode(req); err != nil {
		return err
	}
	var resp response
	if err := json.NewDecoder(nc).Decode(&resp); errors.Is(err, io.EOF) {
		return ErrConnectionClosed
	} else if err != nil {
		return err
	}
	if resp.Failed != "" {
		return &CommandError{Command: command, Reason: resp.Failed}
	}
	return json.Unmarshal(resp.OK, result)
}
