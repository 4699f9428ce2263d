package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// proc is one process that the test started.
type proc struct {
	cmd    *exec.Cmd
	in     *json.Encoder
	ended  chan struct{} // closed when it has ended
	result error         // of its end
	heard  chan report   // listening reports
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // an ended one needs none

// freeze stops the process for a time.
func (p *proc) freeze(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// server is one server of a service through its incarnations.
type server struct {
	service, name string
	domain        string // failure domain
	instance      int
	proc          *proc
	address       string // through its link
	direct        string
	leaving       bool
	seq           int
	born          int64 // Unix milliseconds
	beat          time.Time
	cold          time.Time // until when it is
	entered       bool      // its record is in the store
}

func (s *server) entry() standin.Entry {
	return standin.Entry{
		Service: s.service, Address: s.address, Leaving: s.leaving, Seq: s.seq, Born: s.born,
		Domain: s.domain, Cold: max(time.Until(s.cold), 0),
	}
}

func (s *server) id() string { return fmt.Sprintf("i-%s-%d", s.name, s.instance) }

// daemon is one daemon through its incarnations.
type daemon struct {
	name, file, front, metrics, ready string
	proc                              *proc
	address                           string // of its entry, through link and mutant
	starts                            atomic.Int64
}

// crasher is the mutant whose daemons crash when they are asked to leave.
const crasher = "crasher"

// rig is a whole site of processes.
type rig struct {
	t       *testing.T
	ip      string // its first three numbers
	history *history
	store   *proc
	links   *proc
	mutant  *proc
	daemons []*daemon
	dir     string
	// stopSignal asks a daemon to leave; one that makes it crash is a mutant too.
	stopSignal syscall.Signal

	mu        sync.Mutex
	servers   []*server
	storeHow  string
	version   int
	wishes    map[string]string // operators' last word on the evacuation of each domain
	gone      []string          // servers whose records were removed
	linkAt    map[string]string
	allEnded  sync.WaitGroup
	reviving  sync.WaitGroup
	direct    bool // as in play
	apart     bool // as in play
	logPrefix string
	stopBeats chan struct{}
}

var numRigs atomic.Int64

func newRig(t *testing.T, p play) *rig {
	mutantHow := p.mutant
	const most = 250
	r := &rig{
		t: t, history: newHistory(), dir: t.TempDir(), linkAt: map[string]string{}, wishes: map[string]string{}, version: 1, stopBeats: make(chan struct{}),
		stopSignal: syscall.SIGTERM,
		direct:     p.direct,
		apart:      p.apart,
		logPrefix:  p.logPrefix,
		ip:         fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%most, 1+numRigs.Add(1)%most),
	}
	if mutantHow == crasher {
		r.stopSignal, mutantHow = syscall.SIGABRT, ""
	}
	t.Cleanup(r.end)
	r.store, r.links = r.spawn("store", "", ""), r.spawn("links", "", "")
	storeAt := (<-r.store.heard).Address
	for i := range p.servers {
		for k, service := range []string{"shop", "llm"} {
			n := i % max(p.domains, 1)
			if p.domains == everyServer {
				n = 2*i + k
			}
			r.servers = append(r.servers, &server{service: service, name: fmt.Sprintf("%s%d", service, i), domain: domainName(n)})
		}
	}
	for _, s := range r.servers {
		r.startServer(s)
	}
	r.publish()
	for i := range p.daemons {
		r.addDaemon(i, storeAt, mutantHow)
	}
	go r.register()
	return r
}

func (r *rig) addDaemon(i int, storeAt, mutantHow string) {
	ip := fmt.Sprintf("%s%d", r.ip, 10+i)
	d := &daemon{name: fmt.Sprintf("d%d", i), front: ip + ":8001", ready: ip + ":8002", metrics: ip + ":8004"}
	d.file = filepath.Join(r.dir, d.name+".yaml")
	text := fmt.Sprintf(`host: %s
domain: %s
region: r1
listen: {callers: "%s", ready: "%s", peers: "%s:8003", metrics: "%s"}
peer_key: "%s"
seeds: [%s]
store: "%s"
log_level: info
memory_mb: %d
cpu_share: 1
grace_s: %g
retry: {ratio: %g, window_s: %g, slack: %d}
`, d.name, domainName(i%2), d.front, d.ready, ip, d.metrics, strings.Repeat("soak", 10), r.seeds(ip), r.link("store-"+d.name, storeAt),
		memoryMB, grace.Seconds(), retryRatio, retryWindow.Seconds(), retrySlack)
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	to := d.front
	if mutantHow != "" && i == 0 {
		r.mutant = r.spawn("mutant", mutantHow, d.front)
		to = (<-r.mutant.heard).Address
		r.tellMutant()
	}
	d.address = r.link("front-"+d.name, to)
	r.daemons = append(r.daemons, d)
	r.startDaemon(d)
}

// seeds returns the peer addresses from which a daemon learns of the others.
func (r *rig) seeds(ip string) string {
	if r.apart {
		return fmt.Sprintf("%q", ip+":8003")
	}
	return fmt.Sprintf("%q, %q", r.ip+"10:8003", r.ip+"11:8003")
}

// tellMutant lists all servers, by their own addresses.
func (r *rig) tellMutant() {
	var list []string
	for _, s := range r.servers {
		list = append(list, s.direct+"/"+s.id())
	}
	r.tell(r.mutant, command{Op: "servers", List: list})
}

func (r *rig) tell(p *proc, c command) { _ = p.in.Encode(c) } // its end shows elsewhere

// ownGroup puts a process into a group of its own. In that of the tests, one that is frozen
// would go on when the shell ends that began them: the kernel continues stopped members of a
// group that loses its last parent.
func ownGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

// spawn starts a stand-in.
func (r *rig) spawn(role, name, to string) *proc {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleEnv+"="+role, "SOAK_IP="+r.ip+"1", "SOAK_NAME="+name, "SOAK_TO="+to)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = ownGroup()
	in, err := cmd.StdinPipe()
	if err != nil {
		r.t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		r.t.Fatal(err)
	}
	p := &proc{cmd: cmd, in: json.NewEncoder(in), ended: make(chan struct{}), heard: make(chan report, 64)}
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.allEnded.Add(1)
	go func() {
		defer r.allEnded.Done()
		r.hear(p, out)
		p.result = cmd.Wait()
		close(p.ended)
	}()
	return p
}

