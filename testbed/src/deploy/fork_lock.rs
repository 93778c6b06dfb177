use std::{
    io,
    process::{Child, Command},
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Serialises forks with the allocation of ports. Between fork and exec, a child
/// holds all sockets of this process, so a port that is closed in that time stays
/// in use.
static FORK_LOCK: Mutex<()> = Mutex::new(());

/// Blocks the start of child processes until the guard is dropped.
pub(super) fn lock_forks() -> MutexGuard<'static, ()> {
    // The lock guards no data, so poisoning does not matter.
    FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a program, but not while free ports are being allocated.
///
/// # Errors
/// When it cannot be started.
pub fn spawn_locked(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_forks();
    command.spawn()
}
