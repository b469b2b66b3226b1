use crate::engine::Engine;

/// Creates engine clients.
pub trait EngineFactory: 'static {
    type Engine: Engine;

    fn engine(&self, address: &str) -> Self::Engine;
}

impl<E: Engine, F: Fn(&str) -> E + 'static> EngineFactory for F {
    type Engine = E;

    fn engine(&self, address: &str) -> E {
        self(address)
    }
}
