package front

import (
	"fmt"

	"github.com/pion/sdp/v3"

	"rainhaven/internal/rtsp"
)

// media are the tracks of every title: video and sound, as boxes hold them.
var media = [...]struct {
	kind, codec string
	payload     int
	clock       uint32
}{
	{"video", "H264/90000", 96, 90000},
	{"audio", "MPEG4-GENERIC/48000/2", 97, 48000},
}

// describe answers DESCRIBE with the title's description (RFC 4566, as section C of RFC 2326 uses it).
func (v *viewer) describe(s *slot) {
	m := s.req
	p, err := rtsp.ParsePlace(m.URL)
	title, known := v.f.terms.Titles[p.Title]
	if err != nil || v.f.terms.GroupIndex(p.Group) < 0 || !known {
		v.status(s, rtsp.NotFound)
		return
	}
	p.Track = -1
	d := sdp.SessionDescription{
		Origin: sdp.Origin{Username: "-", SessionID: 1, SessionVersion: 1, NetworkType: "IN", AddressType: "IP4",
			UnicastAddress: "127.0.0.1"},
		SessionName:           sdp.SessionName(p.Title),
		ConnectionInformation: &sdp.ConnectionInformation{NetworkType: "IN", AddressType: "IP4", Address: &sdp.Address{Address: "0.0.0.0"}},
		TimeDescriptions:      []sdp.TimeDescription{{}},
	}
	d.Attributes = append(d.Attributes, sdp.NewAttribute("control", p.URL()))
	if title.Length > 0 {
		d.Attributes = append(d.Attributes, sdp.NewAttribute("range", fmt.Sprintf("npt=0-%.3f", title.Length)))
	}
	for i, t := range media {
		d.MediaDescriptions = append(d.MediaDescriptions, &sdp.MediaDescription{
			MediaName: sdp.MediaName{Media: t.kind, Protos: []string{"RTP", "AVP"}, Formats: []string{fmt.Sprint(t.payload)}},
			Attributes: []sdp.Attribute{sdp.NewAttribute("rtpmap", fmt.Sprintf("%d %s", t.payload, t.codec)),
				sdp.NewAttribute("control", fmt.Sprintf("track%d", i))}})
	}
	body, err := d.Marshal()
	if err != nil {
		v.status(s, rtsp.InternalError)
		return
	}
	r := rtsp.Response(m, rtsp.OK).With("Content-Type", "application/sdp").With("Content-Base", p.URL()+"/")
	r.Body = body
	v.respond(s, r)
}
