//! The platform's store, plain servers, engines and clients as stand-ins, and the instance under test
//! as a process of its own. Uses the standard library only.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Host and key of all requests.
const HOST: &str = "hire.example";
const KEY: &str = "key-of-the-desk";
/// `timeout_ms` of bookings and look-ups.
pub const DESK_TIMEOUT_MS: u64 = 2_000;
/// Start of the servers' first processes.
pub const BORN_MS: u64 = 1_790_000_000_000;
/// Time within which the instance has to become ready.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// What was sent, answered and run, with the time since the start of the script.
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { started_at: Instant::now(), lines: Mutex::default() })
    }

    pub fn ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:>6} ms  {}", self.ms(), line.as_ref());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, file: &Path) -> io::Result<()> {
        std::fs::write(file, self.lines.lock().unwrap().join("\n") + "\n")
    }
}

/// Fields of a head.
pub type Headers = Vec<(String, String)>;

/// The value of a field.
pub fn field<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// A request as a stand-in has read it.
pub struct Request {
    pub target: String,
    headers: Headers,
}

impl Request {
    pub fn attempt(&self) -> &str {
        field(&self.headers, "attempt-id").unwrap_or("")
    }

    /// Value of a parameter of the query.
    fn parameter(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value)
    }
}

/// A connection of which requests or responses are read.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16384];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length > 0)
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.take(at + 2)?;
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the head of a message: its first line and its fields.
    fn read_head(&mut self) -> io::Result<(String, Headers)> {
        let first = self.take_line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.take_line()?;
            let Some((name, value)) = line.split_once(':') else { return Ok((first, headers)) };
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    fn read_body(&mut self, headers: &Headers) -> io::Result<Vec<u8>> {
        if field(headers, "transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = self.take_line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size + 2)?;
                if size == 0 {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        match field(headers, "content-length").and_then(|length| length.parse().ok()) {
            Some(length) => self.take(length),
            None => Ok(Vec::new()),
        }
    }

    pub fn read_request(&mut self) -> io::Result<Request> {
        let (first, headers) = self.read_head()?;
        let target = first.split(' ').nth(1).unwrap_or("").to_owned();
        self.read_body(&headers)?;
        Ok(Request { target, headers })
    }

    /// Reads a whole response: its status, its fields and its body.
    pub fn read_response(&mut self) -> io::Result<(u16, Headers, Vec<u8>)> {
        let (first, headers) = self.read_head()?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let body = self.read_body(&headers)?;
        Ok((status, headers, body))
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) -> io::Result<()> {
        self.stream.write_all(bytes.as_ref())
    }
}

/// A listener at `ip` whose connections are each handled by a thread.
pub fn listen(ip: IpAddr, handle: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("bind");
    let address = listener.local_addr().expect("address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Wire::new(stream)));
        }
    });
    address
}

/// A whole response with a body.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The platform's store: rows whose versions come from one counter. Writes of the instance are taken and
/// not kept: nobody reads them in these cases.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Default)]
struct StoreState {
    version: u64,
    /// Version and value in base64 by table and key.
    rows: BTreeMap<(String, String), (u64, String)>,
}

