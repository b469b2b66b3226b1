//! Stand-in for a plain service, such as an order application. It counts side effects, so that
//! checks can detect requests that ran more than once.

mod effects;
mod service;
mod settings;

use std::net::SocketAddr;
use std::rc::Rc;

use tokio_util::sync::CancellationToken;

use crate::standin::Standin;
use crate::standin::launch::launch;

pub use effects::Effects;
pub use service::{EffectCount, PlainStats};
pub use settings::{FaultPoint, PlainFaults, PlainSettings};

/// Starts a plain service stand-in on the current `LocalSet`. Side effects are counted in
/// `effects`.
pub async fn start_plain(
    listen: SocketAddr,
    settings: PlainSettings,
    effects: Effects,
) -> std::io::Result<Standin> {
    let stop = CancellationToken::new();
    let service = service::PlainService::new(settings, effects, stop.clone());
    launch(listen, Rc::new(service), stop).await
}
