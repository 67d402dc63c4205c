package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A node exits while one client sends at full speed: the client's reader stops, having passed on all that it read, before its connection
// is closed. The guard reports close_unread.
func TestExitBesideAFlood(t *testing.T) {
	for name, message := range map[string]func(k int) string{
		"tests": func(int) string { return "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n" },
		"sessions handed over": func(k int) string {
			return fmt.Sprintf("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nSubject: free\r\nX-Facts: home:0;copies:4;top:4;at:s-1\r\nContent-Length: 0\r\n\r\n", testID(k))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newSingleServerHarness(t, 256)
			cl := h.connect()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for range cl.messages {
				}
			}()
			go func() {
				for k := 0; ; {
					var b strings.Builder
					for range 100 {
						k++
						b.WriteString(message(k))
					}
					if _, err := cl.Write([]byte(b.String())); err != nil {
						return
					}
				}
			}()
			time.Sleep(time.Second)
			h.stop()
			cl.Close()
			<-ended
		})
	}
}
