use std::cell::Cell;
use std::rc::Rc;

/// Counter of the requests in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    count: Rc<Cell<u32>>,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Rc<Cell<u32>>,
}

impl InFlight {
    pub fn enter(&self) -> InFlightGuard {
        self.count.set(self.count.get() + 1);
        InFlightGuard { count: Rc::clone(&self.count) }
    }

    pub fn count(&self) -> u32 {
        self.count.get()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
