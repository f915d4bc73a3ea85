package messenger

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootlever/coltsfootlever/messenger/peerpb"
)

// fuzzRoundTrip checks that each message that can be decoded stays the same when
// it is encoded and decoded again.
func fuzzRoundTrip[P proto.Message, R any](
	f *testing.F,
	seed P,
	decode func(P) (R, error),
	encode func(R) P,
) {
	raw, err := proto.Marshal(seed)
	require.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		p := seed.ProtoReflect().New().Interface().(P)
		if proto.Unmarshal(raw, p) != nil {
			return
		}
		r, err := decode(p)
		if err != nil {
			return
		}
		roundTripped, err := decode(encode(r))
		require.NoError(t, err)
		require.Equal(t, r, roundTripped)
	})
}

func FuzzHeartbeat(f *testing.F) {
	seed := &peerpb.Beat{From: "a.1", Pools: []*peerpb.PoolLoad{{Pool: "p"}}, Teams: []*peerpb.TeamLoad{{Team: "t"}}}
	fuzzRoundTrip(f, seed, decodeHeartbeat, encodeHeartbeat)
}

func FuzzClaim(f *testing.F) {
	seed := &peerpb.ClaimRequest{Name: "n", Member: "a.1", Task: "k", Digest: make([]byte, 32)}
	fuzzRoundTrip(f, seed, decodeClaimRequest, encodeClaimRequest)
}

func FuzzClaimReply(f *testing.F) {
	fuzzRoundTrip(f, &peerpb.ClaimReply{Err: &peerpb.Error{Code: "repeated"}}, decodeClaimReply, encodeClaimReply)
}

func FuzzSettle(f *testing.F) {
	seed := &peerpb.SettleRequest{Name: "n", Task: "k", Verdict: peerpb.Verdict_VERDICT_NOT_RUN}
	fuzzRoundTrip(f, seed, decodeSettleRequest, encodeSettleRequest)
}

func FuzzHandOver(f *testing.F) {
	held := &peerpb.HeldName{Hash: make([]byte, 16), Digest: make([]byte, 32), ClaimedNs: 5}
	seed := &peerpb.HandOverRequest{From: "a.1", Names: []*peerpb.HeldName{held}}
	fuzzRoundTrip(f, seed, decodeHandOverRequest, encodeHandOverRequest)
}

func FuzzForward(f *testing.F) {
	seed := &peerpb.ForwardRequest{Task: &peerpb.Task{Id: "k", Slots: 1, DeadlineNs: 7}}
	fuzzRoundTrip(f, seed, decodeForwardRequest, encodeForwardRequest)
}

func FuzzAnswer(f *testing.F) {
	fuzzRoundTrip(f, &peerpb.Answer{Task: "k", Digest: make([]byte, 32)}, decodeAnswer, encodeAnswer)
}
