use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Acquires the bytes of one load from the rate limit of the weight store. Returns false if they
/// were not granted in time.
pub type WeightLoadLimiter = Rc<dyn Fn(u64) -> Pin<Box<dyn Future<Output = bool>>>>;
