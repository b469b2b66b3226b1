use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::http::{Handler, serve};

/// A running stand-in. Dropping it stops it without a shutdown: connections break and state is
/// lost.
#[derive(Debug)]
pub struct Standin {
    address: SocketAddr,
    stop: CancellationToken,
}

impl Standin {
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Waits until the stand-in has stopped because of an injected crash.
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Serves `handler` until `stop` is cancelled.
pub(crate) async fn launch<H: Handler>(
    listen: SocketAddr,
    handler: Rc<H>,
    stop: CancellationToken,
) -> std::io::Result<Standin> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    spawn_until(&stop, async move {
        // The sender stays alive, because the server is to be dropped and not shut down gracefully.
        let (_graceful, shutdown) = watch::channel(false);
        serve(listener, handler, shutdown).await;
    });
    Ok(Standin { address, stop })
}

/// Spawns a task that is dropped when `stop` is cancelled.
pub(crate) fn spawn_until(stop: &CancellationToken, task: impl Future<Output = ()> + 'static) {
    let stop = stop.clone();
    tokio::task::spawn_local(async move {
        stop.run_until_cancelled(task).await;
    });
}
