// An engine preempts a stream and goes on with it. Meanwhile the instance has the stream continued at
// another engine, which runs the request and loses the answer.
// Rule TWICE: a request goes on at another server while the server before still works on it 400 ms
// later.

use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::common::*;

/// Tokens of an event, and the time that a sound engine of `sites/bmlw-ops.toml` takes for each at
/// a batch of 20: 3.27 ms + 20 * 0.0823 ms.
const EVENT_MS: u64 = 12 * 5;
const EVENTS: u64 = 36;
/// Prompt of each request, its time at a prefill engine (33 tokens a ms) and at a decode engine, which
/// reads at half the speed.
const PROMPT_TOKENS: u64 = 3_000;
const PREFILL_MS: u64 = PROMPT_TOKENS / 33;
/// One request in so many is preempted, with and without the disruption. Events before it yields, and the
/// time until it runs again.
const PREEMPTED_ONE_IN: u64 = 3;
const EVENTS_BEFORE_PREEMPTION: u64 = 4;
const PREEMPTED_MS: u64 = 1_600;
/// Part of the servers that lose answers, and of the answers of each; 0.6 and 0.4 are the largest
/// ones of the site file.
const LOSING_SERVERS: usize = 3;
const DECODE_SERVERS: usize = 6;
const LOST_PART: f64 = 0.4;
/// The bound of the rule.
const BOUND_MS: u64 = 400;

const REQUESTS: u64 = 36;
const CALLERS: u64 = 3;

/// Time in which an engine worked on a request.
#[derive(Clone, Debug)]
struct Run {
    attempt: String,
    engine: String,
    is_continuation: bool,
    /// The first token.
    begun_ms: u64,
    /// The last time at which the engine worked on it.
    ended_ms: u64,
    end: &'static str,
}

struct Engine {
    id: String,
    loses_answers: bool,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    next_id: AtomicU64,
    /// Runs, and those whose answer was lost.
    counts: Mutex<(u64, u64)>,
}

