//! Settings of the C library's allocator.

/// Blocks of at least this size are mapped separately and returned to the system when freed. By
/// default glibc raises this threshold to the size of the largest freed block; the copies made
/// while loading a document of 2.3 MB then leave 6 MB of the heap unused.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MMAP_THRESHOLD_BYTES: std::ffi::c_int = 256 << 10;

/// Makes the allocator return large blocks to the system as soon as they are freed.
pub(super) fn set_mmap_threshold() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        // SAFETY: the call only sets a parameter of the allocator, which locks it itself.
        let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) } == 1;
        if !is_set {
            log::warn!(target: "gateway", "cannot set the allocator's mmap threshold");
        }
    }
}
