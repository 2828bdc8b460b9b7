//! Tasks whose panics do not spread to other tasks, and streams of signals.

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
    /// The task ran to its end.
    Completed,
    /// The task panicked, or its process ended.
    Aborted,
}

/// A handle to await the end of a task. The task keeps running when the handle is dropped.
pub struct TaskHandle(oneshot::Receiver<TaskEnd>);

impl Future for TaskHandle {
    type Output = TaskEnd;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<TaskEnd> {
        Pin::new(&mut self.0).poll(context).map(|result| result.unwrap_or(TaskEnd::Aborted))
    }
}

/// Wraps a task so that its panics are caught. Returns the wrapped task and its handle.
pub(crate) fn catch_panics(task: impl Future<Output = ()>) -> (impl Future<Output = ()>, TaskHandle) {
    let (sender, receiver) = oneshot::channel();
    let task = async move {
        let end = CatchPanic(Box::pin(task)).await;
        // The handle may have been dropped.
        let _ = sender.send(end);
    };
    (task, TaskHandle(receiver))
}

/// A future whose panic ends it as [`TaskEnd::Aborted`].
struct CatchPanic<F>(Pin<Box<F>>);

impl<F: Future<Output = ()>> Future for CatchPanic<F> {
    type Output = TaskEnd;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<TaskEnd> {
        // A panic may leave state of the task inconsistent, but the task is dropped and never polled again.
        match catch_unwind(AssertUnwindSafe(|| self.0.as_mut().poll(context))) {
            Ok(polled) => polled.map(|()| TaskEnd::Completed),
            Err(_) => Poll::Ready(TaskEnd::Aborted),
        }
    }
}

/// A signal of the operating system. Its handler sets a flag and then writes to a socket, which wakes the
/// waiting task. The flag is also checked at intervals, as a failing call may lose the wakeup. This type
/// replaces tokio's signal handling, which ends the process when the read that follows a signal is
/// interrupted.
pub(crate) struct OsSignal {
    arrived: Arc<AtomicBool>,
    wakeups: UnixStream,
}

impl OsSignal {
    /// Registers the handlers for a signal.
    pub fn register(signal_number: i32) -> io::Result<Self> {
        let arrived = Arc::new(AtomicBool::new(false));
        let (waker, wakeups) = std::os::unix::net::UnixStream::pair()?;
        wakeups.set_nonblocking(true)?;
        let wakeups = UnixStream::from_std(wakeups)?;
        // The flag is registered first, so that a woken task finds it set.
        signal_hook::flag::register(signal_number, arrived.clone())?;
        signal_hook::low_level::pipe::register(signal_number, waker)?;
        Ok(OsSignal { arrived, wakeups })
    }

    async fn recv(&mut self) {
        while !self.arrived.swap(false, Ordering::Relaxed) {
            tokio::select! {
                biased;
                _ = self.wakeups.readable() => {
                    // Only the flag tells whether a signal arrived, so the result of the read is ignored.
                    let _ = self.wakeups.try_read(&mut [0; WAKEUP_BUFFER_BYTES]);
                }
                () = tokio::time::sleep(FLAG_CHECK_INTERVAL) => {}
            }
        }
    }
}

/// Size of the buffer of one read of wakeups, each of which is a byte.
const WAKEUP_BUFFER_BYTES: usize = 64;
/// Interval of the checks of the flag: a signal whose wakeup was lost is found within this time.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A stream of the arrivals of one signal. Arrivals in close succession may count as one.
pub struct Signals(pub(crate) SignalSource);

/// Where the arrivals of a signal come from.
pub(crate) enum SignalSource {
    Os(OsSignal),
    Simulated(UnboundedReceiver<()>),
}

impl Signals {
    /// The stream of arrivals that a custom [`Machine`](crate::Machine) sends through a channel.
    pub fn from_channel(arrivals: UnboundedReceiver<()>) -> Self {
        Signals(SignalSource::Simulated(arrivals))
    }

    /// Waits for the next arrival; `None` when no more can come.
    pub async fn recv(&mut self) -> Option<()> {
        match &mut self.0 {
            SignalSource::Os(os_signal) => {
                os_signal.recv().await;
                Some(())
            }
            SignalSource::Simulated(arrivals) => arrivals.recv().await,
        }
    }
}
