use smol_str::SmolStr;

/// Versions of endpoints that may get a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionFilter {
    Only(SmolStr),
    Except(Vec<SmolStr>),
}

/// Lets every version pass.
pub static ANY_VERSION: VersionFilter = VersionFilter::Except(Vec::new());

impl VersionFilter {
    pub fn allows(&self, version: &SmolStr) -> bool {
        match self {
            VersionFilter::Only(only) => version == only,
            VersionFilter::Except(excluded) => !excluded.contains(version),
        }
    }
}
