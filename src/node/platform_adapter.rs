use std::rc::Rc;

use crate::catalog::RowDecoder;
use crate::clock::Clock;
use crate::fleet::InstanceRegistry;
use crate::forward::Codec;
use crate::http::Handler;
use crate::node::{NodeState, RolloutTable};
use crate::replica::RowSource;
use crate::roles::LeaseTable;

/// The platform-specific parts of an instance, which implement the platform's formats and
/// protocols.
pub trait PlatformAdapter: Sized + 'static {
    type Codec: Codec;
    type Decoder: RowDecoder;
    type Store: RowSource + InstanceRegistry + LeaseTable + RolloutTable;
    /// Handles callers' address lookups.
    type Lookup<C: Clock>: Handler;
    /// Handles the platform's readiness checks.
    type Ready<C: Clock>: Handler;

    fn codec(&self) -> Self::Codec;

    fn decoder(&self) -> Self::Decoder;

    fn store(&self) -> Self::Store;

    fn lookup<C: Clock>(&self, node: &Rc<NodeState<Self, C>>) -> Self::Lookup<C>;

    fn ready<C: Clock>(&self, node: &Rc<NodeState<Self, C>>) -> Self::Ready<C>;
}