impl Store {
    pub fn set(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = (state.version, base64(value.as_bytes()));
        state.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    fn start(self: &Arc<Self>, ip: IpAddr) -> SocketAddr {
        let (store, started_at) = (Arc::clone(self), Instant::now());
        listen(ip, move |mut wire| {
            while let Ok(request) = wire.read_request() {
                let body = store.answer(&request, started_at);
                let answer = response("200 OK", "Content-Type: application/json\r\n", &body);
                if wire.send(answer).is_err() {
                    return;
                }
            }
        })
    }

    fn answer(&self, request: &Request, started_at: Instant) -> String {
        let table = request.parameter("table");
        let path = request.target.split('?').next().unwrap_or("");
        let rows = match path {
            "/v1/rows-feed" => {
                let after = request.parameter("after").parse().unwrap_or(0);
                let wait_ms = request.parameter("wait_ms").parse().unwrap_or(0);
                self.feed(table, after, Duration::from_millis(wait_ms))
            }
            "/v1/rows-tx" => {
                self.state.lock().unwrap().version += 1;
                Vec::new()
            }
            _ => rows(&self.state.lock().unwrap(), table, 0),
        };
        let version = self.state.lock().unwrap().version.max(1);
        let now_ms = started_at.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{version},\"now_ms\":{now_ms}}}")
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Vec<String> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let rows = rows(&state, table, after);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return rows;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// The rows of a table that changed after a version.
fn rows(state: &StoreState, table: &str, after: u64) -> Vec<String> {
    let found = state.rows.iter().filter(|((of, _), (ver, _))| of == table && *ver > after);
    let row = |((_, key), (ver, value)): (&(String, String), &(u64, String))| {
        format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{ver},\
             \"value\":\"{value}\"}}"
        )
    };
    found.map(row).collect()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let mut number = [0; 4];
        number[1..=three.len()].copy_from_slice(three);
        let number = u32::from_be_bytes(number);
        for digit in 0..4 {
            if digit <= three.len() {
                text.push(DIGITS[(number >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// The entry of a server in the store. `phase` is that of an engine, `born_ms` the start of its process.
pub fn server_entry(
    service: &str,
    address: SocketAddr,
    slots: u32,
    phase: Option<&str>,
    born_ms: u64,
) -> String {
    let phase = phase.map_or(String::new(), |phase| format!("\"phase\":\"{phase}\","));
    format!(
        "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"khomas-a\",\
         \"version\":\"1\",\"slots\":{slots},{phase}\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"sequence\":1,\"born\":{born_ms}}}"
    )
}

/// The store with the configuration, and three sound servers of the booking application with `slots`
/// each, which work on a request for `work`. `on_run` gets the number of the server and the attempt.
pub fn start_site(
    ip: IpAddr,
    slots: u32,
    work: Duration,
    on_run: impl Fn(usize, &str) + Send + Sync + 'static,
) -> Arc<Store> {
    let store = Arc::new(Store::default());
    store.set("op", "config", &configuration());
    let on_run = Arc::new(on_run);
    for index in 0..3 {
        let on_run = Arc::clone(&on_run);
        let address = listen(ip, move |mut wire| {
            while let Ok(request) = wire.read_request() {
                let attempt = request.attempt();
                on_run(index, attempt);
                thread::sleep(work);
                let headers = format!("Attempt-Id: {attempt}\r\nResponse-Stamp: 3e1b.{index}\r\n");
                if wire.send(response("200 OK", &headers, "done")).is_err() {
                    return;
                }
            }
        });
        let entry = server_entry("hire-desk", address, slots, None, BORN_MS);
        store.set("servers", &format!("i-{index}"), &entry);
    }
    store
}

/// The instance under test. Killed when dropped.
pub struct Node {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
}

impl Node {
    /// Starts the program of the deploy file on a machine with the given memory, and waits until it says
    /// that it is ready.
    pub fn start(binary: &str, ip: IpAddr, store: &Arc<Store>, memory_mb: u64) -> Node {
        let store = store.start(ip);
        let bind = |_| TcpListener::bind((ip, 0)).expect("bind");
        let listeners: Vec<TcpListener> = (0..5).map(bind).collect();
        let status = UdpSocket::bind((ip, 0)).expect("bind");
        let address = |at: usize| listeners[at].local_addr().expect("address");
        let (callers, ready, lookup, peers) = (address(0), address(1), address(2), address(3));
        let (metrics, status_port) = (address(4), status.local_addr().expect("address").port());
        let metrics_port = metrics.port();
        let text = format!(
            "{{\"instance\":\"front-{ip}\",\"zone\":\"khomas-a\",\"address\":\"{ip}\",\
             \"caller_address\":\"{callers}\",\"ready_address\":\"{ready}\",\
             \"lookup_address\":\"{lookup}\",\"peer_address\":\"{peers}\",\
             \"status_port\":{status_port},\"metrics_port\":{metrics_port},\"seeds\":[\"{peers}\"],\
             \"store_address\":\"{store}\",\"is_first_start\":true,\"grace_s\":8,\
             \"address_keep_s\":5,\"rate_window_s\":8,\"order_turn_ms\":3000,\
             \"machine\":{{\"memory_mb\":{memory_mb},\"max_descriptors\":4100}},\
             \"contracts\":[\"base\",\"drain\",\"config\",\"retry\",\"split\",\"stream\",\
             \"engine\",\"tenants\",\"quota\",\"places\",\"platform\"],\
             \"retry\":{{\"window_s\":10,\"share\":0.2,\"extra\":56}}}}"
        );
        let folder = PathBuf::from(std::env::var_os("REVIEW_FOLDER").expect("REVIEW_FOLDER"));
        let settings = folder.join("settings.jsonc");
        std::fs::write(&settings, text).expect("settings");
        drop((listeners, status));
        let child = Command::new(binary)
            .env("ALMONDROAD_NODE_FILE", &settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file");
        let node = Node { child, callers, ready, metrics };
        std::fs::write(folder.join("process"), format!("{}\n", node.child.id())).expect("process");
        let since = Instant::now();
        while node.ready_status() != Some(200) {
            assert!(since.elapsed() < READY_WITHIN, "the instance does not get ready");
            thread::sleep(Duration::from_millis(50));
        }
        node
    }

    /// The answer to the platform's question whether the instance is ready.
    pub fn ready_status(&self) -> Option<u16> {
        let mut wire = Wire::new(TcpStream::connect(self.ready).ok()?);
        wire.stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        wire.send(format!("GET /v1/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready)).ok()?;
        wire.read_response().ok().map(|(status, ..)| status)
    }

    pub fn connect(&self) -> io::Result<Wire> {
        let stream = TcpStream::connect(self.callers)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Wire::new(stream))
    }

    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) {
        let status = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status();
        assert!(status.is_ok_and(|status| status.success()), "SIGTERM was not sent");
    }

    /// A line of `/proc/PID/status` in KiB.
    pub fn memory_kib(&self, line: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let found = text.lines().find_map(|known| known.strip_prefix(line))?;
        found.trim_start_matches(':').trim().trim_end_matches(" kB").parse().ok()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Head of a client's request, without the blank line at its end.
pub fn head(method: &str, path: &str, attempt: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
    )
}

/// Clients of a crowd, which connect in this many threads, with a pause between two clients of a thread so
/// that none waits to be accepted.
const CROWD_THREADS: usize = 20;
const CROWD_PAUSE: Duration = Duration::from_millis(10);

/// Connects a crowd of `count` clients that each send `bytes` and stay.
pub fn gather_crowd(node: &Node, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let connect = || {
        thread::sleep(CROWD_PAUSE);
        let mut stream = TcpStream::connect(node.callers).ok()?;
        stream.write_all(bytes).ok()?;
        Some(stream)
    };
    let connect_some = || (0..count / CROWD_THREADS).filter_map(|_| connect()).collect::<Vec<_>>();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..CROWD_THREADS).map(|_| scope.spawn(connect_some)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a client")).collect()
    })
}

/// The operator's configuration: streams to engines under `/pose/` (resumable) and `/size/` (not
/// resumable), bookings under `/book/` (unsafe) and look-ups under `/look/` (safe).
fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":900,\
             \"priority\":1,\"backend\":\"{service}\",{more}}}"
        )
    };
    let stream = |resumable: bool, attempts: u32| {
        format!("\"max_attempts\":{attempts},\"resumable\":{resumable},\"gap_target_ms\":300")
    };
    let routes = [
        route("pose", "streaming", "fit-assist", 14_000, &stream(true, 2)),
        route("size", "streaming", "fit-assist", 14_000, &stream(false, 1)),
        route("book", "unsafe", "hire-desk", DESK_TIMEOUT_MS, "\"max_attempts\":1"),
        route("look", "safe", "hire-desk", DESK_TIMEOUT_MS, "\"max_attempts\":2"),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"fit-assist\",\
         \"engine\":{{\"slots\":128,\"kv_capacity\":34221,\"stride\":13,\"kv_hold_s\":0.5,\
         \"role_switch_s\":6}}}},{{\"name\":\"hire-desk\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"plain_tokens\":200,\
         \"rate_per_s\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}
