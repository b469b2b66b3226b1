// Stand-ins for the third review: the platform's store, servers and clients, as the users' pages
// describe them, and the start of the project's own program. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Makes the kernel end a process with its parent.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub fn signal(pid: u32, signal: i32) {
    unsafe {
        kill(pid as i32, signal);
    }
}

/// Spawns a thread with a small stack.
pub fn spawn(run: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().stack_size(128 << 10).spawn(run).expect("thread")
}

// ---------------------------------------------------------------------------------------------
// Record

pub struct Record {
    file: Mutex<fs::File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Record> {
        let file = Mutex::new(fs::File::create(path).expect("record"));
        Arc::new(Record { file, started: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {}", text.as_ref());
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let value = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        Some(decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 2;
            }
            b'+' => out.push(b' '),
            byte => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns false at the end of the connection, and on an error or time-out.
    pub fn fill(&mut self) -> bool {
        let mut chunk = [0; 8192];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                true
            }
        }
    }

    pub fn read_head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if !self.fill() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        });
        Some(Message { first, headers: headers.collect(), body: Vec::new() })
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads the body of a message with a length or in chunks; `None` if it is incomplete.
    pub fn read_body(&mut self, message: &mut Message) -> Option<()> {
        if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            message.body = self.take(length)?;
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.take_line()?.split(';').next()?.trim(), 16).ok()?;
                let chunk = self.take(size + 2)?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&chunk[..size]);
            }
        }
        Some(())
    }

    pub fn read_message(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

/// Accepts connections at an address and serves each in a thread of its own.
pub fn listen(address: SocketAddr, serve: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("bind");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            spawn(move || serve(Wire::new(stream)));
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Rows {
    ver: u64,
    /// Version and value (base64; `None` if deleted) by table, part and key.
    rows: BTreeMap<(String, String, String), (u64, Option<String>)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address,
        });
        let served = Arc::clone(&store);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                spawn(move || store.serve(Wire::new(stream)));
            }
        });
        store
    }

    pub fn set(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let row = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(row, (ver, Some(encode_base64(value.as_bytes()))));
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), (ver, None));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn serve(&self, mut wire: Wire) {
        while let Some(request) = wire.read_message() {
            let bytes = match (request.method(), request.path()) {
                ("GET", "/v1/rows-get") => self.get(&request),
                ("GET", "/v1/rows-feed") => self.feed(&request),
                ("POST", "/v1/rows-tx") => self.transact(&request),
                _ => answer("404 Not Found", &[], b""),
            };
            if !wire.write(&bytes) {
                return;
            }
        }
    }

    fn body(&self, rows: &[String], ver: u64) -> Vec<u8> {
        let text = format!(
            "{{\"rows\":[{}],\"truncated\":false,\"ver\":{ver},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        );
        answer("200 OK", &[("Content-Type", "application/json")], text.as_bytes())
    }

    fn get(&self, request: &Message) -> Vec<u8> {
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let limit: usize = request.query("limit").and_then(|text| text.parse().ok()).unwrap_or(500);
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((t, p, k), (_, value))| {
            *t == table && *p == part && *k >= from && value.is_some()
        });
        let found: Vec<String> = found.take(limit).map(|(key, row)| row_text(key, row)).collect();
        self.body(&found, rows.ver)
    }

    fn feed(&self, request: &Message) -> Vec<u8> {
        let table = request.query("table").unwrap_or_default();
        let after: u64 = request.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((t, _, _), (ver, _))| *t == table && *ver > after)
                .collect();
            found.sort_by_key(|(_, (ver, _))| *ver);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let found: Vec<String> = found.iter().map(|(key, row)| row_text(key, row)).collect();
                return self.body(&found, rows.ver);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Message) -> Vec<u8> {
        let Some(body) = Json::parse(&request.body) else {
            return answer("400 Bad Request", &[], b"");
        };
        let id = |row: &Json| {
            (row.text("table"), row.text("part"), row.text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let conflict = body.list("expected").iter().any(|row| {
            let known = rows.rows.get(&id(row));
            let ver = known.filter(|(_, value)| value.is_some()).map_or(0, |(ver, _)| *ver);
            ver != row.number("ver")
        });
        if conflict {
            let ver = rows.ver;
            let text = format!("{{\"rows\":[],\"ver\":{ver},\"now_ms\":{}}}", self.now_ms());
            return answer("412 Precondition Failed", &[], text.as_bytes());
        }
        rows.ver += 1;
        let ver = rows.ver;
        for row in body.list("set_keys") {
            rows.rows.insert(id(row), (ver, Some(row.text("value"))));
        }
        for row in body.list("remove") {
            rows.rows.insert(id(row), (ver, None));
        }
        self.changed.notify_all();
        let text = format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.now_ms());
        answer("200 OK", &[("Content-Type", "application/json")], text.as_bytes())
    }
}

