//! Settings of the C library's allocator.

/// Blocks at least this large are mapped separately and returned to the system when freed. glibc
/// otherwise raises its threshold to the largest block that was freed, so that the copies of a
/// text of 2.3 MB that loading needs leave 6 MB of the heap unused.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MMAP_THRESHOLD_BYTES: std::ffi::c_int = 256 << 10;

/// Returns large blocks to the system as soon as they are freed.
pub(super) fn set_mmap_threshold() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        // SAFETY: the call only sets a parameter of the allocator, which locks it itself.
        let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) } == 1;
        if !is_set {
            log::warn!(target: "gateway", "threshold of the allocator not set");
        }
    }
}
