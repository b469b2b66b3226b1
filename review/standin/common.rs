// Parts that the cases share: a small HTTP server and client, the platform's store, the start of the
// project's instances, and the record of what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the time since the start to `record.txt`.
pub struct Record {
    since: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("record: {error}")));
        Arc::new(Record { since: Instant::now(), file: Mutex::new(file) })
    }

    pub fn now_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} {text}", ms / 1000, ms % 1000);
    }
}

/// Ends the case with the exit code that says that it could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

/// A request as read from a connection.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value.to_owned())
            .unwrap_or_default()
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (headers, length) = read_headers(reader)?;
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Reads header lines up to the blank line, and the length that they give.
pub fn read_headers(
    reader: &mut impl BufRead,
) -> io::Result<(Vec<(String, String)>, Option<usize>)> {
    let mut headers = Vec::new();
    let mut length = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((headers, length));
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok();
            }
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Accepts connections for as long as the process runs, each in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || handle(stream));
        }
    });
}

/// A row's version and its value in base64; `None` once it is removed.
type Row = (u64, Option<String>);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// The platform's store: rows with versions from one counter, reads, a feed and transactions.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    since: Instant,
}

impl Store {
    pub fn start(own: Ipv4Addr) -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            since: Instant::now(),
        });
        let listener = listen(own);
        let address = listener.local_addr().unwrap();
        let served = Arc::clone(&store);
        serve(listener, move |stream| {
            let _ = served.serve(stream);
        });
        (store, address)
    }

    pub fn set(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = (rows.version, Some(base64(value.as_bytes())));
        rows.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader)? {
            let answer = match request.path() {
                "/v1/rows-get" => self.read(&request),
                "/v1/rows-feed" => self.feed(&request),
                "/v1/rows-tx" => self.write(&request),
                _ => response("404 Not Found", "", ""),
            };
            writer.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let now_ms = self.since.elapsed().as_millis();
        let body = format!(
            "{{\"rows\":[{}],\"truncated\":false,\"ver\":{version},\"now_ms\":{now_ms}}}",
            rows.join(",")
        );
        response("200 OK", "Content-Type: application/json\r\n", &body)
    }

    fn read(&self, request: &Request) -> String {
        let (table, from) = (request.query("table"), request.query("from"));
        let rows = self.rows.lock().unwrap();
        let found = rows
            .rows
            .iter()
            .filter(|((of, key), (_, value))| *of == table && *key >= from && value.is_some());
        let found: Vec<String> = found.map(|(key, row)| row_json(key, row)).collect();
        self.page(&found, rows.version)
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((of, _), (version, _))| *of == table && *version > after)
                .collect();
            found.sort_by_key(|(_, (version, _))| *version);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let found: Vec<String> =
                    found.iter().map(|(key, row)| row_json(key, row)).collect();
                return self.page(&found, rows.version);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn write(&self, request: &Request) -> String {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let list = |name: &str| objects_of(&body, name);
        let mut rows = self.rows.lock().unwrap();
        let key_of = |object: &str| (text_of(object, "table"), text_of(object, "key"));
        for object in list("expected") {
            let known = rows.rows.get(&key_of(&object)).filter(|(_, value)| value.is_some());
            if known.map_or(0, |(version, _)| *version) != number_of(&object, "ver") {
                return response("412 Precondition Failed", "", "{\"rows\":[]}");
            }
        }
        rows.version += 1;
        let version = rows.version;
        for object in list("set_keys") {
            rows.rows.insert(key_of(&object), (version, Some(text_of(&object, "value"))));
        }
        for object in list("remove") {
            rows.rows.insert(key_of(&object), (version, None));
        }
        self.changed.notify_all();
        self.page(&[], version)
    }
}

fn row_json((table, key): &(String, String), (version, value): &Row) -> String {
    let value_json = value.as_ref().map_or("null".into(), |value| format!("\"{value}\""));
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},\
         \"value\":{value_json},\"deleted\":{}}}",
        value.is_none()
    )
}

/// The flat objects of a list in a transaction.
fn objects_of(body: &str, name: &str) -> Vec<String> {
    let Some(start) = body.find(&format!("\"{name}\":[")) else { return Vec::new() };
    let list = &body[start..];
    let list = &list[..list.find(']').unwrap_or(list.len())];
    list.split('{')
        .skip(1)
        .map(|object| object.split('}').next().unwrap_or("").to_owned())
        .collect()
}

fn text_of(object: &str, name: &str) -> String {
    let after = object.split(&format!("\"{name}\":\"")).nth(1).unwrap_or_default();
    after.split('"').next().unwrap_or_default().to_owned()
}

fn number_of(object: &str, name: &str) -> u64 {
    let after = object.split(&format!("\"{name}\":")).nth(1).unwrap_or_default();
    let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let first = u32::from(three[0]) << 16;
        let bits = three
            .iter()
            .skip(1)
            .zip([8, 0])
            .fold(first, |bits, (byte, shift)| bits | u32::from(*byte) << shift);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= three.len() { digit as char } else { '=' });
        }
    }
    text
}

/// A loopback network of this run, so that runs beside each other use different addresses.
pub fn loopback(last: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 80 + (id / 250 % 100) as u8, (id % 250) as u8 + 1, last)
}

