//! Shares the room of one rank between organisations (start-time fair queueing by tokens). Answers
//! one organisation that sends many times its usual: its requests wait behind those of others that
//! stay within their rate.

use std::collections::HashMap;

use crate::units::OrganisationId;

/// Lead over the other organisations up to which an organisation's requests are not put behind
/// theirs, in seconds of its rate. Bursts of a second are usual.
const MAX_LEAD_S: f64 = 1.0;
/// Rate that is assumed for organisations without a limit.
const DEFAULT_TOKENS_PER_S: f64 = 10_000.0;

/// Virtual times of the organisations whose requests wait.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    virtual_time_s: f64,
    finish_s: HashMap<OrganisationId, f64>,
}

/// Virtual time at which a request starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct ShareTag {
    start_s: f64,
}

impl ShareTag {
    /// Whether the request's organisation has used more than its share compared with that of the
    /// waiting request with the `least` virtual time.
    pub fn is_ahead(self, least: ShareTag) -> bool {
        self.start_s - least.start_s > MAX_LEAD_S
    }
}

impl FairShare {
    /// Adds a request of an organisation whose weight is its rate.
    pub fn add(
        &mut self,
        organisation: &OrganisationId,
        tokens: u64,
        tokens_per_s: Option<u64>,
    ) -> ShareTag {
        let rate = tokens_per_s.map_or(DEFAULT_TOKENS_PER_S, |rate| rate.max(1) as f64);
        let finish_s = self.finish_s.entry(organisation.clone()).or_insert(self.virtual_time_s);
        let start_s = finish_s.max(self.virtual_time_s);
        *finish_s = start_s + tokens as f64 / rate;
        ShareTag { start_s }
    }

    pub fn record_placement(&mut self, tag: ShareTag) {
        self.virtual_time_s = self.virtual_time_s.max(tag.start_s);
    }

    /// Forgets what was used; called when no request waits, as there is nothing to share then.
    pub fn clear(&mut self) {
        *self = FairShare::default();
    }
}
