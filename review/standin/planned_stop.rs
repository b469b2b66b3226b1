// Clients send a request before the response to the one before it has ended, on the same connection.
// Meanwhile the instance gets SIGTERM.
// Rule LOST: around planned work a process has read a whole request and the connection ends without a
// complete answer, later than `loss_slack_ms` after the request's last byte was sent.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::*;

const EVENTS: u64 = 50;
const EVENT_MS: u64 = 60;
const PREFILL_MS: u64 = 90;
const CLIENTS: u64 = 6;
/// Time from the first request to the second one on its connection, and to the signal.
const AHEAD_AFTER: Duration = Duration::from_millis(500);
const SIGNAL_AFTER: Duration = Duration::from_millis(1_000);
/// `contact_ms` and a little more, during which nothing is disturbed.
const CALM: Duration = Duration::from_millis(3_500);
/// Bounds of `sites/bmlw-ops.toml`.
const LOSS_SLACK_MS: u64 = 200;
const GRACE_MS: u64 = 8_000;

/// What became of a request.
struct Exchange {
    attempt: String,
    sent_ms: u64,
    ended_ms: u64,
    status: String,
    is_whole: bool,
    end: String,
}

struct Engine {
    id: String,
    record: Arc<Record>,
    next_id: AtomicU64,
}

impl Engine {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader)? {
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            let attempt = request.header("attempt-id").to_owned();
            let echo = format!("Attempt-Id: {attempt}\r\n");
            let answer = match (request.method.as_str(), request.path()) {
                ("POST", "/v1/hold-take") => {
                    response("200 OK", "", &format!("{{\"retain\":\"{}r{id}\"}}", self.id))
                }
                ("POST", "/v1/order") => response("409 Conflict", "", ""),
                ("GET", "/v1/report") => response("503 Service Unavailable", "", ""),
                (_, path) if path.starts_with("/v1/") => response("200 OK", "", ""),
                _ if request.header("expect-instance") != self.id => {
                    response("421 Misdirected Request", &format!("{echo}Not-Executed: 1\r\n"), "")
                }
                _ if request.header("stage") == "prefill" => {
                    std::thread::sleep(Duration::from_millis(PREFILL_MS));
                    let body = format!(
                        "{{\"handle\":\"{}h{id}\",\"tokens\":3000,\"version\":1}}",
                        self.id
                    );
                    response("200 OK", &echo, &body)
                }
                _ => {
                    self.run(&attempt, &mut writer)?;
                    continue;
                }
            };
            writer.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn run(&self, attempt: &str, writer: &mut TcpStream) -> io::Result<()> {
        self.record.line(&format!("{} runs {attempt}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Stamp: {}.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            std::thread::sleep(Duration::from_millis(EVENT_MS));
            let text = format!("id: {event}\ndata: {attempt} piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            writer.write_all(chunk.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")?;
        self.record.line(&format!("{} ends {attempt}: complete", self.id));
        Ok(())
    }
}

fn configuration() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"digest\",\"hostname\":\"mills.example\",\
     \"path_prefix\":\"/digest/\",\"route_type\":\"streaming\",\"timeout_ms\":14000,\
     \"target_latency_ms\":900,\"priority\":1,\"backend\":\"millreader\",\"max_attempts\":1,\
     \"public\":false,\"resumable\":false,\"gap_target_ms\":300}],\
     \"services\":[{\"name\":\"millreader\",\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
     \"engine\":{\"slots\":64,\"kv_capacity\":42475,\"stride\":12,\"kv_hold_s\":0.5,\
     \"role_switch_s\":6.0}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"mandeville\",\"api_keys\":[\"key-1\"],\"plain_tokens\":200,\
     \"rate_per_s\":1000000,\"burst\":1000000}]}"
        .to_owned()
}

fn request(attempt: &str) -> String {
    let body = "x".repeat(300);
    format!(
        "POST /digest/1 HTTP/1.1\r\nHost: mills.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\n\
         Token-Counts: 3000,600\r\nPrompt-Prefix: 5c1e:200,{attempt}:2800\r\nDeadline-Ms: 14000\r\n\
         Authorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one response with a chunked or counted body. Returns its status, whether it is whole, whether
/// it announces the end of the connection, and how the connection ended, if it did.
fn read_response(reader: &mut BufReader<TcpStream>) -> (String, bool, bool, String) {
    let mut status = String::new();
    match reader.read_line(&mut status) {
        Ok(0) => return ("none".into(), false, true, "closed".into()),
        Err(error) => return ("none".into(), false, true, error.kind().to_string()),
        Ok(_) => {}
    }
    let status = status.trim_end().to_owned();
    let Ok((headers, length)) = read_headers(reader) else {
        return (status, false, true, "closed in the head".into());
    };
    let closes = headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close")
    });
    if let Some(length) = length {
        let mut body = vec![0; length];
        let is_whole = reader.read_exact(&mut body).is_ok();
        return (status, is_whole, closes, String::new());
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return (status, false, true, "closed in the body".into());
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return (status, false, true, "no chunk".into());
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (status, false, true, "closed in the body".into());
        }
        if length == 0 {
            return (status, true, closes, String::new());
        }
    }
}

