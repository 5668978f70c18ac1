//go:build review2

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// started has the processes and the folders of this run, which endAll ends and removes.
var started struct {
	mu        sync.Mutex
	processes []*process
	folders   []string
}

// process is a program that this run has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// startProcess starts a program whose output goes to a file.
func startProcess(r *record, name, logPath string, env []string, files []*os.File, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{name: name, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Env, p.cmd.ExtraFiles = append(os.Environ(), env...), files
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	started.mu.Lock()
	started.processes = append(started.processes, p)
	started.mu.Unlock()
	r.say("process %s started, pid %d", name, p.cmd.Process.Pid)
	go func() {
		err := p.cmd.Wait()
		r.say("process %s ended: %v", name, err)
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for that.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// endAll ends all processes of this run and removes its folders.
func endAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		p.kill()
	}
	for _, folder := range started.folders {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}
	started.processes, started.folders = nil, nil
}

// tempFolder returns a new folder, which endAll removes.
func tempFolder() (string, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err == nil {
		started.mu.Lock()
		started.folders = append(started.folders, folder)
		started.mu.Unlock()
	}
	return folder, err
}

// host is a loopback address of this run alone, so that no other run takes a port between freeAddr and its use.
var host = fmt.Sprintf("127.%d.%d.%d", 32+rand.IntN(200), os.Getpid()>>8&0xff, 1+os.Getpid()&0x7f)

// listen listens at a free port.
func listen() net.Listener {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	return listener
}

// freeAddr returns an address that is free. No address is returned twice.
func freeAddr() string {
	listener := listen()
	defer listener.Close()
	addr := listener.Addr().String()
	if _, used := usedAddrs.LoadOrStore(addr, true); used {
		return freeAddr()
	}
	return addr
}

var usedAddrs sync.Map

// awaitReady waits until a call at a URL is answered with 200.
func awaitReady(url string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		res, err := client.Get(url)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if res.StatusCode == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s did not answer 200 within %s", url, limit)
}
