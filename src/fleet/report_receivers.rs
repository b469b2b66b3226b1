use std::net::Ipv4Addr;

/// Instances to which a collector reports the loads of its zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportReceivers {
    /// Instances of the same zone. A report to one of them leaves out its own loads.
    pub inside: Vec<Ipv4Addr>,
    /// Instances of other zones.
    pub outside: Vec<Ipv4Addr>,
}
