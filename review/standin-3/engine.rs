// A model server that is sound: it has slots and memory, holds both on request, and streams events.
// One thread serves all of its connections.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::platform_and_node::{Message, Wire, answer, find, next_id, spawn};

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

unsafe extern "C" {
    fn poll(fds: *mut PollFd, count: u64, timeout_ms: i32) -> i32;
}

const POLLIN: i16 = 1;

#[derive(Clone, Copy)]
pub struct EngineLimits {
    pub slots: usize,
    pub memory_tokens: u64,
    /// Tokens in an event.
    pub stride: u64,
    pub event_gap_ms: u64,
}

#[derive(Default)]
pub struct EngineCounts {
    pub runs: AtomicU64,
    pub running: AtomicU64,
    pub most_running: AtomicU64,
    pub rejected: AtomicU64,
}

struct Run {
    next_at: Instant,
    next_event: u64,
    events: u64,
    tokens: u64,
}

struct Link {
    wire: Wire,
    run: Option<Run>,
}

/// Starts an engine at a free port.
pub fn start_engine(limits: EngineLimits, counts: Arc<EngineCounts>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.set_nonblocking(true).expect("listener");
    let address = listener.local_addr().unwrap();
    spawn(move || Engine { limits, counts, links: Vec::new(), holds: HashMap::new() }.run(&listener));
    address
}

struct Engine {
    limits: EngineLimits,
    counts: Arc<EngineCounts>,
    links: Vec<Link>,
    /// Tokens held, with the end of the hold.
    holds: HashMap<String, (u64, Instant)>,
}

impl Engine {
    fn run(mut self, listener: &TcpListener) {
        loop {
            self.wait(listener);
            while let Ok((stream, _)) = listener.accept() {
                self.add(stream);
            }
            let now = Instant::now();
            self.holds.retain(|_, (_, until)| now < *until);
            let links = std::mem::take(&mut self.links);
            for mut link in links {
                if self.serve(&mut link, now) {
                    self.links.push(link);
                } else if link.run.is_some() {
                    self.counts.running.fetch_sub(1, Ordering::Relaxed);
                }
            }
        }
    }

    fn add(&mut self, stream: TcpStream) {
        let wire = Wire::new(stream);
        let _ = wire.stream.set_nonblocking(true);
        self.links.push(Link { wire, run: None });
    }

    fn wait(&self, listener: &TcpListener) {
        let now = Instant::now();
        let next = self.links.iter().filter_map(|link| Some(link.run.as_ref()?.next_at)).min();
        let wait = next.map_or(Duration::from_millis(100), |at| at.saturating_duration_since(now));
        let wait_ms = wait.as_millis().min(100) as i32;
        let sockets = self.links.iter().map(|link| link.wire.stream.as_raw_fd());
        let sockets = sockets.chain([listener.as_raw_fd()]);
        let mut fds: Vec<PollFd> =
            sockets.map(|fd| PollFd { fd, events: POLLIN, revents: 0 }).collect();
        unsafe {
            poll(fds.as_mut_ptr(), fds.len() as u64, wait_ms.max(1));
        }
    }

    fn used(&self) -> (usize, u64) {
        let runs = self.links.iter().filter_map(|link| link.run.as_ref()).map(|run| run.tokens);
        let holds = self.holds.values().map(|(tokens, _)| *tokens);
        runs.chain(holds).fold((0, 0), |(count, sum), tokens| (count + 1, sum + tokens))
    }

    fn has_room(&self, tokens: u64) -> bool {
        let (count, sum) = self.used();
        count < self.limits.slots && sum + tokens <= self.limits.memory_tokens
    }

    /// Reads and writes what is due. Returns whether the connection stays open.
    fn serve(&mut self, link: &mut Link, now: Instant) -> bool {
        let mut chunk = [0; 16384];
        loop {
            match link.wire.stream.read(&mut chunk) {
                Ok(0) => return false,
                Ok(count) => link.wire.buffer.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        if let Some(run) = &mut link.run {
            if now < run.next_at {
                return true;
            }
            run.next_at = now + Duration::from_millis(self.limits.event_gap_ms);
            let event = format!("id: {}\ndata: {}\n\n", run.next_event, "t".repeat(60));
            let mut bytes = format!("{:x}\r\n{event}\r\n", event.len()).into_bytes();
            run.next_event += 1;
            if run.next_event > run.events {
                bytes.extend_from_slice(b"0\r\n\r\n");
                link.run = None;
                self.counts.running.fetch_sub(1, Ordering::Relaxed);
            }
            return link.wire.stream.write_all(&bytes).is_ok();
        }
        match take_request(&mut link.wire.buffer) {
            Some(request) => self.begin(link, &request, now),
            None => true,
        }
    }

    fn begin(&mut self, link: &mut Link, request: &Message, now: Instant) -> bool {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if request.path() == "/v1/hold-take" {
            let body = crate::platform_and_node::Json::parse(&request.body);
            let (tokens, ttl_ms) =
                body.map_or((0, 0), |body| (body.number("tokens"), body.number("ttl_ms")));
            if !self.has_room(tokens) {
                self.counts.rejected.fetch_add(1, Ordering::Relaxed);
                let bytes = answer("503 Service Unavailable", &[("Not-Executed", "1")], b"");
                return link.wire.stream.write_all(&bytes).is_ok();
            }
            let name = format!("h{}", next_id());
            let until = now + Duration::from_millis(ttl_ms.min(2_000));
            self.holds.insert(name.clone(), (tokens, until));
            let body = format!("{{\"retain\":\"{name}\"}}");
            return link.wire.stream.write_all(&answer("200 OK", &[], body.as_bytes())).is_ok();
        }
        if let Some(name) = request.path().strip_prefix("/v1/hold-drop/") {
            self.holds.remove(name);
        }
        if request.path().starts_with("/v1/") {
            return link.wire.stream.write_all(&answer("200 OK", &[], b"{}")).is_ok();
        }
        let counts = request.header("token-counts").unwrap_or("0,0");
        let counts = counts.split_once(',').unwrap_or(("0", "0"));
        let (prompt, output): (u64, u64) =
            (counts.0.trim().parse().unwrap_or(0), counts.1.trim().parse().unwrap_or(0));
        let tokens = prompt + output;
        let held = request.header("kv-hold").and_then(|name| self.holds.remove(name));
        if held.is_none() && !self.has_room(tokens) {
            self.counts.rejected.fetch_add(1, Ordering::Relaxed);
            let headers = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
            let bytes = answer("503 Service Unavailable", &headers, b"");
            return link.wire.stream.write_all(&bytes).is_ok();
        }
        self.counts.runs.fetch_add(1, Ordering::Relaxed);
        let running = self.counts.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.counts.most_running.fetch_max(running, Ordering::Relaxed);
        let events = output.div_ceil(self.limits.stride).max(1);
        link.run = Some(Run { next_at: now, next_event: 1, events, tokens });
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Stamp: stamp.{attempt}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        link.wire.stream.write_all(head.as_bytes()).is_ok()
    }
}

/// Takes a complete request with a length off the buffer.
fn take_request(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = find(buffer, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    });
    let mut message = Message { first, headers: headers.collect(), body: Vec::new() };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if buffer.len() < end + 4 + length {
        return None;
    }
    message.body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some(message)
}
