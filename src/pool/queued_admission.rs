use tokio::sync::oneshot;

use crate::clock::Instant;
use crate::pool::{Admission, AdmitAnswer};

/// An admission in the queue.
#[derive(Debug)]
pub(crate) struct QueuedAdmission {
    pub id: u64,
    pub admission: Admission,
    pub queued_at: Instant,
    pub expires_at: Instant,
    /// Whether the prefill is long enough to be scheduled separately from short prompts.
    pub is_long: bool,
    pub answer: oneshot::Sender<AdmitAnswer>,
}

impl QueuedAdmission {
    /// Queue time after which smaller requests no longer overtake this one.
    const AGED_MS: u64 = 300;

    pub fn is_aged(&self, now: Instant) -> bool {
        now.ms_since(self.queued_at) >= QueuedAdmission::AGED_MS
    }
}