fn row_text((table, part, key): &(String, String, String), row: &(u64, Option<String>)) -> String {
    let (ver, value) = row;
    match value {
        Some(value) => format!(
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{ver}}}"
        ),
        None => format!(
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{ver},\"deleted\":true}}"
        ),
    }
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(three.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char;
            out.push(if index <= three.len() { letter } else { '=' });
        }
    }
    out
}

/// JSON, as far as the store needs it.
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        Json::value(bytes, &mut at)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Json::skip(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let name = Json::string(bytes, at)?;
                            Json::skip(bytes, at);
                            *at += 1;
                            fields.push((name, Json::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Json::value(bytes, at)?),
                    }
                }
            }
            b'"' => Some(Json::Text(Json::string(bytes, at)?)),
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|byte| !b",]} \r\n".contains(byte)) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
                Some(word.parse().map_or(Json::Null, Json::Number))
            }
        }
    }

    fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
        *at += 1;
        let mut out = Vec::new();
        loop {
            match bytes.get(*at)? {
                b'"' => {
                    *at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    *at += 1;
                    out.push(*bytes.get(*at)?);
                }
                byte => out.push(*byte),
            }
            *at += 1;
        }
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(known, _)| known == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The project's own program

pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub lookup: u16,
    pub peer: u16,
    pub status: u16,
    pub metrics: u16,
}

impl Ports {
    /// Finds ports that are free now. They are the same on all machines.
    pub fn find() -> Ports {
        let sockets: Vec<TcpListener> =
            (0..6).map(|_| TcpListener::bind("127.0.0.1:0").expect("port")).collect();
        let port = |index: usize| sockets[index].local_addr().unwrap().port();
        Ports {
            front: port(0),
            ready: port(1),
            lookup: port(2),
            peer: port(3),
            status: port(4),
            metrics: port(5),
        }
    }
}

