use std::cell::RefCell;
use std::collections::HashSet;

use smol_str::SmolStr;

/// Maximum number of distinct values of one label. Each value needs a histogram of its own, and a
/// configuration may have thousands of routes and organisations.
const MAX_VALUES: usize = 64;
/// Label value that replaces all values beyond `MAX_VALUES`.
const OVERFLOW_VALUE: &str = "(others)";

/// Limits the number of distinct values of a metric label.
#[derive(Debug, Default)]
pub struct LabelSet {
    seen: RefCell<HashSet<SmolStr>>,
}

impl LabelSet {
    /// Returns `value` itself, or `OVERFLOW_VALUE` once the limit is reached.
    pub fn label_for(&self, value: &SmolStr) -> SmolStr {
        let mut seen = self.seen.borrow_mut();
        if seen.contains(value) {
            return value.clone();
        }
        if seen.len() >= MAX_VALUES {
            return OVERFLOW_VALUE.into();
        }
        seen.insert(value.clone());
        value.clone()
    }
}

/// Label values of the request metrics.
#[derive(Debug, Default)]
pub struct RequestLabels {
    pub routes: LabelSet,
    pub organisations: LabelSet,
}
