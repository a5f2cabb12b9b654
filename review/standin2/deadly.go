package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Figures of the case about a request that crashes backend servers.
const (
	deadlyPath   = "/files/plan-17"
	uploadBytes  = 1 << 20
	uploadPart   = 16 << 10
	uploadTime   = 900 * time.Millisecond // 1 MiB on a link of 10 Mbit/s.
	deadlyTries  = 12
	deadlyGap    = 2500 * time.Millisecond // Between two tries.
	serverBackIn = 2 * time.Second         // After which a crashed backend server is back.
	maxReturns   = 3                       // Retries that may reach backend servers.
	contactTime  = 3 * time.Second         // contact_s
)

// upload sends a body of uploadBytes within a time, and reads the response.
func upload(to, target, key string, length time.Duration) (s sent) {
	s = sent{At: time.Now(), ID: fmt.Sprintf("r%08x", lastID.Add(1)), Method: http.MethodPost, Target: target}
	c, err := net.DialTimeout("tcp", to, time.Second) //nolint:gosec // A loopback address of the case.
	if err != nil {
		s.Err = err
		return s
	}
	defer func() { _ = c.Close() }()
	const patience = 4 * time.Second
	_ = c.SetDeadline(time.Now().Add(patience + time.Second))
	go func() {
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
			target, host, s.ID, patience.Milliseconds(), key, uploadBytes)
		const parts = uploadBytes / uploadPart
		text := []byte(strings.Repeat("plan", uploadPart/4))
		for range parts {
			time.Sleep(length / parts)
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	}()
	s.read(bufio.NewReader(c), http.MethodPost)
	return s
}

// keepRunning starts the process of a backend server again whenever it has ended.
func (p *serverProcess) keepRunning() {
	for p.cmd.Wait() != nil && p.cmd.ProcessState.ExitCode() == exitCrashed {
		p.node.fleet.note("the backend server beside node %d has crashed", p.node.number)
		time.Sleep(serverBackIn)
		if p.node.isEnded() || p.start() != nil {
			return
		}
	}
}

// runDeadly has a client send an upload that crashes each backend server that begins to run it, again and again.
func runDeadly(f *fleet, trouble bool) (bool, error) {
	length := uploadTime
	if os.Getenv("UPLOAD") == "fast" {
		length = 0
	}
	return f.runDeadlyRequests(trouble, serverSettings{}, func(to string) sent { return upload(to, deadlyPath, "town-key-1", length) })
}

// runHalf has a client send a look-up that crashes each backend server in the middle of its response, again and again.
func runHalf(f *fleet, trouble bool) (bool, error) {
	return f.runDeadlyRequests(trouble, serverSettings{DeadlyAnswer: true}, func(to string) sent {
		return send(to, http.MethodGet, deadlyPath, "town-key-1", 2*time.Second)
	})
}

// runDeadlyRequests has a client send a request that crashes the backend servers that run it. It checks that no more than
// three retries reach backend servers later than contact_s after the third crash. Without trouble it crashes none.
func (f *fleet) runDeadlyRequests(trouble bool, s serverSettings, try func(to string) sent) (bool, error) {
	kind := "upload"
	if s.DeadlyAnswer {
		kind = "idempotent"
	}
	err := f.publish([]tenant{{"town", []string{"town-key-1"}, 0, 0}}, []route{
		{"files", "/files/", kind, service, 4, 1, 2, 1, false}, {"all", "/", "idempotent", service, 2, 1, 2, 1, false},
	})
	if err != nil {
		return false, err
	}
	s.Slots, s.Work = 8, 5*time.Millisecond
	if trouble {
		s.Deadly = deadlyPath
	}
	for range 4 {
		n, err := f.add(service)
		if err != nil {
			return false, err
		}
		p, err := n.addProcess(s)
		if err != nil {
			return false, err
		}
		f.others = append(f.others, p)
		go p.keepRunning()
	}
	if err := f.awaitService("town-key-1"); err != nil {
		return false, err
	}
	for i := range deadlyTries {
		began := time.Now()
		f.noteSent(try(f.nodes[i%len(f.nodes)].address(portOutbound)))
		time.Sleep(time.Until(began.Add(deadlyGap)))
	}
	times, err := f.runTimes(deadlyPath)
	if err == nil && len(times) == 0 {
		err = errors.New("no request ran")
	}
	return trouble && f.checkDeadly(times), err
}

// checkDeadly reports whether too many retries of a request reached backend servers, given when it reached them.
func (f *fleet) checkDeadly(times []time.Time) bool {
	if len(times) < 3 {
		f.note("the request has crashed %d backend servers", len(times))
		return false
	}
	late := 0
	for _, t := range times {
		if t.Sub(times[2]) > contactTime {
			late++
		}
	}
	f.note("the request reached backend servers %d times, %d of them later than %s after the third crash; allowed are %d", len(times), late, contactTime, maxReturns)
	return late > maxReturns
}

// runTimes returns when backend servers that are processes began to run requests with a target, in order.
func (f *fleet) runTimes(target string) ([]time.Time, error) {
	text, err := os.ReadFile(filepath.Join(f.dir, "runs"))
	if err != nil {
		return nil, err
	}
	var times []time.Time
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) != 5 || fields[4] != target {
			continue
		}
		n, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			return nil, err
		}
		times = append(times, time.Unix(0, n))
		f.note("run  %s %s %s by %s at %.3f", fields[2], fields[3], target, fields[1], time.Unix(0, n).Sub(f.began).Seconds())
	}
	slices.SortFunc(times, time.Time.Compare)
	return times, nil
}