pub fn listen(own: Ipv4Addr) -> TcpListener {
    TcpListener::bind((own, 0)).unwrap_or_else(|error| cannot_run(&format!("listen: {error}")))
}

/// Ports of an instance, the same at all of them.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub lookup: u16,
    pub peers: u16,
    pub metrics: u16,
    pub status: u16,
}

impl Ports {
    pub fn free(addresses: &[Ipv4Addr]) -> Ports {
        let free = || {
            'ports: loop {
                let port = listen(addresses[0]).local_addr().unwrap().port();
                for address in addresses {
                    let is_free = TcpListener::bind((*address, port)).is_ok()
                        && UdpSocket::bind((*address, port)).is_ok();
                    if !is_free {
                        continue 'ports;
                    }
                }
                return port;
            }
        };
        Ports {
            callers: free(),
            ready: free(),
            lookup: free(),
            peers: free(),
            metrics: free(),
            status: free(),
        }
    }
}

/// The project's instances, started with the command of the deploy file. Killed when dropped.
pub struct Instances {
    pub addresses: Vec<Ipv4Addr>,
    pub ports: Ports,
    pub children: Vec<Child>,
    folder: PathBuf,
}

impl Instances {
    /// Starts `count` instances with the settings of `platform/settings.jsonc`, filled in with the
    /// bounds of `sites/bmlw-ops.toml`, and waits until all are ready.
    pub fn start(count: u8, store: SocketAddr) -> Instances {
        let addresses: Vec<Ipv4Addr> = (1..=count).map(loopback).collect();
        let ports = Ports::free(&addresses);
        let folder = std::env::var_os("REVIEW_FOLDER").map_or_else(
            || std::env::temp_dir().join(format!("almondroad-review-{}", std::process::id())),
            PathBuf::from,
        );
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let zones = ["kgn-a", "kgn-b", "spt-c"];
        let mut instances = Instances { addresses, ports, children: Vec::new(), folder };
        let seeds: Vec<String> = instances
            .addresses
            .iter()
            .take(3)
            .map(|address| format!("\"{address}:{}\"", ports.peers))
            .collect();
        for (number, own) in instances.addresses.clone().into_iter().enumerate() {
            let zone = zones[number % zones.len()];
            let settings = format!(
                "{{\"instance\":\"front-{zone}-{number}\",\"zone\":\"{zone}\",\"address\":\"{own}\",\
                 \"caller_address\":\"{own}:{}\",\"ready_address\":\"{own}:{}\",\
                 \"lookup_address\":\"{own}:{}\",\"peer_address\":\"{own}:{}\",\
                 \"status_port\":{},\"metrics_port\":{},\"seeds\":[{}],\
                 \"store_address\":\"{store}\",\"is_first_start\":true,\"grace_s\":8.0,\
                 \"address_keep_s\":5,\"rate_window_s\":8,\"order_turn_ms\":3000,\
                 \"retry\":{{\"window_s\":10,\"share\":0.2,\"extra\":58}}}}",
                ports.callers,
                ports.ready,
                ports.lookup,
                ports.peers,
                ports.status,
                ports.metrics,
                seeds.join(",")
            );
            let file = instances.folder.join(format!("{number}.jsonc"));
            let log = instances.folder.join(format!("{number}.log"));
            if let Err(error) = std::fs::write(&file, settings) {
                cannot_run(&error.to_string());
            }
            let started = Command::new("target/release/almondroad-node")
                .env("ALMONDROAD_NODE_FILE", &file)
                .stdin(Stdio::null())
                .stdout(File::create(log).unwrap())
                .spawn();
            match started {
                Ok(child) => {
                    note_process(&instances.folder, child.id());
                    instances.children.push(child);
                }
                Err(error) => {
                    drop(instances);
                    cannot_run(&format!("almondroad-node: {error}"));
                }
            }
        }
        let since = Instant::now();
        while !instances.addresses.iter().all(|own| is_ready((*own, ports.ready).into())) {
            if since.elapsed() > Duration::from_secs(20) {
                drop(instances);
                cannot_run("the instances are not ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // Time in which the instances hear of each other.
        std::thread::sleep(Duration::from_millis(1_500));
        instances
    }

    pub fn caller_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.addresses[number]), self.ports.callers)
    }

    /// Sends a signal to one instance.
    pub fn signal(&self, number: usize, name: &str) {
        let id = self.children[number].id();
        let _ = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
    }

    /// Lines of the instances' logs that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut found = Vec::new();
        for number in 0..self.children.len() {
            let log = self.folder.join(format!("{number}.log"));
            let log = std::fs::read_to_string(log).unwrap_or_default();
            found.extend(log.lines().filter(|line| line.contains(text)).map(str::to_owned));
        }
        found
    }
}

impl Drop for Instances {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Adds a process to the list that `run.sh` ends if it is interrupted.
fn note_process(folder: &Path, id: u32) {
    let list = File::options().append(true).create(true).open(folder.join("processes"));
    let _ = list.and_then(|mut list| writeln!(list, "{id}"));
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let mut answer = String::new();
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_to_string(&mut answer).is_ok()
        && answer.starts_with("HTTP/1.1 200")
}
