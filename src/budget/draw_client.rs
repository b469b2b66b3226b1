use derive_more::{Display, Error};

use super::draw::{DrawAnswer, DrawRequest};

/// Sends draws to the holder of the organisation's budget shard. Each answer must belong to the
/// call that returns it; answers that arrive after their call was dropped must be discarded.
#[allow(async_fn_in_trait)]
pub trait DrawClient: 'static {
    async fn draw(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError>;
}

/// Error of a draw whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum DrawError {
    #[display("no holder of the budget shard is reachable")]
    Unreachable,
    #[display("the holder did not answer in time")]
    TimedOut,
}
