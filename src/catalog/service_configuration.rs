use std::collections::HashMap;
use std::rc::Rc;

use smol_str::SmolStr;

use crate::catalog::{Customer, RequestLimits, Route, Service};
use crate::units::{ServiceId, Version};

/// The operators' configuration, indexed for request lookup.
#[derive(Debug, Default)]
pub struct ServiceConfiguration {
    version: Version,
    limits: RequestLimits,
    hosts: HashMap<SmolStr, HashMap<SmolStr, Rc<Route>>>,
    services: HashMap<ServiceId, Rc<Service>>,
    customers: Vec<Rc<Customer>>,
    keys: HashMap<SmolStr, Rc<Customer>>,
    /// Priority of the first route, and whether a route or an organisation has another.
    route_priority: Option<u8>,
    has_ranks: bool,
}

impl ServiceConfiguration {
    pub fn new(version: Version, limits: RequestLimits) -> ServiceConfiguration {
        ServiceConfiguration { version, limits, ..ServiceConfiguration::default() }
    }

    pub fn add_route(&mut self, route: Route) {
        self.has_ranks |= *self.route_priority.get_or_insert(route.priority) != route.priority;
        let paths = self.hosts.entry(route.host.clone()).or_default();
        paths.insert(route.path_prefix.clone(), Rc::new(route));
    }

    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.id.clone(), Rc::new(service));
    }

    pub fn add_customer(&mut self, customer: Customer, keys: impl IntoIterator<Item = SmolStr>) {
        self.has_ranks |= customer.priority.is_some();
        let customer = Rc::new(customer);
        self.keys.extend(keys.into_iter().map(|key| (key, Rc::clone(&customer))));
        self.customers.push(customer);
    }

    pub fn version(&self) -> Version {
        self.version
    }

    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    pub fn service(&self, id: &ServiceId) -> Option<&Rc<Service>> {
        self.services.get(id)
    }

    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    pub fn customers(&self) -> &[Rc<Customer>] {
        &self.customers
    }

    /// Whether requests differ in priority.
    pub fn has_ranks(&self) -> bool {
        self.has_ranks
    }

    /// Whether routes that are not public require an API key.
    pub fn requires_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    pub fn customer_by_key(&self, key: &str) -> Option<&Rc<Customer>> {
        self.keys.get(key)
    }

    /// Finds the route with the longest prefix of the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let paths = self.hosts.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = paths.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}
