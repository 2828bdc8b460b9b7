//! Tasks whose panics stay with them, and streams of signals.

use std::future::Future;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It came to its end.
    Completed,
    /// It panicked, or its process ended.
    Aborted,
}

/// A handle on a task, to await its end. Dropped, it leaves the task running.
pub struct Task(oneshot::Receiver<TaskEnd>);

impl Future for Task {
    type Output = TaskEnd;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<TaskEnd> {
        Pin::new(&mut self.0).poll(context).map(|ended| ended.unwrap_or(TaskEnd::Aborted))
    }
}

/// The task with its panics caught, and its handle.
pub(crate) fn catch_panics(task: impl Future<Output = ()>) -> (impl Future<Output = ()>, Task) {
    let (sender, receiver) = oneshot::channel();
    let task = async move {
        let ended = Caught(Box::pin(task)).await;
        // Nobody may be waiting for it.
        let _ = sender.send(ended);
    };
    (task, Task(receiver))
}

struct Caught<F>(Pin<Box<F>>);

impl<F: Future<Output = ()>> Future for Caught<F> {
    type Output = TaskEnd;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<TaskEnd> {
        // What a panic leaves half done belongs to the task, which is dropped and never polled again.
        match catch_unwind(AssertUnwindSafe(|| self.0.as_mut().poll(context))) {
            Ok(polled) => polled.map(|()| TaskEnd::Completed),
            Err(_) => Poll::Ready(TaskEnd::Aborted),
        }
    }
}

/// A signal of the real machine. Its handler sets a flag and then writes to a socket that wakes whoever waits; the flag is
/// looked at now and then too, as a call that fails may lose the wake. Guards against tokio's own, which ends the process
/// when the read that follows a signal is interrupted.
pub(crate) struct OsSignal {
    arrived: Arc<AtomicBool>,
    wakes: UnixStream,
}

impl OsSignal {
    /// Handles that signal from now on.
    pub fn of(number: i32) -> io::Result<Self> {
        let arrived = Arc::new(AtomicBool::new(false));
        let (waker, wakes) = std::os::unix::net::UnixStream::pair()?;
        wakes.set_nonblocking(true)?;
        let wakes = UnixStream::from_std(wakes)?;
        // In this order: whoever is woken finds the flag set.
        signal_hook::flag::register(number, arrived.clone())?;
        signal_hook::low_level::pipe::register(number, waker)?;
        Ok(OsSignal { arrived, wakes })
    }

    async fn next(&mut self) {
        while !self.arrived.swap(false, Ordering::Relaxed) {
            tokio::select! {
                biased;
                _ = self.wakes.readable() => {
                    // What it brings, or that it brought nothing, tells no more than the flag does.
                    let _ = self.wakes.try_read(&mut [0; WAKES]);
                }
                () = tokio::time::sleep(LOOK) => {}
            }
        }
    }
}

/// So many wakes are read at once.
const WAKES: usize = 64;
/// A signal whose wake was lost is found within this.
const LOOK: Duration = Duration::from_millis(250);

/// A signal's arrivals; several that come close together may count as one.
pub struct Signals(pub(crate) Source);

pub(crate) enum Source {
    Os(OsSignal),
    Simulated(UnboundedReceiver<()>),
}

impl Signals {
    /// Signals that another machine sends through a channel.
    pub fn from_channel(arrivals: UnboundedReceiver<()>) -> Self {
        Signals(Source::Simulated(arrivals))
    }

    /// Waits for the next arrival; none when no more can come.
    pub async fn recv(&mut self) -> Option<()> {
        match &mut self.0 {
            Source::Os(arrivals) => {
                arrivals.next().await;
                Some(())
            }
            Source::Simulated(arrivals) => arrivals.recv().await,
        }
    }
}
