// Package control implements the operators' interface of a running front: gRPC over a unix socket in its instance's
// folder. Requests and responses are google.protobuf.Struct, so that any gRPC client works without a service definition:
//
//	rainhaven.Control/Status    process state and health
//	rainhaven.Control/Sessions  {} or {"most": n}: sessions, ordered by id, n at most
//	rainhaven.Control/Boxes     what the front knows of each box
//	rainhaven.Control/Explain   {"session": id}: why the session got its box and rung, or was turned away; {}: the same
//	                            for the latest session that was turned away
//	rainhaven.Control/Drain     starts a drain
//	rainhaven.Control/Reload    reloads the settings
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"
)

// Service is implemented by a front. The values it returns must be encodable as JSON objects or lists.
type Service interface {
	Status() any
	Sessions(maxCount int) any
	Boxes() any
	Explain(session string) ([]string, error)
	Drain()
	Reload()
}

// maxSessions limits the sessions in one response, as a gRPC message may have 4 MB.
const maxSessions = 5000

// methods maps each method name of the gRPC service to its handler.
var methods = map[string]func(s Service, in map[string]any) (any, error){
	"Status": func(s Service, _ map[string]any) (any, error) { return s.Status(), nil },
	"Sessions": func(s Service, in map[string]any) (any, error) {
		count := maxSessions
		if n, ok := in["most"].(float64); ok && n >= 0 && n < maxSessions {
			count = int(n)
		}
		return map[string]any{"sessions": s.Sessions(count)}, nil
	},
	"Boxes": func(s Service, _ map[string]any) (any, error) { return map[string]any{"boxes": s.Boxes()}, nil },
	"Explain": func(s Service, in map[string]any) (any, error) {
		id, _ := in["session"].(string)
		lines, err := s.Explain(id)
		return map[string]any{"lines": lines}, err
	},
	"Drain":  func(s Service, _ map[string]any) (any, error) { s.Drain(); return map[string]any{}, nil },
	"Reload": func(s Service, _ map[string]any) (any, error) { s.Reload(); return map[string]any{}, nil },
}

func serviceDesc() *grpc.ServiceDesc {
	d := &grpc.ServiceDesc{ServiceName: "rainhaven.Control", HandlerType: (*Service)(nil)}
	for name, handle := range methods {
		d.Methods = append(d.Methods, grpc.MethodDesc{MethodName: name,
			Handler: func(srv any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
				in := &structpb.Struct{}
				if err := decode(in); err != nil {
					return nil, err
				}
				out, err := handle(srv.(Service), in.AsMap())
				if err != nil {
					return nil, err
				}
				return toStruct(out)
			}})
	}
	return d
}

// toStruct converts a value that encodes to a JSON object into a protobuf Struct.
func toStruct(v any) (*structpb.Struct, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	s := &structpb.Struct{}
	return s, s.UnmarshalJSON(b)
}

// Listen opens a front's control socket. The caller holds the folder's lock, so an existing socket file is stale or belongs
// to the process being replaced, and is removed.
func Listen(path string) (net.Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the path may belong to the next process
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Serve handles requests until ctx is done.
func Serve(ctx context.Context, l net.Listener, s Service) error {
	g := grpc.NewServer(grpc.MaxRecvMsgSize(64<<10), grpc.MaxConcurrentStreams(16), grpc.ConnectionTimeout(5*time.Second))
	g.RegisterService(serviceDesc(), s)
	stop := context.AfterFunc(ctx, g.Stop)
	defer stop()
	return g.Serve(l)
}

// Call sends one request to a front and returns its response.
func Call(ctx context.Context, path, method string, in map[string]any) (map[string]any, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("no front is running: %w", err)
	}
	c, err := grpc.NewClient("unix:"+path, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	m, err := structpb.NewStruct(in)
	if err != nil {
		return nil, err
	}
	out := &structpb.Struct{}
	if err := c.Invoke(ctx, "/rainhaven.Control/"+method, m, out); err != nil {
		if s, ok := status.FromError(err); ok {
			return nil, errors.New(strings.ToLower(s.Code().String()) + ": " + s.Message())
		}
		return nil, err
	}
	return out.AsMap(), nil
}
