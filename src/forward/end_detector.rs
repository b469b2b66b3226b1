use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use smol_str::{SmolStr, format_smolstr};

use crate::balance::IncarnationKey;
use crate::catalog::Endpoint;
use crate::clock::Clock;
use crate::crashes::{CrashingParts, PartKey};
use crate::forward::connection::is_refused;

/// Time that a process which ends may take to close its listener after its connections.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Finds out whether an endpoint has ended after a connection to it broke under a request. Endpoints
/// also break single connections, which says nothing of the request.
pub struct EndDetector<C> {
    crashing_parts: Rc<RefCell<CrashingParts>>,
    clock: C,
    /// Parts of the requests under which a connection to a process broke that is being checked.
    checks: Rc<RefCell<HashMap<IncarnationKey, Vec<PartKey>>>>,
}

impl<C: Clock> EndDetector<C> {
    pub fn new(crashing_parts: Rc<RefCell<CrashingParts>>, clock: C) -> EndDetector<C> {
        EndDetector { crashing_parts, clock, checks: Rc::default() }
    }

    /// Checks the endpoint and, if it has ended, records that under the parts of a request whose
    /// answer had not begun.
    pub fn check(&self, endpoint: &Endpoint, parts: impl Iterator<Item = PartKey>) {
        let parts: Vec<PartKey> = parts.collect();
        if parts.is_empty() {
            return;
        }
        let process = IncarnationKey::new(endpoint);
        if let Some(checked) = self.checks.borrow_mut().get_mut(&process) {
            checked.extend(parts);
            return;
        }
        self.checks.borrow_mut().insert(process, parts);
        let (checks, crashing_parts) = (Rc::clone(&self.checks), Rc::clone(&self.crashing_parts));
        let (clock, id, address) = (self.clock.clone(), endpoint.id.clone(), endpoint.address);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CHECK_DELAY).await;
            let has_ended = is_refused(address).await;
            let parts = checks.borrow_mut().remove(&process).unwrap_or_default();
            if has_ended {
                counter!("almondroad_node_endpoints_ended_under_requests_total").increment(1);
                crashing_parts.borrow_mut().record_end(&parts, process, clock.now());
            }
            log::info!(target: "crashes", endpoint = id.as_str(), has_ended = has_ended,
                parts = list(&parts).as_str(); "connection broke before an answer began");
        });
    }
}

fn list(parts: &[PartKey]) -> SmolStr {
    let mut text = SmolStr::default();
    for key in parts {
        let separator = if text.is_empty() { "" } else { "," };
        text = format_smolstr!("{text}{separator}{}", key.part);
    }
    text
}
