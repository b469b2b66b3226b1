use std::collections::{HashMap, HashSet};
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
    /// Priority of the first route of each service, and the services whose routes differ in it.
    route_priorities: HashMap<ServiceId, u8>,
    ranked_services: HashSet<ServiceId>,
    has_customer_priorities: bool,
}

impl ServiceConfiguration {
    pub fn new(version: Version, limits: RequestLimits) -> ServiceConfiguration {
        ServiceConfiguration { version, limits, ..ServiceConfiguration::default() }
    }

    pub fn add_route(&mut self, route: Route) {
        for target in &route.targets {
            let priorities = &mut self.route_priorities;
            let first = priorities.entry(target.service.clone()).or_insert(route.priority);
            if *first != route.priority {
                self.ranked_services.insert(target.service.clone());
            }
        }
        let paths = self.hosts.entry(route.host.clone()).or_default();
        paths.insert(route.path_prefix.clone(), Rc::new(route));
    }

    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.id.clone(), Rc::new(service));
    }

    pub fn add_customer(&mut self, customer: Customer, keys: impl IntoIterator<Item = SmolStr>) {
        self.has_customer_priorities |= customer.priority.is_some();
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

    /// Whether requests that compete for the endpoints of a service may differ in priority.
    pub fn has_ranks(&self, service: &ServiceId) -> bool {
        self.has_customer_priorities || self.ranked_services.contains(service)
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
