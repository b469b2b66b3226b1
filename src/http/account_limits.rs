/// Part of the machine's memory that is left to the process itself, at least
/// `MIN_OWN_MEMORY_BYTES`.
const OWN_MEMORY_FRACTION: usize = 4;
const MIN_OWN_MEMORY_BYTES: usize = 14 << 20;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Fraction of the other descriptors that clients' connections leave to endpoints, peers and the
/// store.
const OWN_DESCRIPTOR_FRACTION: u64 = 4;
/// Fraction of them that connections and requests together leave to peers, the store and idle
/// connections to endpoints.
const IDLE_DESCRIPTOR_FRACTION: u64 = 8;
/// Requests up to this size may use all of the account. The instance answers them itself.
const OWN_ANSWER_BYTES: usize = 32 << 10;
/// Requests up to this size may use `SMALL_EIGHTHS` of the account, larger ones `LARGE_EIGHTHS`, so
/// that small ones are served while large ones are in progress.
const SMALL_REQUEST_BYTES: usize = 256 << 10;
const SMALL_EIGHTHS: usize = 7;
const LARGE_EIGHTHS: usize = 5;

/// Limits on what a process holds for its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    pub max_bytes: usize,
    pub max_connections: usize,
    /// Connections and requests together: a request in progress may have a connection to an
    /// endpoint.
    pub max_descriptors: usize,
}

impl AccountLimits {
    /// Limits for a machine with the given memory and descriptors.
    pub fn for_machine(memory_mb: u64, max_descriptors: u64) -> AccountLimits {
        let memory_bytes = (memory_mb << 20) as usize;
        let own_bytes = (memory_bytes / OWN_MEMORY_FRACTION).max(MIN_OWN_MEMORY_BYTES);
        let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        AccountLimits {
            // Even the smallest machine serves one request at a time.
            max_bytes: memory_bytes.saturating_sub(own_bytes).max(SMALL_REQUEST_BYTES),
            max_connections: (sockets - sockets / OWN_DESCRIPTOR_FRACTION).max(1) as usize,
            max_descriptors: (sockets - sockets / IDLE_DESCRIPTOR_FRACTION).max(2) as usize,
        }
    }

    /// Bytes up to which the account may be used for a charge of this size.
    pub(super) fn max_bytes_for(&self, is_connection: bool, bytes: usize) -> usize {
        if is_connection || bytes <= OWN_ANSWER_BYTES {
            self.max_bytes
        } else if self.is_small(bytes) {
            self.max_bytes / 8 * SMALL_EIGHTHS
        } else {
            self.max_bytes / 8 * LARGE_EIGHTHS
        }
    }

    /// Whether charges of any size may be shed for one of this size.
    pub(super) fn is_small(&self, bytes: usize) -> bool {
        bytes <= SMALL_REQUEST_BYTES
    }
}