// hear takes in all that a stand-in reports, to the end of its output.
func (r *rig) hear(p *proc, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var rep report
		if json.Unmarshal(lines.Bytes(), &rep) != nil {
			continue // a line cut by a kill
		}
		switch rep.What {
		case "listening":
			p.heard <- rep
		case "beat":
			r.heartbeat(rep.Server)
		case "limits":
			r.history.addLimit(rep)
		case "leaves":
			r.history.says(rep)
		case "crashed":
			r.history.addCrash(rep)
		case "cold":
			r.history.addCold(rep)
		case "turned":
			r.history.addTurned(rep)
		default:
			r.history.addRun(rep)
		}
	}
}

// link returns the address of the named link to an address.
func (r *rig) link(name, to string) string {
	r.tell(r.links, command{Op: "link", Name: name, To: to})
	if r.linkAt[name] == "" {
		r.linkAt[name] = (<-r.links.heard).Address
	}
	return r.linkAt[name]
}

func (r *rig) startDaemon(d *daemon) {
	d.starts.Add(1)
	logs := io.Discard
	if *flagLogs != "" {
		f, err := os.OpenFile(filepath.Join(*flagLogs, r.logPrefix+d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			r.t.Fatal(err)
		}
		defer f.Close()
		logs = f
	}
	cmd := exec.Command(daemonBinary, "edge", "--config", d.file)
	cmd.Stdout, cmd.Stderr = logs, os.Stderr
	cmd.SysProcAttr = ownGroup()
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	p := &proc{cmd: cmd, ended: make(chan struct{})}
	r.allEnded.Add(1)
	go func() {
		defer r.allEnded.Done()
		p.result = cmd.Wait()
		close(p.ended)
	}()
	d.proc = p
}

// end ends all processes of the rig, each by its own id.
func (r *rig) end() {
	close(r.stopBeats)
	r.reviving.Wait()
	for _, d := range r.daemons {
		d.proc.signal(syscall.SIGKILL)
	}
	r.mu.Lock()
	all := []*proc{r.store, r.links, r.mutant}
	for _, s := range r.servers {
		all = append(all, s.proc)
	}
	r.mu.Unlock()
	for _, p := range all {
		if p != nil {
			p.signal(syscall.SIGKILL)
		}
	}
	r.allEnded.Wait()
}

// get reads a page of a process; an empty text is none.
func get(address, path string) string {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + address + path)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return ""
	}
	return string(text)
}

func dials(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		c.Close()
	}
	return err == nil
}
