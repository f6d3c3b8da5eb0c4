//! Locks that go on after a panic: what they guard is kept sound by every change, not by its end.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Locks a mutex.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Locks for reading.
pub(crate) fn read<T>(shared: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    shared.read().unwrap_or_else(PoisonError::into_inner)
}

/// Locks for writing.
pub(crate) fn write<T>(shared: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    shared.write().unwrap_or_else(PoisonError::into_inner)
}
