use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Draws the bytes of one load from the weight store's budget. False if the budget did not grant
/// them in time.
pub type WeightLoadLimiter = Rc<dyn Fn(u64) -> Pin<Box<dyn Future<Output = bool>>>>;
