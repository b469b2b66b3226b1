/// A process of a fleet as the end of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A gateway with its index in the fleet.
    Gateway(usize),
    Platform,
}

/// A one-way network path between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path {
    pub from: Node,
    pub to: Node,
}

impl Path {
    pub fn reversed(self) -> Path {
        Path { from: self.to, to: self.from }
    }
}
