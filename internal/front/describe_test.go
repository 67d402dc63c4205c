package front

import (
	"strings"
	"testing"

	"github.com/pion/sdp/v3"
)

const boxDescription = "v=0\r\no=box 3 4 IN IP4 10.0.0.9\r\ns=secret\r\nc=IN IP4 10.0.0.9\r\nt=0 0\r\na=range:npt=0-60\r\na=control:rtsp://10.0.0.9/x\r\n" +
	"m=video 0 RTP/AVP 96\r\na=rtpmap:96 H264/90000\r\na=fmtp:96 packetization-mode=1\r\na=control:rtsp://10.0.0.9/x/track0\r\n" +
	"m=audio 0 RTP/AVP 97\r\na=rtpmap:97 MPEG4-GENERIC/48000/2\r\na=control:track1\r\n"

func TestDescription(t *testing.T) {
	out, err := rewriteDescription([]byte(boxDescription))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a=control:*", "a=control:track0", "a=control:track1", "packetization-mode=1", "npt=0-60", "H264/90000"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("%s missing in\n%s", want, out)
		}
	}
	if strings.Contains(string(out), "10.0.0.9") || strings.Contains(string(out), "secret") {
		t.Errorf("description identifies the box:\n%s", out)
	}
	for name, in := range map[string]string{"nothing": "", "no tracks": boxDescription[:strings.Index(boxDescription, "m=video")], "no SDP": "hello",
		"three tracks": boxDescription + "m=audio 0 RTP/AVP 98\r\na=rtpmap:98 L16/48000\r\n", "audio first": strings.Replace(boxDescription, "m=video", "m=audio", 1),
		"another clock": strings.Replace(boxDescription, "/90000", "/44100", 1), "long": boxDescription + strings.Repeat("a=x\r\n", 9000)} {
		if out, err := rewriteDescription([]byte(in)); err == nil {
			t.Errorf("%s: accepted as\n%s", name, out)
		}
	}
}

func FuzzDescription(f *testing.F) {
	f.Add([]byte(boxDescription))
	f.Fuzz(func(t *testing.T, in []byte) {
		out, err := rewriteDescription(in)
		if err != nil {
			return
		}
		var again sdp.SessionDescription
		if err := again.Unmarshal(out); err != nil || len(again.MediaDescriptions) == 0 {
			t.Fatalf("input %q, invalid output %q: %v", in, out, err)
		}
	})
}
