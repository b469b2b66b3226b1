use crate::units::Fingerprint;

/// How many endpoints died under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    pub fingerprint: Fingerprint,
    pub crashes: u32,
    /// Time after which the suspicion ends.
    pub remaining_ms: u64,
}
