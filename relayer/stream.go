package relayer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/mem"
)

const (
	serviceName    = "coltsfootlever.relayer.Relay"
	methodName     = "Forward"
	connectTimeout = time.Second
	windowBytes    = 1 << 20 // a fixed window, because measuring the bandwidth costs a ping for most frames
	bufferBytes    = 16 << 10
)

type (
	// Stream carries frames in both directions. Send must not keep the frame.
	Stream interface {
		Send(frame []byte) error
		Receive() (string, error)
	}

	// Dialer opens a stream to the relay at address. The stream ends with ctx.
	Dialer func(ctx context.Context, address string) (Stream, error)

	frame struct {
		out []byte
		in  string
	}

	// frameCodec passes frames through as they are, since they are encoded by hand.
	frameCodec struct{}

	grpcStream interface {
		SendMsg(m any) error
		RecvMsg(m any) error
	}

	messageStream struct{ grpcStream }

	forwarder interface {
		Serve(ctx context.Context, s Stream) error
	}
)

var (
	forwardDesc = grpc.StreamDesc{
		StreamName: methodName, ServerStreams: true, ClientStreams: true,
		Handler: func(srv any, s grpc.ServerStream) error { return srv.(forwarder).Serve(s.Context(), messageStream{s}) },
	}
	serviceDesc = grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*forwarder)(nil), Streams: []grpc.StreamDesc{forwardDesc}}
)

// Marshal implements encoding.CodecV2.
func (frameCodec) Marshal(v any) (mem.BufferSlice, error) {
	f, ok := v.(*frame)
	if !ok {
		return nil, errors.NotValidf("message of type %T", v)
	}
	return mem.BufferSlice{mem.Copy(f.out, mem.DefaultBufferPool())}, nil
}

// Unmarshal implements encoding.CodecV2.
func (frameCodec) Unmarshal(data mem.BufferSlice, v any) error {
	f, ok := v.(*frame)
	if !ok {
		return errors.NotValidf("message of type %T", v)
	}
	if len(data) == 1 {
		f.in = string(data[0].ReadOnlyData())
		return nil
	}
	f.in = string(data.Materialize())
	return nil
}

// Name implements encoding.CodecV2.
func (frameCodec) Name() string { return "relay" }

// Send implements Stream.
func (s messageStream) Send(data []byte) error {
	return s.SendMsg(&frame{out: data})
}

// Receive implements Stream.
func (s messageStream) Receive() (string, error) {
	var f frame
	err := s.RecvMsg(&f)
	return f.in, err
}

// Dial opens a stream over a new gRPC connection, which is closed when ctx ends.
func Dial(ctx context.Context, address string) (Stream, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithIdleTimeout(0), grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(frameCodec{}), grpc.MaxCallRecvMsgSize(maxFrameBytes), grpc.MaxCallSendMsgSize(maxFrameBytes)),
		grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes), grpc.WithWriteBufferSize(bufferBytes), grpc.WithReadBufferSize(bufferBytes),
	)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to the relay at %s", address)
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() }) // the stream has ended
	opened, err := conn.NewStream(ctx, &forwardDesc, "/"+serviceName+"/"+methodName)
	if err != nil {
		_ = conn.Close() // nothing has been sent
		return nil, errors.Annotatef(err, "opening a stream to the relay at %s", address)
	}
	return messageStream{opened}, nil
}