impl Engine {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader)? {
            if request.path().starts_with("/v1/") {
                let answer = self.call(&request);
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            let named = request.header("expect-instance");
            let attempt = request.header("attempt-id").to_owned();
            if !named.is_empty() && named != self.id {
                let echo = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
                writer.write_all(response("421 Misdirected Request", &echo, "").as_bytes())?;
                continue;
            }
            if request.header("stage") == "prefill" {
                self.record.line(&format!("{} reads the prompt of {attempt}", self.id));
                std::thread::sleep(Duration::from_millis(PREFILL_MS));
                let handle = self.next_id.fetch_add(1, Ordering::Relaxed);
                let body = format!(
                    "{{\"handle\":\"{}h{handle}\",\"tokens\":{PROMPT_TOKENS},\"version\":1}}",
                    self.id
                );
                let echo = format!("Attempt-Id: {attempt}\r\nContent-Type: application/json\r\n");
                writer.write_all(response("200 OK", &echo, &body).as_bytes())?;
                continue;
            }
            return self.run(&request, &attempt, &mut writer);
        }
        Ok(())
    }

    fn call(&self, request: &Request) -> String {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        match (request.method.as_str(), request.path()) {
            ("POST", "/v1/hold-take") => {
                response("200 OK", "", &format!("{{\"retain\":\"{}r{id}\"}}", self.id))
            }
            ("POST", "/v1/order") => response("409 Conflict", "", ""),
            ("GET", "/v1/report") => response("503 Service Unavailable", "", ""),
            _ => response("200 OK", "", ""),
        }
    }

    /// Streams the events of a request until the end or until the connection is closed.
    fn run(&self, request: &Request, attempt: &str, writer: &mut TcpStream) -> io::Result<()> {
        let last_event: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let is_continuation = last_event > 0;
        let number = u64::from_str_radix(attempt, 16).unwrap_or(0);
        let is_preempted = !is_continuation && number % PREEMPTED_ONE_IN == 0;
        if !self
            .sleep(writer, if request.header("kv-source").is_empty() { PREFILL_MS * 2 } else { 5 })
        {
            self.record.line(&format!("{} drops {attempt} before its first token", self.id));
            return Ok(());
        }
        let begun_ms = self.record.now_ms();
        let is_lost = is_continuation && self.loses_answer();
        if !is_continuation {
            self.counts.lock().unwrap().0 += 1;
        }
        self.record.line(&format!("{} runs {attempt} from event {}", self.id, last_event + 1));
        let mut run = Run {
            attempt: attempt.to_owned(),
            engine: self.id.clone(),
            is_continuation,
            begun_ms,
            ended_ms: begun_ms,
            end: "complete",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Stamp: {}.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Connection: close\r\n\r\n",
            self.id
        );
        if !is_lost {
            writer.write_all(head.as_bytes())?;
        }
        for event in last_event + 1..=EVENTS {
            if is_preempted && event == EVENTS_BEFORE_PREEMPTION + 1 {
                self.record.line(&format!("{} preempts {attempt}", self.id));
                if !self.sleep(writer, PREEMPTED_MS) {
                    run.end = "connection closed while preempted";
                    break;
                }
                self.record.line(&format!("{} goes on with {attempt}", self.id));
            }
            if !self.sleep(writer, EVENT_MS) {
                run.ended_ms = self.record.now_ms();
                run.end = "connection closed";
                break;
            }
            run.ended_ms = self.record.now_ms();
            let text = format!("id: {event}\ndata: {attempt} piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if !is_lost && writer.write_all(chunk.as_bytes()).is_err() {
                run.end = "connection closed";
                break;
            }
        }
        if is_lost && run.end == "complete" {
            run.end = "complete, its answer is lost";
        } else if run.end == "complete" {
            writer.write_all(b"0\r\n\r\n")?;
        }
        self.record.line(&format!("{} ends {attempt}: {}", self.id, run.end));
        self.runs.lock().unwrap().push(run);
        Ok(())
    }

    /// Counts a run. Returns whether its answer is lost.
    fn loses_answer(&self) -> bool {
        let mut counts = self.counts.lock().unwrap();
        counts.0 += 1;
        let is_lost = self.loses_answers && (counts.1 + 1) as f64 <= LOST_PART * counts.0 as f64;
        counts.1 += u64::from(is_lost);
        is_lost
    }

    /// Works for a time. Returns false as soon as the connection is closed.
    fn sleep(&self, stream: &TcpStream, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            let step = left.min(Duration::from_millis(10)).max(Duration::from_millis(1));
            let _ = stream.set_read_timeout(Some(step));
            let mut byte = [0; 1];
            let since = Instant::now();
            match stream.peek(&mut byte) {
                Ok(0) => return false,
                Ok(_) => std::thread::sleep(step.saturating_sub(since.elapsed())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {}
                Err(_) => return false,
            }
        }
        let _ = stream.set_read_timeout(None);
        true
    }
}

fn configuration() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"digest\",\"hostname\":\"mills.example\",\
     \"path_prefix\":\"/digest/\",\"route_type\":\"streaming\",\"timeout_ms\":14000,\
     \"target_latency_ms\":900,\"priority\":1,\"backend\":\"millreader\",\"max_attempts\":2,\
     \"public\":false,\"resumable\":true,\"gap_target_ms\":300}],\
     \"services\":[{\"name\":\"millreader\",\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
     \"engine\":{\"slots\":64,\"kv_capacity\":42475,\"stride\":12,\"kv_hold_s\":0.5,\
     \"role_switch_s\":6.0}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"mandeville\",\"api_keys\":[\"key-1\"],\"plain_tokens\":200,\
     \"rate_per_s\":1000000,\"burst\":1000000}]}"
        .to_owned()
}

