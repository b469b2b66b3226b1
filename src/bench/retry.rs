//! Callers that retry their requests until they are answered.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::{AddressResolver, CallRecord, Caller, Ending, Prompt, Stream, generate_prompt};

const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Stops a running load. Requests that were already sent still run to their end.
#[derive(Clone, Default)]
pub struct StopFlag {
    is_stopped: Rc<Cell<bool>>,
}

impl StopFlag {
    pub fn stop(&self) {
        self.is_stopped.set(true);
    }

    pub fn is_stopped(&self) -> bool {
        self.is_stopped.get()
    }
}

/// Sends the streams' requests until `stop_flag` is set. A request whose connection broke or that
/// was refused without having run is sent again under the same request id, for up to
/// `retry_timeout`. Returns the records of all tries of each request.
pub async fn send_with_retries(
    caller: &Caller,
    resolver: &AddressResolver,
    streams: &[Stream],
    stop_flag: &StopFlag,
    retry_timeout: Duration,
    seed: u64,
) -> Vec<Vec<CallRecord>> {
    let requests = Rc::new(RefCell::new(Vec::new()));
    let mut senders = JoinSet::new();
    for (i, stream) in streams.iter().cloned().enumerate() {
        let mut random = StdRng::seed_from_u64(seed ^ ((i as u64 + 1) << 32));
        let (caller, resolver, stop_flag) = (caller.clone(), resolver.clone(), stop_flag.clone());
        let requests = Rc::clone(&requests);
        senders.spawn_local(async move {
            let mut running = JoinSet::new();
            let mut at = Instant::now();
            for number in 1.. {
                let gap_s = -(1.0 - random.random::<f64>()).ln() / stream.requests_per_s;
                at += Duration::from_secs_f64(gap_s);
                tokio::time::sleep_until(at).await;
                if stop_flag.is_stopped() {
                    break;
                }
                let prompt = generate_prompt(&stream, number, &mut random);
                let (caller, resolver) = (caller.clone(), resolver.clone());
                let requests = Rc::clone(&requests);
                running.spawn_local(async move {
                    let tries =
                        complete_with_retries(&caller, &resolver, &prompt, retry_timeout).await;
                    requests.borrow_mut().push(tries);
                });
                while running.try_join_next().is_some() {}
            }
            while running.join_next().await.is_some() {}
        });
    }
    while senders.join_next().await.is_some() {}
    requests.take()
}

/// Sends one request until it is answered or `retry_timeout` has passed; with a timeout of zero it
/// is sent once.
async fn complete_with_retries(
    caller: &Caller,
    resolver: &AddressResolver,
    prompt: &Prompt,
    retry_timeout: Duration,
) -> Vec<CallRecord> {
    let end = Instant::now() + retry_timeout;
    let mut tries = Vec::new();
    loop {
        let address = resolver.choose(rand::random()).await;
        let record = caller.complete(&address, prompt).await;
        let is_last = !is_retryable(&record.ending) || Instant::now() >= end;
        tries.push(record);
        if is_last {
            return tries;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Whether a request is sent again. `duplicate_request` counts, because a repeat gets this code
/// while the first try may still run.
fn is_retryable(ending: &Ending) -> bool {
    match ending {
        Ending::NoAnswer | Ending::Cut { .. } => true,
        Ending::Refused { code, outcome, .. } => {
            outcome == "not_run" || code == "duplicate_request"
        }
        Ending::Complete | Ending::Cancelled => false,
    }
}
