// Package control lets people ask one running front, by gRPC over a unix socket in its instance's folder. Messages are
// google.protobuf.Struct both ways, so that any gRPC client can speak to it without a definition of its own:
//
//	rainhaven.Control/Status    the process and its health
//	rainhaven.Control/Sessions  {} or {"most": n}: sessions, by id
//	rainhaven.Control/Boxes     what the front knows of each box
//	rainhaven.Control/Explain   {"session": id}: why it got its box and rung, or was turned away; without, the last one
//	                            that was
//	rainhaven.Control/Drain, rainhaven.Control/Reload
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

// Service is what a front answers with: values that JSON can say.
type Service interface {
	Status() any
	Sessions(most int) any
	Boxes() any
	Explain(session string) ([]string, error)
	Drain()
	Reload()
}

// mostSessions is how many sessions one answer holds at most; a message of gRPC's may have 4 MB.
const mostSessions = 5000

// methods are those of the service.
var methods = map[string]func(s Service, in map[string]any) (any, error){
	"Status": func(s Service, _ map[string]any) (any, error) { return s.Status(), nil },
	"Sessions": func(s Service, in map[string]any) (any, error) {
		most := mostSessions
		if n, ok := in["most"].(float64); ok && n >= 0 && n < mostSessions {
			most = int(n)
		}
		return map[string]any{"sessions": s.Sessions(most)}, nil
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

func describe() *grpc.ServiceDesc {
	d := &grpc.ServiceDesc{ServiceName: "rainhaven.Control", HandlerType: (*Service)(nil)}
	for name, do := range methods {
		d.Methods = append(d.Methods, grpc.MethodDesc{MethodName: name,
			Handler: func(srv any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
				in := &structpb.Struct{}
				if err := decode(in); err != nil {
					return nil, err
				}
				out, err := do(srv.(Service), in.AsMap())
				if err != nil {
					return nil, err
				}
				return pack(out)
			}})
	}
	return d
}

// pack makes a message of any value that JSON can say.
func pack(v any) (*structpb.Struct, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	s := &structpb.Struct{}
	return s, s.UnmarshalJSON(b)
}

// Listen opens a front's socket. One that is there is left over, as the folder's lock is held.
func Listen(path string) (net.Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the next process has its own there by then
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Serve answers until the context is done.
func Serve(ctx context.Context, l net.Listener, s Service) error {
	g := grpc.NewServer(grpc.MaxRecvMsgSize(64<<10), grpc.MaxConcurrentStreams(16), grpc.ConnectionTimeout(5*time.Second))
	g.RegisterService(describe(), s)
	stop := context.AfterFunc(ctx, g.Stop)
	defer stop()
	return g.Serve(l)
}

// Call sends a front one request and gives its answer.
func Call(ctx context.Context, path, method string, in map[string]any) (map[string]any, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("no front answers there: %w", err)
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
