use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use metrics::counter;

/// Time between two log lines with the same reason. A crowd would otherwise fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

thread_local! {
    /// Time from which on the next line of each reason is written.
    static NEXT_LOG: RefCell<HashMap<&'static str, Instant>> = RefCell::default();
}

/// Counts a client that was refused or disconnected to protect the process, and logs it at a
/// bounded rate.
pub(crate) fn record_refused_client(reason: &'static str) {
    counter!("almondroad_clients_refused_total", "reason" => reason).increment(1);
    let now = Instant::now();
    let is_due = NEXT_LOG.with_borrow_mut(|next_log| {
        let is_due = next_log.get(reason).is_none_or(|next| now >= *next);
        if is_due {
            next_log.insert(reason, now + LOG_INTERVAL);
        }
        is_due
    });
    if is_due {
        log::warn!(target: "http", reason = reason; "client refused to protect the instance");
    }
}
