use std::cell::RefCell;
use std::collections::HashSet;

use smol_str::SmolStr;

/// Values of one label that a metric shows by name. Each of them costs a histogram, and a
/// configuration may have thousands of routes and organisations.
const MAX_VALUES: usize = 64;
/// Stands for all further values.
const OVERFLOW_VALUE: &str = "(others)";

/// Values of a label, the first ones by name and the others together.
#[derive(Debug, Default)]
pub struct LabelSet {
    seen: RefCell<HashSet<SmolStr>>,
}

impl LabelSet {
    /// The value under which `value` is shown.
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

/// Labels of the metrics of requests.
#[derive(Debug, Default)]
pub struct RequestLabels {
    pub routes: LabelSet,
    pub organisations: LabelSet,
}
