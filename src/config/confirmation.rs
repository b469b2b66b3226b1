use crate::units::Version;

/// What an instance knows about the newest configuration version, as sent in heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    pub version: Version,
    /// Whether the instance read the head row successfully within the last 2.5 s.
    pub has_store: bool,
    /// Time since the instance last confirmed that no newer version exists; `u64::MAX` if never.
    pub confirmed_age_ms: u64,
}
