package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var cases = map[string]caseFunc{
	"slow-reader":    playSlowReader,
	"leaving-server": playLeavingServer,
	"deadly-upload":  playDeadlyUpload,
	"deadly-kills":   playDeadlyKills,
	"homes":          playHomes,
}

const (
	service = "files"

	// backAfter is the time after which a crashed server is back: some seconds.
	backAfter = 3 * time.Second
)

// servers is the number of servers of the service: one of them is less than 0.15, the share that crashes or leaves at a time.
const servers = 7

// startFleet starts a machine with a server of the service in one zone, and six in another.
func (f *fleet) startFleet() (*machine, error) {
	for i := range servers {
		zone := "zone-b"
		if i == 0 {
			zone = "zone-a"
		}
		if err := f.add(zone, service); err != nil {
			return nil, err
		}
	}
	if err := f.configure(7, service); err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * contact) // All machines are in touch.
	first := f.list[0]
	a := f.send(first, request{id: "first", method: "GET", target: "/app/short?size=100", deadline: 2 * time.Second})
	f.note("client: %s", a)
	if a.status != 200 || !a.complete() || a.bytes != 100 {
		return nil, fmt.Errorf("no answer over %s", first.name)
	}
	return first, nil
}

// judge reports whether an answer breaks MIXED: a success that looks complete, and is not the whole body.
func (f *fleet) judge(a answer, size int) (bool, error) {
	f.note("client: %s", a)
	mixed := a.status/100 == 2 && a.complete() && (a.bytes != size || a.wrong >= 0 || a.seal == "")
	if mixed {
		f.note("MIXED: the body of %s has %d bytes, the client takes %d for the whole answer", a.id, size, a.bytes)
	}
	if !f.trouble && (a.status != 200 || !a.complete()) {
		return false, fmt.Errorf("no whole answer without trouble")
	}
	return mixed, nil
}

// downloadSize is the length of a download: more than the buffers between the server and a slow client hold.
const downloadSize = 1_500_000

// playSlowReader lets a server crash while a client slowly reads a long answer without a length.
func playSlowReader(f *fleet) (bool, error) {
	m, err := f.startFleet()
	if err != nil {
		return false, err
	}
	got := make(chan answer, 1)
	go func() {
		got <- f.send(m, request{
			id: "download", method: "GET", target: fmt.Sprintf("/files/ticket?unframed=1&size=%d&pause_ms=4000", downloadSize), deadline: 20 * time.Second,
			slow: true, first: 32 << 10, pause: 7 * time.Second,
		})
	}()
	time.Sleep(2 * time.Second)
	if f.trouble {
		f.note("server of %s is killed", m.name)
		m.server.kill()
		time.Sleep(backAfter)
		if err := f.startServer(m); err != nil {
			return false, err
		}
		f.note("server of %s is started again", m.name)
	}
	return f.judge(<-got, downloadSize)
}

// playLeavingServer lets a server crash that leaves, while it answers without a length.
func playLeavingServer(f *fleet) (bool, error) {
	m, err := f.startFleet()
	if err != nil {
		return false, err
	}
	const size = 20000
	got := make(chan answer, 1)
	go func() {
		got <- f.send(m, request{
			id: "report", method: "GET", target: fmt.Sprintf("/app/report?unframed=1&size=%d&pause_ms=3000", size), deadline: 10 * time.Second,
		})
	}()
	time.Sleep(500 * time.Millisecond)
	f.note("server of %s begins a planned shutdown", m.name)
	if err := m.server.terminate(); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	if f.trouble {
		f.note("server of %s is killed", m.name)
		m.server.kill()
	}
	return f.judge(<-got, size)
}

const (
	contact    = 3 * time.Second // contact_s of the settings.
	deadlySize = 9 << 20
	retries    = 3 // Allowed after the third crash.
)

// body returns the body of a size that the servers and clients of the cases use.
func body(size int) string {
	var b strings.Builder
	for i := 0; i < size; i += lineLength {
		b.WriteString(bodyLine(i))
	}
	return b.String()[:size]
}

