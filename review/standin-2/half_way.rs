//! A crowd of clients begins requests and stops half-way. Sound clients send a booking, and a prompt
//! ahead of its answer.

use std::collections::HashSet;
use std::io::{self, Write};
use std::net::{IpAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::common::{
    Machine, Node, Record, Store, Wire, configuration, head, listen, response, server_entry,
};

/// Clients of the crowd, below the descriptors of the machine.
const CROWD: usize = 2_600;
const THREADS: usize = 20;
/// Pause of a thread between two of its clients, so that none waits to be accepted.
const PAUSE: Duration = Duration::from_millis(10);
const CLIENTS: usize = 20;
/// Time that a server works on a booking.
const WORK: Duration = Duration::from_millis(600);
/// Size of the prompt. The site's largest have 72,000 bytes.
const PROMPT_BYTES: usize = 12_000;
/// Connections that the rule allows to close so.
const ALLOWED: usize = 3;

pub fn play(binary: &str, has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let ip = IpAddr::from([127, 9, 9, 1]);
    let store = Arc::new(Store::default());
    store.set("op", "config", &configuration());
    let received: Arc<Mutex<HashSet<String>>> = Arc::default();
    for index in 0..3 {
        let (log, received) = (Arc::clone(record), Arc::clone(&received));
        let address = listen(ip, move |mut wire| {
            while let Ok(request) = wire.read_request() {
                let attempt = request.attempt().to_owned();
                log.add(format!("server {index} runs {attempt}"));
                received.lock().unwrap().insert(attempt.clone());
                thread::sleep(WORK);
                let headers =
                    format!("Attempt-Id: {attempt}\r\nResponse-Stamp: 3e1b.{index}.600.0\r\n");
                if wire.send(response("200 OK", &headers, &format!("done {attempt}"))).is_err() {
                    return;
                }
            }
        });
        store.set("servers", &format!("i-{index}"), &server_entry("hire-desk", address, 6, None));
    }
    let store_address = store.start(ip, Instant::now());
    let machine = Machine { memory_mb: 110, max_fds: 4100, grace_s: 8 };
    let node = Node::start(binary, ip, store_address, &machine);
    record.add("the instance is ready");
    let crowd = if has_trouble { gather(&node, record) } else { Vec::new() };
    let connections = (0..CLIENTS).map(|_| node.connect().expect("connect"));
    let connections: Vec<Wire> = connections.collect();
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(client, mut wire)| {
            let (record, received) = (Arc::clone(record), Arc::clone(&received));
            thread::spawn(move || {
                let booking = format!("c{client}-booking");
                let error = run_client(&booking, client, &mut wire, &record).err();
                if let Some(error) = &error {
                    record.add(format!("client {client}: no answer to {booking}: {error}"));
                }
                error.is_some() && received.lock().unwrap().contains(&booking)
            })
        })
        .collect();
    let lost = clients.into_iter().filter_map(|client| client.join().ok());
    let lost = lost.filter(|is_lost| *is_lost).count();
    record.add(format!(
        "{lost} of {CLIENTS} bookings were passed on and their connections closed without an \
         answer, allowed {ALLOWED}; the crowd had {} connections",
        crowd.len()
    ));
    if lost > ALLOWED { Outcome::Broken } else { Outcome::Held }
}

/// Connects the crowd, whose members send the first half of a head and stay.
fn gather(node: &Node, record: &Record) -> Vec<TcpStream> {
    let address = node.callers;
    let members = (0..THREADS).map(|_| {
        thread::spawn(move || {
            let connect = |_| {
                thread::sleep(PAUSE);
                let mut stream = TcpStream::connect(address).ok()?;
                stream.write_all(b"POST /pose/1 HTTP/1.1\r\nHost:").ok()?;
                Some(stream)
            };
            (0..CROWD / THREADS).filter_map(connect).collect::<Vec<TcpStream>>()
        })
    });
    let members: Vec<_> = members.collect();
    let crowd = members.into_iter().flat_map(|member| member.join().expect("a client")).collect();
    record.add(format!("{CROWD} clients have sent half of a head and stay"));
    crowd
}

/// Uses a connection in calm, then sends a booking, and 200 ms later a prompt. Fails if the booking is
/// not answered.
fn run_client(booking: &str, client: usize, wire: &mut Wire, record: &Record) -> io::Result<()> {
    wire.send(head("GET", "/look/1", &format!("c{client}-look"), 4_000) + "\r\n")?;
    let (status, ..) = wire.read_response()?;
    record.add(format!("client {client}: c{client}-look answered {status}"));
    let body = [b'x'; 600];
    let mut request = head("POST", "/book/1", booking, 4_000).into_bytes();
    request.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    request.extend(body);
    wire.send(request)?;
    thread::sleep(Duration::from_millis(200));
    let fields =
        "Model: m\r\nToken-Counts: 3000,72\r\nPrompt-Prefix: 5c1e07a2:200,91bd3f06:2800\r\n";
    let mut prompt = head("POST", "/pose/7", &format!("c{client}-prompt"), 14_000).into_bytes();
    prompt.extend(format!("{fields}Content-Length: {PROMPT_BYTES}\r\n\r\n").into_bytes());
    prompt.extend([b'x'; PROMPT_BYTES]);
    wire.send(prompt)?;
    record.add(format!("client {client}: {booking} sent, and a prompt 200 ms after it"));
    let (status, ..) = wire.read_response()?;
    record.add(format!("client {client}: {booking} answered {status}"));
    Ok(())
}
