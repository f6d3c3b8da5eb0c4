//! Settings of the C library's memory allocator.

/// Pieces of memory of at least this size, in bytes, go back to the operating system when they are freed.
const RETURN_MIN_BYTES: i32 = 256 * 1024;

/// Has the allocator return large pieces of memory when they are freed, and grow them without a copy.
///
/// By default it stops to do so for all pieces up to the largest one freed so far: a process that has held bodies of
/// some MiB would keep them, and grow beyond what it counts.
pub fn return_large_pieces() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    #[allow(unsafe_code)]
    // SAFETY: `mallopt` may be called at any time, and only changes a number.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, RETURN_MIN_BYTES);
    }
}
