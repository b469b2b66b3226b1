use std::cell::RefCell;
use std::collections::HashMap;

use smol_str::SmolStr;

use crate::engine::HttpEngine;
use crate::http::HttpClient;

/// Clients of the endpoints, one for each address, so that connections are reused.
#[derive(Default)]
pub struct EndpointClients {
    engines: RefCell<HashMap<SmolStr, HttpEngine>>,
    services: RefCell<HashMap<SmolStr, HttpClient>>,
}

impl EndpointClients {
    pub fn get(&self, address: &str) -> HttpEngine {
        let mut engines = self.engines.borrow_mut();
        if let Some(engine) = engines.get(address) {
            return engine.clone();
        }
        let engine = HttpEngine::new(address);
        engines.insert(address.into(), engine.clone());
        engine
    }

    pub fn service(&self, address: &str) -> HttpClient {
        let mut services = self.services.borrow_mut();
        if let Some(client) = services.get(address) {
            return client.clone();
        }
        let client = HttpClient::new(address);
        services.insert(address.into(), client.clone());
        client
    }
}
