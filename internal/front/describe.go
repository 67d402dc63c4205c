package front

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pion/sdp/v3"

	"rainhaven/choice"
	"rainhaven/choice/describe"
	"rainhaven/internal/rtsp"
)

// media are the tracks of a title: video and sound, as boxes hold them.
var media = [...]struct {
	kind  string
	clock uint32
}{
	{"video", 90000},
	{"audio", 48000},
}

// describe answers DESCRIBE from the cache, or has a holder asked. Requests that wait hold their connections' slots, so
// there are as many as those at most.
func (v *viewer) describe(s *slot) {
	f := v.f
	p, err := rtsp.ParseURL(s.req.URL)
	title, known := f.terms().Titles[p.Title]
	if err != nil || f.terms().GroupIndex(p.Group) < 0 || !known {
		v.status(s, rtsp.NotFound)
		return
	}
	f.wait[p.Title] = append(f.wait[p.Title], waiter{v, s, p})
	step, box, body := f.described.Request(f.now(), p.Title, title.StartCell, title.Span)
	f.carryDescription(p.Title, step, box, body)
}

// waiter is a viewer's DESCRIBE that has no answer yet.
type waiter struct {
	v *viewer
	s *slot
	p rtsp.Resource
}

// carryDescription carries out a step for a title.
func (f *Front) carryDescription(title string, step describe.Action, box choice.ServerID, body []byte) {
	switch step {
	case describe.Fetch:
		f.askDescription(title, box)
	case describe.Answer, describe.Fail:
		list := f.wait[title]
		delete(f.wait, title)
		for _, w := range list {
			w.answer(body)
		}
	}
}

func (w waiter) answer(body []byte) {
	if body == nil {
		w.v.status(w.s, rtsp.GatewayTimeout)
		return
	}
	w.p.Track = -1
	r := rtsp.NewResponse(w.s.req, rtsp.OK).WithHeader("Content-Type", "application/sdp").WithHeader("Content-Base", w.p.URL()+"/")
	r.Body = append([]byte(nil), body...)
	w.v.respond(w.s, r)
}

// askDescription asks a holder and hears it out for its time.
func (f *Front) askDescription(title string, box choice.ServerID) {
	t := f.terms().Titles[title]
	over := false
	got := func(body []byte, outcome string) {
		if over {
			return
		}
		over = true
		f.count.descriptions.WithLabelValues(outcome).Inc()
		step, next, b := f.described.HandleReply(f.now(), title, box, body, t.StartCell, t.Span)
		f.carryDescription(title, step, next, b)
	}
	f.connect(f.context, box, func(c *boxConn) {
		if c == nil {
			got(nil, "no connection")
			return
		}
		timer := time.AfterFunc(time.Duration(describe.FetchTimeout*1e9), func() {
			f.post(func() {
				if !over {
					got(nil, "timed out")
					c.close()
				}
			})
		})
		url := rtsp.Resource{Host: c.host, Group: f.terms().Groups[0].Name, Title: title, Track: -1}.URL()
		c.send(rtsp.NewRequest(rtsp.Describe, url).WithHeader("Accept", "application/sdp"), func(m *rtsp.Message) {
			timer.Stop()
			if m == nil {
				got(nil, "broken")
				return
			}
			if over {
				return
			}
			c.idle()
			body, err := description(m.Body)
			switch {
			case m.Status != rtsp.OK:
				got(nil, fmt.Sprint(m.Status))
			case err != nil:
				f.log.Info("a box's description can't be used")
				got(nil, "unusable")
			default:
				got(body, "taken")
			}
		})
	})
}

// mostSDP bounds a description; those of two tracks take under 1 kB.
const mostSDP = 16 << 10

// description makes a box's description the front's: one video track and at most one of sound, in that order, with the
// clocks that the relay counts by; where each is found is told relative to Content-Base, and of the box nothing stays.
func description(body []byte) ([]byte, error) {
	if len(body) == 0 || len(body) > mostSDP {
		return nil, fmt.Errorf("a description of %d bytes", len(body))
	}
	var in sdp.SessionDescription
	if err := in.Unmarshal(body); err != nil {
		return nil, err
	}
	if n := len(in.MediaDescriptions); n == 0 || n > len(media) {
		return nil, fmt.Errorf("%d tracks", n)
	}
	out := sdp.SessionDescription{
		Origin:                sdp.Origin{Username: "-", SessionID: in.Origin.SessionID, SessionVersion: in.Origin.SessionVersion, NetworkType: "IN", AddressType: "IP4", UnicastAddress: "0.0.0.0"},
		SessionName:           "-",
		ConnectionInformation: &sdp.ConnectionInformation{NetworkType: "IN", AddressType: "IP4", Address: &sdp.Address{Address: "0.0.0.0"}},
		TimeDescriptions:      []sdp.TimeDescription{{}},
		Attributes:            append(kept(in.Attributes, "range"), sdp.NewAttribute("control", "*")),
	}
	for i, m := range in.MediaDescriptions {
		if m.MediaName.Media != media[i].kind || len(m.MediaName.Formats) == 0 {
			return nil, fmt.Errorf("track %d is %.20q", i, m.MediaName.Media)
		}
		clock := false
		for _, a := range m.Attributes {
			clock = clock || a.Key == "rtpmap" && strings.Contains(a.Value, fmt.Sprintf("/%d", media[i].clock))
		}
		if !clock {
			return nil, errors.New("a track whose clock is not the one served")
		}
		out.MediaDescriptions = append(out.MediaDescriptions, &sdp.MediaDescription{
			MediaName:  sdp.MediaName{Media: m.MediaName.Media, Protos: []string{"RTP", "AVP"}, Formats: m.MediaName.Formats},
			Attributes: append(kept(m.Attributes, "rtpmap", "fmtp", "framerate", "lang"), sdp.NewAttribute("control", fmt.Sprintf("track%d", i)))})
	}
	return out.Marshal()
}

func kept(list []sdp.Attribute, keys ...string) (out []sdp.Attribute) {
	for _, a := range list {
		for _, k := range keys {
			if a.Key == k && !strings.ContainsAny(a.Value, "\r\n") {
				out = append(out, a)
			}
		}
	}
	return out
}
