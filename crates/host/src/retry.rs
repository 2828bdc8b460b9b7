//! System calls that fail for a moment, and what is made of that: the call is made again. What fails on after that is
//! told, with a word on whose failure it is.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// A call that does not wait is made so often in a row; no unit. Nothing fails for a moment much more often than that,
/// and a call that fails for good costs a few microseconds more.
const TRIES: usize = 16;
/// Pauses between the tries of a call that opens something: an eighth of a second in all, which leaves time for another
/// answer within the shortest time that a connection may take.
const PAUSES: [Duration; 8] = [
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

/// Whether this machine lacked something for the call, so that it tells nothing of whoever was to be reached.
pub fn is_local_error(error: &io::Error) -> bool {
    let own = [Errno::INTR, Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    errno(error).is_some_and(|errno| own.contains(&errno))
}

/// Whether an accept failed for a lack of something here. Any other failure is that of the one connection which was
/// next, as accept(2) says.
pub fn is_resource_exhausted(error: &io::Error) -> bool {
    let lacks = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    errno(error).is_some_and(|errno| lacks.contains(&errno))
}

/// Whether a call that does not wait may succeed when it is made again at once.
fn passing(error: &io::Error) -> bool {
    let passing = [Errno::INTR, Errno::NOBUFS, Errno::NOMEM];
    errno(error).is_some_and(|errno| passing.contains(&errno))
}

/// Whether a call that opens or writes something may succeed a moment later. No route may show for a moment, and a
/// folder may be full or fail for one.
fn passing_soon(error: &io::Error) -> bool {
    let soon = [Errno::NETUNREACH, Errno::NOSPC, Errno::IO];
    is_local_error(error) || errno(error).is_some_and(|errno| soon.contains(&errno))
}

/// Makes a call that does not wait, again where it fails for a moment.
pub(crate) fn retry_immediately<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..TRIES {
        match call() {
            Err(error) if passing(&error) => {}
            done => return done,
        }
    }
    call()
}

/// Accepts again where one connection failed before it was taken in.
pub(crate) async fn accept_with_retry<T>(mut accept: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..TRIES {
        match accept().await {
            Err(error) if !is_resource_exhausted(&error) => {}
            done => return done,
        }
    }
    accept().await
}

/// Opens something, again after a pause where that fails for a moment.
pub(crate) async fn retry_with_backoff<T>(mut open: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    for pause in PAUSES {
        match open().await {
            Err(error) if passing_soon(&error) => {}
            done => return done,
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    open().await
}

/// The same where nothing else is under way yet, so that the thread may wait.
pub fn retry_with_backoff_blocking<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for pause in PAUSES {
        match open() {
            Err(error) if passing_soon(&error) => std::thread::sleep(pause),
            done => return done,
        }
    }
    open()
}
