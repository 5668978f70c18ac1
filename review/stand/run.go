//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case: its temporary folder, its record and the processes that it started.
type run struct {
	trouble bool
	dir     string
	start   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	procs  []*process
}

func newRun(recordPath string) (*run, error) {
	if _, err := os.Stat("bin/linkpass"); err != nil {
		return nil, fmt.Errorf("run from the root after the build: %w", err)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: bufio.NewWriter(file), file: file}
	r.logf("trouble=%v", r.trouble)
	return r, nil
}

// close ends all processes and removes the temporary folder.
func (r *run) close() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
}

// logf writes a line to the record and to standard output.
func (r *run) logf(format string, args ...any) {
	line := r.notef(format, args...)
	fmt.Println(line)
}

// notef writes a line to the record alone.
func (r *run) notef(format string, args ...any) string {
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.record, line)
	return line
}

func (r *run) path(name string) string { return filepath.Join(r.dir, name) }

// process is a coordinator's process.
type process struct {
	name  string
	cmd   *exec.Cmd
	done  chan struct{}
	group bool // the process leads a group
}

// startProcess runs the deploy file's command from the root, with an operators' file.
func (r *run) startProcess(name, operatorsFile string, env ...string) (*process, error) {
	log, err := os.OpenFile(r.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	tmp := r.path("tmp-" + name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", "exec bin/linkpass -opensearch "+operatorsFile)
	cmd.Env = append(os.Environ(), append(env, "TMPDIR="+tmp, "ROUTER_NAME="+name)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the driver itself is killed
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.done) }()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	return p, nil
}

// shell runs an operator's script in a process group, which it ends after the limit.
func (r *run) shell(script string, limit time.Duration) ([]byte, error) {
	var out bytes.Buffer
	cmd := exec.Command("/bin/sh", "-c", script)
	cmd.Stdout, cmd.Stderr = &out, &out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: "script", cmd: cmd, done: make(chan struct{}), group: true}
	var err error
	go func() { err = cmd.Wait(); close(p.done) }()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	select {
	case <-p.done:
	case <-time.After(limit):
		p.kill()
		return out.Bytes(), fmt.Errorf("the script did not end within %s", limit)
	}
	return out.Bytes(), err
}

// kill ends the process, or its group, at once and waits for it.
func (p *process) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	if p.group {
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	} else {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// command runs a command of the operators against a coordinator's socket.
func (r *run) command(socket string, args ...string) (string, error) {
	text, err := r.quietCommand(socket, args...)
	r.logf("operator: linkpass %s -> %q err=%v", strings.Join(args, " "), text, err)
	return text, err
}

func (*run) quietCommand(socket string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	out, err := exec.CommandContext(ctx, "bin/linkpass", append(args, "--socket", socket)...).CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

var (
	usedPorts   = map[int]bool{}
	usedPortsMu sync.Mutex
)

// freeAddr returns a loopback address that is free now. The port lies below those that the system hands out to
// connections and to listeners on port 0, so that it stays free until the coordinator listens on it.
func freeAddr() string {
	usedPortsMu.Lock()
	defer usedPortsMu.Unlock()
	for {
		port := 12000 + rand.IntN(20000)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			return addr
		}
	}
}

var httpClient = &http.Client{
	Timeout:       6 * time.Second,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	Transport:     &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Second},
}

// call makes one HTTP call.
func call(method, url, body string, header ...string) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}

// await polls until check reports true.
func await(limit time.Duration, what string, check func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if check() {
			return nil
		}
	}
	return fmt.Errorf("%s did not happen within %s", what, limit)
}

// ready reports whether a coordinator takes clients.
func ready(addr string) bool {
	status, _, err := call("GET", "http://"+addr+"/health/ready", "")
	return err == nil && status == 200
}

func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}
