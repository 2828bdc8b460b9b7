//! Retries of system calls after transient failures. A failure that persists is returned to the caller, and
//! [`is_local_error`] tells whether it is a failure of this machine.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// The most attempts of a call that is repeated without delay. Transient failures rarely occur more often
/// in a row, and a call that fails permanently costs only a few microseconds more.
const MAX_ATTEMPTS: usize = 16;
/// Delays between the attempts of a call that opens something. They add up to an eighth of a second, which
/// leaves time for another answer within the shortest time limit of a connection.
const BACKOFF_DELAYS: [Duration; 8] = [
    Duration::ZERO,
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(4),
    Duration::from_millis(8),
    Duration::from_millis(16),
    Duration::from_millis(32),
    Duration::from_millis(64),
];

fn errno(error: &io::Error) -> Option<Errno> {
    Errno::from_io_error(error)
}

/// Whether a call failed because of this machine, so that the failure says nothing about the remote host.
pub fn is_local_error(error: &io::Error) -> bool {
    let local = [Errno::INTR, Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    errno(error).is_some_and(|errno| local.contains(&errno))
}

/// Whether an accept failed because this machine lacks a resource. According to accept(2), any other failure
/// is one of the connection that was next.
pub fn is_resource_exhausted(error: &io::Error) -> bool {
    let exhausted = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    errno(error).is_some_and(|errno| exhausted.contains(&errno))
}

/// Whether a nonblocking call may succeed when it is repeated at once.
fn is_transient(error: &io::Error) -> bool {
    let transient = [Errno::INTR, Errno::NOBUFS, Errno::NOMEM];
    errno(error).is_some_and(|errno| transient.contains(&errno))
}

/// Whether a call that opens or writes something may succeed a moment later. A route may be missing for a
/// moment, and a file system may be full or fail for a moment.
fn is_transient_for_open(error: &io::Error) -> bool {
    let transient = [Errno::NETUNREACH, Errno::NOSPC, Errno::IO];
    is_local_error(error) || errno(error).is_some_and(|errno| transient.contains(&errno))
}

/// Makes a nonblocking call and repeats it at once after a transient failure.
pub(crate) fn retry_immediately<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_ATTEMPTS {
        match call() {
            Err(error) if is_transient(&error) => {}
            result => return result,
        }
    }
    call()
}

/// Accepts a connection and tries again when a connection failed before it was accepted.
pub(crate) async fn accept_with_retry<T>(mut accept: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_ATTEMPTS {
        match accept().await {
            Err(error) if !is_resource_exhausted(&error) => {}
            result => return result,
        }
    }
    accept().await
}

/// Opens something and tries again after a delay when that fails transiently.
pub(crate) async fn retry_with_backoff<T>(mut open: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    for delay in BACKOFF_DELAYS {
        match open().await {
            Err(error) if is_transient_for_open(&error) => {}
            result => return result,
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
    open().await
}

/// Does the same as `retry_with_backoff` but blocks the thread, for times when no other work is in progress.
pub fn retry_with_backoff_blocking<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for delay in BACKOFF_DELAYS {
        match open() {
            Err(error) if is_transient_for_open(&error) => std::thread::sleep(delay),
            result => return result,
        }
    }
    open()
}