fn send(address: SocketAddr, attempt: &str, record: &Record) {
    record.line(&format!("client sends {attempt}"));
    let body = "x".repeat(300);
    let request = format!(
        "POST /digest/1 HTTP/1.1\r\nHost: mills.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\n\
         Token-Counts: {PROMPT_TOKENS},{}\r\nPrompt-Prefix: 5c1e:200,{attempt}:2800\r\n\
         Length-Hint: {}\r\nDeadline-Ms: 14000\r\nAuthorization: Bearer key-1\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        EVENTS * 12,
        EVENTS * 12,
        body.len()
    );
    let mut answer = Vec::new();
    let sent = TcpStream::connect(address).and_then(|mut stream| {
        // Four times the objective, as the protocol has clients wait.
        stream.set_read_timeout(Some(Duration::from_millis(3_600)))?;
        stream.write_all(request.as_bytes())?;
        stream.read_to_end(&mut answer)
    });
    let text = String::from_utf8_lossy(&answer);
    let status = text.lines().next().unwrap_or("no answer").to_owned();
    let pieces = text.matches(" piece ").count();
    let is_whole = sent.is_ok() && text.ends_with("0\r\n\r\n");
    record.line(&format!("client has for {attempt}: {status}, {pieces} events, whole: {is_whole}"));
}

pub fn run(record_file: &str, has_trouble: bool) -> bool {
    let record = Record::create(record_file);
    record.line(&format!("trouble: {has_trouble}"));
    let (store, store_address) = Store::start(loopback(100));
    store.set("op", "config", &configuration());
    let runs = Arc::new(Mutex::new(Vec::new()));
    let zones = ["kgn-a", "kgn-b", "spt-c"];
    for number in 0..9_u8 {
        let is_decode = usize::from(number) < DECODE_SERVERS;
        let id = format!("{}{number}", if is_decode { "d" } else { "p" });
        let engine = Arc::new(Engine {
            id: id.clone(),
            loses_answers: has_trouble && usize::from(number) < LOSING_SERVERS,
            record: Arc::clone(&record),
            runs: Arc::clone(&runs),
            next_id: AtomicU64::new(1),
            counts: Mutex::default(),
        });
        let listener = listen(loopback(110 + number));
        let address = listener.local_addr().unwrap();
        serve(listener, move |stream| {
            let _ = engine.serve(stream);
        });
        let entry = format!(
            "{{\"backend\":\"millreader\",\"address\":\"{address}\",\"zone\":\"{}\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1,\"born\":1786000000000,\"phase\":\"{}\"}}",
            zones[usize::from(number) % 3],
            if is_decode { "decode" } else { "prefill" }
        );
        store.set("servers", &id, &entry);
    }
    let instances = Instances::start(3, store_address);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, address) =
                (Arc::clone(&record), instances.caller_address(caller as usize));
            std::thread::spawn(move || {
                for number in 0..REQUESTS / CALLERS {
                    send(address, &format!("{:x}", 0xa000 + caller * 0x100 + number), &record);
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    std::thread::sleep(Duration::from_millis(500));
    for line in instances.log_lines("request ended") {
        record.line(&format!("instance: {line}"));
    }
    drop(instances);
    check(&record, &runs.lock().unwrap())
}

/// Returns whether the rule held.
fn check(record: &Record, runs: &[Run]) -> bool {
    let mut by_attempt: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        by_attempt.entry(&run.attempt).or_default().push(run);
    }
    let mut broken = 0;
    for (attempt, runs) in &by_attempt {
        for first in runs.iter().filter(|run| !run.is_continuation) {
            for next in runs.iter().filter(|run| run.is_continuation) {
                let overlap_ms = first.ended_ms.saturating_sub(next.begun_ms);
                if overlap_ms > BOUND_MS && first.begun_ms < next.begun_ms {
                    broken += 1;
                    record.line(&format!(
                        "TWICE: {attempt} runs at {} from {} ms, and {} works on it until {} ms, \
                         {overlap_ms} ms longer",
                        next.engine, next.begun_ms, first.engine, first.ended_ms
                    ));
                }
            }
        }
    }
    let resumed = runs.iter().filter(|run| run.is_continuation).count();
    record.line(&format!("{} requests ran, {resumed} were continued at another engine, the rule was broken {broken} times", by_attempt.len()));
    if resumed == 0 {
        cannot_run("no request was continued at another engine");
    }
    println!("{resumed} requests continued at another engine, rule broken {broken} times");
    broken == 0
}
