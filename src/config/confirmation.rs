use crate::units::Version;

/// What an instance knows of the newest configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    pub version: Version,
    /// Whether the instance's last read of the head row, at most 2.5 s ago, succeeded.
    pub has_store: bool,
    /// Time since the instance last confirmed that no newer version exists; `u64::MAX` if it has
    /// not confirmed this yet.
    pub confirmed_age_ms: u64,
}
