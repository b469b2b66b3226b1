use std::rc::Rc;

use crate::units::Version;

/// The whole document text at a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    pub version: Version,
    pub text: Rc<str>,
}
