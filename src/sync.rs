//! Locks that ignore poisoning. A panic while a lock is held leaves the data consistent, since every single change to
//! the guarded data does so.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Locks `mutex`, even if a thread panicked while holding it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Locks `shared` for reading, even if a thread panicked while holding it.
pub(crate) fn read<T>(shared: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    shared.read().unwrap_or_else(PoisonError::into_inner)
}

/// Locks `shared` for writing, even if a thread panicked while holding it.
pub(crate) fn write<T>(shared: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    shared.write().unwrap_or_else(PoisonError::into_inner)
}
