//! Tasks whose panics stay with them, and streams of signals.

use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It came to its end.
    Done,
    /// It panicked, or its process ended.
    Broke,
}

/// A handle on a task, to await its end. Dropped, it leaves the task running.
pub struct Task(oneshot::Receiver<Ended>);

impl Future for Task {
    type Output = Ended;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Ended> {
        Pin::new(&mut self.0).poll(context).map(|ended| ended.unwrap_or(Ended::Broke))
    }
}

/// The task with its panics caught, and its handle.
pub(crate) fn watched(task: impl Future<Output = ()>) -> (impl Future<Output = ()>, Task) {
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
    type Output = Ended;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Ended> {
        // What a panic leaves half done belongs to the task, which is dropped and never polled again.
        match catch_unwind(AssertUnwindSafe(|| self.0.as_mut().poll(context))) {
            Ok(polled) => polled.map(|()| Ended::Done),
            Err(_) => Poll::Ready(Ended::Broke),
        }
    }
}

/// A signal's arrivals; several that come close together may count as one.
pub struct Signals(pub(crate) Source);

pub(crate) enum Source {
    Os(tokio::signal::unix::Signal),
    Made(UnboundedReceiver<()>),
}

impl Signals {
    /// Signals that another machine sends through a channel.
    pub fn made(arrivals: UnboundedReceiver<()>) -> Self {
        Signals(Source::Made(arrivals))
    }

    /// Waits for the next arrival; none when no more can come.
    pub async fn recv(&mut self) -> Option<()> {
        match &mut self.0 {
            Source::Os(signal) => signal.recv().await,
            Source::Made(arrivals) => arrivals.recv().await,
        }
    }
}