/// Sends two requests on one connection and reads both responses.
fn call(address: SocketAddr, client: u64, record: &Record) -> io::Result<Vec<Exchange>> {
    let mut writer = TcpStream::connect(address)?;
    writer.set_nodelay(true)?;
    writer.set_read_timeout(Some(Duration::from_secs(15)))?;
    let attempts = [format!("b{client}01"), format!("b{client}02")];
    let mut sent_ms = Vec::new();
    for attempt in &attempts {
        writer.write_all(request(attempt).as_bytes())?;
        sent_ms.push(record.now_ms());
        record.line(&format!("client {client} has sent {attempt} whole"));
        if sent_ms.len() < attempts.len() {
            std::thread::sleep(AHEAD_AFTER);
        }
    }
    let mut reader = BufReader::new(writer);
    let mut exchanges = Vec::new();
    for (attempt, sent_ms) in attempts.into_iter().zip(sent_ms) {
        let (status, is_whole, closes, end) = read_response(&mut reader);
        record.line(&format!(
            "client {client} has for {attempt}: {status}, whole: {is_whole}, announces the end of \
             the connection: {closes}, connection: {}",
            if end.is_empty() { "open" } else { end.as_str() }
        ));
        let ended_ms = record.now_ms();
        exchanges.push(Exchange { attempt, sent_ms, ended_ms, status, is_whole, end });
    }
    Ok(exchanges)
}

pub fn run(record_file: &str, has_trouble: bool) -> bool {
    let record = Record::create(record_file);
    record.line(&format!("trouble: {has_trouble}"));
    let (store, store_address) = Store::start(loopback(100));
    store.set("op", "config", &configuration());
    let zones = ["kgn-a", "kgn-b", "spt-c"];
    for number in 0..9_u8 {
        let is_decode = number < 6;
        let id = format!("{}{number}", if is_decode { "d" } else { "p" });
        let next_id = AtomicU64::new(1);
        let engine = Arc::new(Engine { id: id.clone(), record: Arc::clone(&record), next_id });
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
    std::thread::sleep(CALM);
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, exchanges) = (Arc::clone(&record), Arc::clone(&exchanges));
            let address = instances.caller_address(0);
            std::thread::spawn(move || match call(address, client, &record) {
                Ok(done) => exchanges.lock().unwrap().extend(done),
                Err(error) => record.line(&format!("client {client}: {error}")),
            })
        })
        .collect();
    std::thread::sleep(SIGNAL_AFTER);
    let mut signalled_ms = None;
    if has_trouble {
        signalled_ms = Some(record.now_ms());
        record.line("SIGTERM to the instance");
        instances.signal(0, "TERM");
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    for line in instances.log_lines("\"part\":\"node\"") {
        record.line(&format!("instance: {line}"));
    }
    drop(instances);
    let exchanges = exchanges.lock().unwrap();
    check(&record, &exchanges, signalled_ms)
}

/// Returns whether the rule held.
fn check(record: &Record, exchanges: &[Exchange], signalled_ms: Option<u64>) -> bool {
    if exchanges.len() as u64 != 2 * CLIENTS {
        cannot_run("a client could not send its requests");
    }
    let mut lost = 0;
    for Exchange { attempt, sent_ms, ended_ms, status, is_whole, end } in exchanges {
        let waited_ms = ended_ms - sent_ms;
        // A connection that is closed with unread bytes is reset; a clean end says that the process has
        // read the request.
        let was_read = end == "closed" || status != "none";
        let is_around_stop =
            signalled_ms.is_none_or(|at| *ended_ms >= at && *ended_ms <= at + GRACE_MS + 1_000);
        if !is_whole && was_read && is_around_stop && waited_ms > LOSS_SLACK_MS {
            lost += 1;
            record.line(&format!(
                "LOST: {attempt}, no complete answer, {waited_ms} ms after its last byte was sent"
            ));
        }
    }
    record.line(&format!("{} requests sent, {lost} lost", exchanges.len()));
    println!("{} requests sent, {lost} lost", exchanges.len());
    lost == 0
}