pub struct Node {
    pub child: Child,
    pub address: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        signal(self.child.id(), SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct NodeOptions {
    pub index: u8,
    pub memory_mb: u64,
    pub max_fds: u64,
    pub first_start: bool,
    pub seeds: Vec<Ipv4Addr>,
}

impl Node {
    /// Fills in the settings as the platform does and starts the program of the deploy file.
    pub fn start(dir: &Path, ports: &Ports, store: &Store, options: &NodeOptions) -> Node {
        let address = Ipv4Addr::new(127, 0, 0, options.index);
        let seeds: Vec<String> =
            options.seeds.iter().map(|seed| format!("\"{seed}:{}\"", ports.peer)).collect();
        let settings = format!(
            "{{\"instance\":\"front-{index}\",\"zone\":\"khomas-a\",\"address\":\"{address}\",\
             \"caller_address\":\"{address}:{}\",\"ready_address\":\"{address}:{}\",\
             \"lookup_address\":\"{address}:{}\",\"peer_address\":\"{address}:{}\",\
             \"status_port\":{},\"metrics_port\":{},\"seeds\":[{}],\"store_address\":\"{}\",\
             \"is_first_start\":{},\"grace_s\":8,\"address_keep_s\":5,\"rate_window_s\":8,\
             \"order_turn_ms\":3000,\"machine\":{{\"memory_mb\":{},\"max_descriptors\":{}}},\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\
             \"stream\",\"engine\",\"tenants\",\"quota\",\"places\",\"platform\"],\
             \"retry\":{{\"window_s\":10,\"share\":0.2,\"extra\":56}}}}",
            ports.front,
            ports.ready,
            ports.lookup,
            ports.peer,
            ports.status,
            ports.metrics,
            seeds.join(","),
            store.address,
            options.first_start,
            options.memory_mb,
            options.max_fds,
            index = options.index,
        );
        let file = dir.join(format!("node-{}.json", options.index));
        fs::write(&file, settings).expect("settings");
        let mut command = Command::new("target/release/almondroad-node");
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .env("ALMONDROAD_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("almondroad-node");
        Node {
            child,
            address,
            front: SocketAddr::from((address, ports.front)),
            ready: SocketAddr::from((address, ports.ready)),
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        exchange(self.ready, request, Duration::from_secs(1)).is_some_and(|a| a.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Largest resident set of the process so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        proc_status(self.child.id(), "VmHWM:")
    }

    pub fn memory_kib(&self) -> u64 {
        proc_status(self.child.id(), "VmRSS:")
    }
}

/// The program of the deploy file must have been built.
pub fn is_built() -> bool {
    Path::new("target/release/almondroad-node").exists()
}

fn proc_status(pid: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    line.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

pub fn connect(address: SocketAddr, limit: Duration) -> Option<Wire> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    Some(Wire::new(stream))
}

/// Sends a request on a new connection and reads the whole answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut wire = connect(address, limit)?;
    if !wire.write(request) {
        return None;
    }
    wire.read_message()
}

// ---------------------------------------------------------------------------------------------
// Small things

static NEXT: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed))
}

pub fn temporary_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    fs::create_dir_all(&path).expect("temporary folder");
    path
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn close(wire: &Wire) {
    let _ = wire.stream.shutdown(Shutdown::Both);
}

/// The configuration of a small deployment, after the example of `fleetbench wire`.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u64, aim: u64, attempts: u64, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"desk.example\",\"path_prefix\":\"{prefix}\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\
             \"priority\":1,\"backend\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\
             \"sticky\":{},\"resumable\":{resumable},\"gap_target_ms\":300}}",
            kind == "streaming"
        )
    };
    let routes = [
        route("pose", "/pose/", "streaming", "fit-assist", 14000, 900, 2, true),
        route("size", "/size/", "streaming", "fit-assist", 14000, 900, 1, false),
        route("book", "/book/", "unsafe", "hire-desk", 4000, 300, 1, false),
        route("look", "/look/", "safe", "hire-desk", 4000, 300, 2, false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"fit-assist\",\"health_path\":\"/health\",\"max_connections\":620,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
         \"engine\":{{\"slots\":128,\"kv_capacity\":34221,\"token_bytes\":35136,\
         \"link_mbps\":1100000.0,\"moves\":true,\"replicas\":true,\"stride\":13,\"most\":12,\
         \"kv_hold_s\":0.5,\"role_switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"hire-desk\",\"health_path\":\"/health\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-of-hule\"],\"priority\":1,\
         \"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}

/// The entry of a server in the store.
pub fn entry(service: &str, address: SocketAddr, slots: u32, phase: Option<&str>) -> String {
    let phase = phase.map_or(String::new(), |phase| {
        format!(
            ",\"phase\":\"{phase}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}]"
        )
    });
    format!(
        "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"khomas-a\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0{phase},\
         \"born\":1790000000000,\"sequence\":4}}"
    )
}

/// The head of a client's request, without the blank line.
pub fn client_head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-of-hule\r\n"
    )
}
