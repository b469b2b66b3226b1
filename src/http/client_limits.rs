use crate::http::memory_account::{AccountLimits, MemoryAccount};

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Fraction of the other descriptors that endpoints, peers and the store keep.
const OWN_DESCRIPTOR_FRACTION: u64 = 4;
/// Fraction of the machine's memory that clients' connections may use.
const CONNECTION_MEMORY_FRACTION: u64 = 2;
/// Fraction of the machine's memory that the bodies of requests may use.
const BODY_MEMORY_FRACTION: u64 = 4;

/// Accounts of what a process holds for clients: their connections and the bodies of their
/// requests. They are separate, so that connections that send nothing leave room for bodies.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    pub connections: MemoryAccount,
    pub bodies: MemoryAccount,
}

impl ClientLimits {
    /// Limits for a machine with the given memory and descriptors.
    pub fn for_machine(memory_mb: u64, max_descriptors: u64) -> ClientLimits {
        let memory_bytes = memory_mb << 20;
        let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = AccountLimits {
            max_bytes: (memory_bytes / CONNECTION_MEMORY_FRACTION) as usize,
            max_charges: (sockets - sockets / OWN_DESCRIPTOR_FRACTION).max(1) as usize,
        };
        let bodies = AccountLimits {
            max_bytes: (memory_bytes / BODY_MEMORY_FRACTION) as usize,
            max_charges: usize::MAX,
        };
        ClientLimits {
            connections: MemoryAccount::new(connections),
            bodies: MemoryAccount::new(bodies),
        }
    }
}
