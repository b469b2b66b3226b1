use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;

use crate::balance::IncarnationKey;
use crate::catalog::Endpoint;
use crate::clock::Clock;
use crate::crashes::{CrashingParts, PartKey};
use crate::forward::CrashCounts;
use crate::forward::connection::is_refused;
use crate::units::Fingerprint;

/// Time that a process which ends may take to close its listener after its connections.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Finds out whether an endpoint has ended after a connection to it broke under a request. Endpoints
/// also break single connections, which says nothing of the request.
pub struct EndDetector<C> {
    crashes: Rc<RefCell<CrashCounts>>,
    crashing_parts: Rc<RefCell<CrashingParts>>,
    clock: C,
    /// Requests under which a connection broke, by the process that is being checked.
    checks: Rc<RefCell<HashMap<IncarnationKey, Vec<Suspect>>>>,
}

/// A request under which a connection broke.
struct Suspect {
    request: Fingerprint,
    /// Parts of its prompt that other requests may have too.
    parts: Vec<PartKey>,
}

impl<C: Clock> EndDetector<C> {
    pub fn new(
        crashes: Rc<RefCell<CrashCounts>>,
        crashing_parts: Rc<RefCell<CrashingParts>>,
        clock: C,
    ) -> EndDetector<C> {
        EndDetector { crashes, crashing_parts, clock, checks: Rc::default() }
    }

    /// Checks the endpoint and, if it has ended, records that under a request whose answer had not
    /// begun, and under the parts of its prompt.
    pub fn check(
        &self,
        endpoint: &Endpoint,
        request: Fingerprint,
        parts: impl Iterator<Item = PartKey>,
    ) {
        let suspect = Suspect { request, parts: parts.collect() };
        let process = IncarnationKey::new(endpoint);
        if let Some(checked) = self.checks.borrow_mut().get_mut(&process) {
            checked.push(suspect);
            return;
        }
        self.checks.borrow_mut().insert(process, vec![suspect]);
        let checks = Rc::clone(&self.checks);
        let (crashes, crashing_parts) = (Rc::clone(&self.crashes), Rc::clone(&self.crashing_parts));
        let (clock, id, address) = (self.clock.clone(), endpoint.id.clone(), endpoint.address);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CHECK_DELAY).await;
            let has_ended = is_refused(address).await;
            let suspects = checks.borrow_mut().remove(&process).unwrap_or_default();
            log::info!(target: "crashes", endpoint = id.as_str(), has_ended = has_ended,
                parts = list(&suspects).as_str(); "connection broke before an answer began");
            if !has_ended {
                return;
            }
            counter!("almondroad_node_endpoints_ended_under_requests_total").increment(1);
            let now = clock.now();
            for suspect in suspects {
                crashes.borrow_mut().record_crash(suspect.request, process, now);
                crashing_parts.borrow_mut().record_end(&suspect.parts, process, now);
            }
        });
    }
}

/// The parts of all requests, separated by commas.
fn list(suspects: &[Suspect]) -> String {
    let parts = suspects.iter().flat_map(|suspect| &suspect.parts);
    let parts: Vec<String> = parts.map(|key| key.part.to_string()).collect();
    parts.join(",")
}
