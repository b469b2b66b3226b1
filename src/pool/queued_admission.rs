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
    /// Prefill takes long enough to be kept apart from short prompts.
    pub is_long: bool,
    pub answer: oneshot::Sender<AdmitAnswer>,
}

impl QueuedAdmission {
    /// Waiting time after which smaller requests no longer go first.
    const AGED_MS: u64 = 300;

    pub fn is_aged(&self, now: Instant) -> bool {
        now.ms_since(self.queued_at) >= QueuedAdmission::AGED_MS
    }
}
