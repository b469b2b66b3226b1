use crate::units::Version;

/// What an instance knows of the newest configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    pub version: Version,
    /// Whether the instance read the head row in the last second.
    pub has_store: bool,
    /// Time since the instance last confirmed that no newer version exists.
    pub confirmed_age_ms: u64,
}
