//! A request whose prompt has many short parts crashes the engines that begin to run it, and comes again
//! from clients that do not wait as told. Sound clients send bookings meanwhile.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::common::{
    BORN_MS, DESK_TIMEOUT_MS, Node, Record, Request, Store, Wire, head, response, server_entry,
    start_site,
};

const ENGINES: usize = 4;
/// Time for which an engine is down after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// Parts of the prompt of the request that crashes engines.
const PARTS: usize = 1_000;
/// Clients that repeat this request, and for how long.
const REPEATING: usize = 24;
const LENGTH: Duration = Duration::from_secs(10);
/// Bookings of sound clients, each on a connection of its own.
const BOOKINGS: usize = 20;
const BOOKING_INTERVAL: Duration = Duration::from_millis(300);
/// The route's time, what the rule adds to it, and the number of late requests from which on it counts.
const TIMEOUT_MS: u128 = DESK_TIMEOUT_MS as u128;
const LATE_MS: u128 = TIMEOUT_MS + 500;
const MIN_LATE: usize = 8;

pub fn play(binary: &str, has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let ip = IpAddr::from([127, 9, 11, 1]);
    let store = start_site(ip, 6, Duration::from_millis(60), |_, _| {});
    for index in 0..ENGINES {
        let (store, record) = (Arc::clone(&store), Arc::clone(record));
        let listener = TcpListener::bind((ip, 0)).expect("bind");
        let address = listener.local_addr().expect("address");
        announce(&store, index, address, 0);
        thread::spawn(move || run_engine(index, listener, has_trouble, &store, &record));
    }
    let node = Node::start(binary, ip, &store, 110);
    record.add(format!("the instance is ready; a booking is answered {:?}", book(&node, 99)));
    let size = request_of_many_parts("first").len();
    record.add(format!("the request has {PARTS} prompt parts and a head of {} bytes", size - 2));
    for number in 1..=4 {
        let sent = Instant::now();
        let status = ask(node.callers, &format!("first-{number}"));
        let after_ms = sent.elapsed().as_millis();
        record.add(format!("the request is sent, answered {status:?} after {after_ms} ms"));
        thread::sleep(Duration::from_millis(700));
    }
    let until = Instant::now() + LENGTH;
    let answered = Arc::new(AtomicUsize::new(0));
    for client in 0..REPEATING {
        let (address, answered) = (node.callers, Arc::clone(&answered));
        thread::spawn(move || {
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                if ask(address, &format!("r{client}-{number}")).is_some() {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    thread::sleep(Duration::from_secs(1));
    let times: Vec<u128> = thread::scope(|scope| {
        let bookings = (0..BOOKINGS).map(|number| {
            thread::sleep(BOOKING_INTERVAL);
            let node = &node;
            scope.spawn(move || {
                let sent = Instant::now();
                let status = book(node, number);
                let after_ms = sent.elapsed().as_millis();
                record.add(format!("booking {number} answered {status:?} after {after_ms} ms"));
                after_ms
            })
        });
        let bookings: Vec<_> = bookings.collect();
        bookings.into_iter().map(|booking| booking.join().expect("a client")).collect()
    });
    let unanswered = times.iter().filter(|after_ms| **after_ms > TIMEOUT_MS).count();
    let late = times.iter().filter(|after_ms| **after_ms > LATE_MS).count();
    record.add(format!(
        "{} repeated requests answered; of {BOOKINGS} bookings {unanswered} had no answer at {TIMEOUT_MS} \
         ms, {late} of them none at {LATE_MS} ms",
        answered.load(Ordering::Relaxed)
    ));
    if late >= MIN_LATE && late * 2 > unanswered { Outcome::Broken } else { Outcome::Held }
}

/// Writes the entry of an engine that has crashed `crashes` times.
fn announce(store: &Store, index: usize, address: SocketAddr, crashes: u64) {
    let born_ms = BORN_MS + crashes * 5_000;
    let entry = server_entry("fit-assist", address, 128, Some("decode"), born_ms);
    store.set("servers", &format!("i-engine-{index}"), &entry);
}

/// Serves requests until one crashes the engine, which then starts again at its address.
fn run_engine(
    index: usize,
    mut listener: TcpListener,
    crashes_engines: bool,
    store: &Store,
    record: &Arc<Record>,
) {
    let address = listener.local_addr().expect("address");
    for crashes in 1.. {
        let has_crashed = Arc::new(AtomicBool::new(false));
        let streams: Mutex<Vec<TcpStream>> = Mutex::default();
        listener.set_nonblocking(true).expect("listener");
        while !has_crashed.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("stream");
            streams.lock().unwrap().extend(stream.try_clone());
            let (has_crashed, record) = (Arc::clone(&has_crashed), Arc::clone(record));
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(request) = wire.read_request() {
                    if crashes_engines && is_run(&request) {
                        record.add(format!("engine {index} crashes under {}", request.attempt()));
                        has_crashed.store(true, Ordering::Relaxed);
                        return;
                    }
                    if answer(&mut wire, &request, &record).is_err() {
                        return;
                    }
                }
            });
        }
        drop(listener);
        for stream in streams.lock().unwrap().iter() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        thread::sleep(DOWN);
        listener = TcpListener::bind(address).expect("bind");
        announce(store, index, address, crashes);
    }
}

fn is_run(request: &Request) -> bool {
    !request.target.starts_with("/v1/")
}

fn answer(wire: &mut Wire, request: &Request, record: &Record) -> io::Result<()> {
    if request.target == "/v1/hold-take" {
        return wire.send(response("200 OK", "", &format!("{{\"retain\":\"h{}\"}}", record.ms())));
    }
    if !is_run(request) {
        return wire.send(response("404 Not Found", "", ""));
    }
    let event = "id: 1\ndata: piece\n\n";
    wire.send(format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Stamp: 3e1b\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n0\r\n\r\n",
        request.attempt(),
        event.len()
    ))
}

fn request_of_many_parts(attempt: &str) -> String {
    let parts: String = (1..=PARTS).map(|part| format!("{part:x}:1,")).collect();
    let tokens = PARTS + 1;
    let mut request = head("POST", "/size/1", attempt, 14_000);
    request +=
        &format!("Model: m\r\nToken-Counts: {tokens},9\r\nPrompt-Prefix: {parts}fffff:1\r\n");
    request + "Content-Length: 2\r\n\r\nxx"
}

/// Sends the request of many parts on a connection of its own. Returns the status of the answer.
fn ask(address: SocketAddr, attempt: &str) -> Option<u16> {
    let mut wire = Wire::new(TcpStream::connect(address).ok()?);
    wire.stream.set_read_timeout(Some(Duration::from_secs(14))).ok()?;
    wire.send(request_of_many_parts(attempt)).ok()?;
    wire.read_response().ok().map(|(status, ..)| status)
}

/// Sends a booking and waits for its answer until its deadline.
fn book(node: &Node, number: usize) -> Option<u16> {
    let mut wire = node.connect().ok()?;
    wire.stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let request = head("POST", "/book/1", &format!("b{number}"), 4_000);
    wire.send(request + "Content-Length: 4\r\n\r\nbody").ok()?;
    wire.read_response().ok().map(|(status, ..)| status)
}