// startFour starts four machines in two zones, whose servers are started again after a crash.
func (f *fleet) startFour() error {
	for _, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b"} {
		if err := f.add(zone, service); err != nil {
			return err
		}
	}
	if err := f.configure(7, service); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	f.restartServers(backAfter)
	time.Sleep(2 * contact) // All machines are in touch.
	return nil
}

// rounds is the number of times that a deadly request comes to a fleet, all of whose nodes are killed in between.
const rounds = 4

// playDeadlyKills sends a short deadly request now and then, and kills all nodes at once a few times.
func playDeadlyKills(f *fleet) (bool, error) {
	if err := f.startFour(); err != nil {
		return false, err
	}
	for round := range rounds {
		for i := range 3 {
			m := f.list[(round+i)%len(f.list)]
			id := fmt.Sprintf("order-%d-%d", round, i)
			f.note("client: %s", f.send(m, request{id: id, method: "POST", target: "/up/deadly/order", body: "the same", deadline: 4 * time.Second}))
			time.Sleep(backAfter)
		}
		if !f.trouble || round == rounds-1 {
			continue
		}
		f.note("all nodes are killed")
		for _, m := range f.list {
			_ = m.node.cmd.Process.Kill()
		}
		for _, m := range f.list {
			<-m.node.done
			if err := f.startNode(m); err != nil {
				return false, err
			}
		}
		if err := f.awaitReady(); err != nil {
			return false, err
		}
		f.note("all nodes are ready again")
		time.Sleep(contact + time.Second) // All machines are in touch.
	}
	return f.judgeDeadly()
}

// playDeadlyUpload sends a long upload again and again that crashes each server which begins to run it.
func playDeadlyUpload(f *fleet) (bool, error) {
	if err := f.startFour(); err != nil {
		return false, err
	}
	target := "/up/deadly/plan"
	if !f.trouble {
		target = "/up/harmless/plan"
	}
	text := body(deadlySize)
	var others bystanders
	for i := range 14 {
		others.send(f, i)
		time.Sleep(300 * time.Millisecond)
		m := f.list[i%len(f.list)]
		f.note("client: %s", f.send(m, request{id: fmt.Sprintf("plan-%d", i), method: "POST", target: target, body: text, deadline: 4 * time.Second}))
		time.Sleep(2200 * time.Millisecond)
	}
	others.clients.Wait()
	f.note("of %d other uploads %d got no success", others.sent.Load(), others.lost.Load())
	return f.judgeDeadly()
}

// judgeDeadly reports whether a deadly request reached servers in more than three retries later than contact after it had
// crashed the third, as the servers' record says.
func (f *fleet) judgeDeadly() (bool, error) {
	text, err := os.ReadFile(f.record.Name())
	if err != nil {
		return false, err
	}
	var crashes, late int
	var third time.Time
	for line := range strings.Lines(string(text)) {
		if !strings.Contains(line, " crashes by ") {
			continue
		}
		at, err := time.Parse(stampLayout, strings.Fields(line)[0])
		if err != nil {
			return false, err
		}
		switch crashes++; {
		case crashes == 3:
			third = at
		case crashes > 3 && at.Sub(third) > contact:
			late++
		}
	}
	f.note("the request crashed %d servers, %d of them later than %s after the third; allowed are %d", crashes, late, contact, retries)
	return late > retries, nil
}

// bystanders are other uploads that run beside a deadly one.
type bystanders struct {
	clients    sync.WaitGroup
	sent, lost atomic.Int64
}

// send sends some uploads that differ from all others.
func (b *bystanders) send(f *fleet, round int) {
	for i := range 8 {
		b.clients.Go(func() {
			b.sent.Add(1)
			id := fmt.Sprintf("other-%d-%d", round, i)
			a := f.send(f.list[i%len(f.list)], request{id: id, method: "POST", target: "/up/other?work_ms=1000&size=50", body: id, deadline: 4 * time.Second})
			if a.status != 200 || !a.complete() {
				b.lost.Add(1)
				f.note("client: %s", a)
			}
		})
	}
}
