use std::future::Future;

/// Executor that runs hyper's futures on the current `LocalSet`.
#[derive(Clone, Copy, Debug)]
pub struct LocalExecutor;

impl<F> hyper::rt::Executor<F> for LocalExecutor
where
    F: Future + 'static,
{
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}
