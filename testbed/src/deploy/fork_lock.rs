use std::{
    io,
    process::{Child, Command},
    sync::{Mutex, MutexGuard, PoisonError},
};

/// A child that another thread starts holds all sockets of this process from its
/// beginning until it runs its program; a port that is let go meanwhile stays taken.
static FORK_LOCK: Mutex<()> = Mutex::new(());

/// No child starts while this is held.
pub(super) fn lock_forks() -> MutexGuard<'static, ()> {
    // Nothing lies behind the lock that a panic could have left half done.
    FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a program while nobody looks for free ports.
///
/// # Errors
/// When it cannot be started.
pub fn spawn_locked(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_forks();
    command.spawn()
}
