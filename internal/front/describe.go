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

// mediaTracks lists the tracks of a title in the order boxes describe them: video, then audio.
var mediaTracks = [...]struct {
	kind      string
	clockRate uint32
}{
	{"video", 90000},
	{"audio", 48000},
}

// handleDescribe answers DESCRIBE from the cache or fetches the description from a holder. Waiting requests count toward
// their connection's limit of pipelined requests, which bounds them.
func (v *viewer) handleDescribe(pr *pendingRequest) {
	f := v.f
	p, err := rtsp.ParseURL(pr.req.URL)
	title, known := f.config().Titles[p.Title]
	if err != nil || f.config().GroupIndex(p.Group) < 0 || !known {
		v.respondStatus(pr, rtsp.NotFound)
		return
	}
	f.pendingDescribes[p.Title] = append(f.pendingDescribes[p.Title], pendingDescribe{v, pr, p})
	action, box, body := f.descriptions.Request(f.now(), p.Title, title.StartCell, title.CellCount)
	f.runDescribeAction(p.Title, action, box, body)
}

// pendingDescribe is an unanswered DESCRIBE of a viewer.
type pendingDescribe struct {
	viewer  *viewer
	request *pendingRequest
	place   rtsp.Resource
}

// runDescribeAction carries out an action of the description cache for a title.
func (f *Front) runDescribeAction(title string, action describe.Action, box choice.ServerID, body []byte) {
	switch action {
	case describe.Fetch:
		f.fetchDescription(title, box)
	case describe.Answer, describe.Fail:
		list := f.pendingDescribes[title]
		delete(f.pendingDescribes, title)
		for _, w := range list {
			w.respond(body)
		}
	}
}

func (w pendingDescribe) respond(body []byte) {
	if body == nil {
		w.viewer.respondStatus(w.request, rtsp.GatewayTimeout)
		return
	}
	w.place.Track = -1
	r := rtsp.NewResponse(w.request.req, rtsp.OK).WithHeader("Content-Type", "application/sdp").WithHeader("Content-Base", w.place.URL()+"/")
	r.Body = append([]byte(nil), body...)
	w.viewer.respond(w.request, r)
}

// fetchDescription requests a description from a holder, with a timeout of describe.FetchTimeout.
func (f *Front) fetchDescription(title string, box choice.ServerID) {
	t := f.config().Titles[title]
	finished := false
	finish := func(body []byte, outcome string) {
		if finished {
			return
		}
		finished = true
		f.metrics.descriptions.WithLabelValues(outcome).Inc()
		action, next, b := f.descriptions.HandleReply(f.now(), title, box, body, t.StartCell, t.CellCount)
		f.runDescribeAction(title, action, next, b)
	}
	f.connect(f.ctx, box, func(c *boxConn) {
		if c == nil {
			finish(nil, "no connection")
			return
		}
		timer := time.AfterFunc(time.Duration(describe.FetchTimeout*1e9), func() {
			f.post(func() {
				if !finished {
					finish(nil, "timed out")
					c.close()
				}
			})
		})
		url := rtsp.Resource{Host: c.Address, Group: f.config().Groups[0].Name, Title: title, Track: -1}.URL()
		c.send(rtsp.NewRequest(rtsp.Describe, url).WithHeader("Accept", "application/sdp"), func(m *rtsp.Message) {
			timer.Stop()
			if m == nil {
				finish(nil, "broken")
				return
			}
			if finished {
				return
			}
			c.release()
			body, err := rewriteDescription(m.Body)
			switch {
			case m.Status != rtsp.OK:
				finish(nil, fmt.Sprint(m.Status))
			case err != nil:
				f.log.Info("unusable description from a box")
				finish(nil, "unusable")
			default:
				finish(body, "taken")
			}
		})
	})
}

// maxDescriptionBytes bounds a description; one of two tracks takes less than 1 kB.
const maxDescriptionBytes = 16 << 10

// rewriteDescription turns a box's description into the front's: one video track and at most one audio track, in that
// order, with the clock rates that the relay uses. Control URLs are relative to Content-Base, and nothing identifies the box.
func rewriteDescription(body []byte) ([]byte, error) {
	if len(body) == 0 || len(body) > maxDescriptionBytes {
		return nil, fmt.Errorf("description has %d bytes", len(body))
	}
	var in sdp.SessionDescription
	if err := in.Unmarshal(body); err != nil {
		return nil, err
	}
	if n := len(in.MediaDescriptions); n == 0 || n > len(mediaTracks) {
		return nil, fmt.Errorf("description has %d tracks", n)
	}
	out := sdp.SessionDescription{
		Origin:                sdp.Origin{Username: "-", SessionID: in.Origin.SessionID, SessionVersion: in.Origin.SessionVersion, NetworkType: "IN", AddressType: "IP4", UnicastAddress: "0.0.0.0"},
		SessionName:           "-",
		ConnectionInformation: &sdp.ConnectionInformation{NetworkType: "IN", AddressType: "IP4", Address: &sdp.Address{Address: "0.0.0.0"}},
		TimeDescriptions:      []sdp.TimeDescription{{}},
		Attributes:            append(selectAttributes(in.Attributes, "range"), sdp.NewAttribute("control", "*")),
	}
	for i, m := range in.MediaDescriptions {
		if m.MediaName.Media != mediaTracks[i].kind || len(m.MediaName.Formats) == 0 {
			return nil, fmt.Errorf("track %d: media type %.20q is unexpected or has no formats", i, m.MediaName.Media)
		}
		clockMatches := false
		for _, a := range m.Attributes {
			clockMatches = clockMatches || a.Key == "rtpmap" && strings.Contains(a.Value, fmt.Sprintf("/%d", mediaTracks[i].clockRate))
		}
		if !clockMatches {
			return nil, errors.New("clock rate of a track is not supported")
		}
		out.MediaDescriptions = append(out.MediaDescriptions, &sdp.MediaDescription{
			MediaName:  sdp.MediaName{Media: m.MediaName.Media, Protos: []string{"RTP", "AVP"}, Formats: m.MediaName.Formats},
			Attributes: append(selectAttributes(m.Attributes, "rtpmap", "fmtp", "framerate", "lang"), sdp.NewAttribute("control", fmt.Sprintf("track%d", i)))})
	}
	return out.Marshal()
}

// selectAttributes returns the attributes with the given keys, without those whose value would break the line format.
func selectAttributes(list []sdp.Attribute, keys ...string) (out []sdp.Attribute) {
	for _, a := range list {
		for _, k := range keys {
			if a.Key == k && !strings.ContainsAny(a.Value, "\r\n") {
				out = append(out, a)
			}
		}
	}
	return out
}
