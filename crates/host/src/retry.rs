//! Retries of system calls after transient failures. A failure that persists is returned to the caller, and
//! [`is_local_error`] tells whether it is a failure of this machine.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// Largest number of attempts of a call or an accept that is repeated without delay. Transient failures
/// rarely occur more often in a row, and a call that fails permanently costs only a few microseconds more.
const MAX_IMMEDIATE_ATTEMPTS: usize = 16;
/// Delays between the attempts of a call that is retried with backoff. They add up to 127 ms, about an eighth
/// of a second. After the last failure the caller therefore still has time to give another answer within the
/// shortest time limit of a connection.
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

/// Whether a call that is retried with backoff may succeed a moment later. A route may be missing for a
/// moment, and a file system may be full or fail for a moment.
fn may_succeed_later(error: &io::Error) -> bool {
    let transient = [Errno::NETUNREACH, Errno::NOSPC, Errno::IO];
    is_local_error(error) || errno(error).is_some_and(|errno| transient.contains(&errno))
}

/// Makes a nonblocking call and repeats it at once after a transient failure.
pub(crate) fn retry_immediately<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_IMMEDIATE_ATTEMPTS {
        match call() {
            Err(error) if is_transient(&error) => {}
            result => return result,
        }
    }
    call()
}

/// Accepts a connection and tries again when a connection failed before it was accepted.
pub(crate) async fn accept_with_retry<T>(mut accept: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_IMMEDIATE_ATTEMPTS {
        match accept().await {
            Err(error) if !is_resource_exhausted(&error) => {}
            result => return result,
        }
    }
    accept().await
}

/// Makes a call and repeats it after increasing delays while its failure is transient.
pub(crate) async fn retry_with_backoff<T>(mut call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    for delay in BACKOFF_DELAYS {
        match call().await {
            Err(error) if may_succeed_later(&error) => {}
            result => return result,
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
    call().await
}

/// Like `retry_with_backoff`, but blocks the thread between the attempts, for times when no other work is in
/// progress.
pub fn retry_with_backoff_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for delay in BACKOFF_DELAYS {
        match call() {
            Err(error) if may_succeed_later(&error) => std::thread::sleep(delay),
            result => return result,
        }
    }
    call()
}
