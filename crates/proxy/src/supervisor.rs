//! Supervision of the tasks that the proxy depends on for as long as it runs.

use pierloom_host::{Host, TaskEnd, TaskHandle};
use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

/// A task that cannot be started again has panicked.
#[derive(Debug, PartialEq, Eq)]
pub struct TaskFailure {
    task: &'static str,
}

impl fmt::Display for TaskFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ended by a panic", self.task)
    }
}

struct SupervisedTask {
    name: &'static str,
    handle: TaskHandle,
    /// Starts the task again after a panic; `None` if that is not possible.
    restart: Option<Box<dyn Fn() -> TaskHandle>>,
}

/// The tasks that the proxy depends on. They are supervised by the future that runs the proxy, not by further
/// tasks: a panic of a task goes unnoticed unless another one awaits its end, while a panic of that future
/// ends the process.
pub struct Supervisor {
    host: Host,
    tasks: Vec<SupervisedTask>,
}

impl Supervisor {
    /// Supervises no task yet.
    pub fn new(host: &Host) -> Self {
        Supervisor { host: host.clone(), tasks: Vec::new() }
    }

    /// Runs a task that is started again after a panic.
    pub fn spawn_restartable<F: Future<Output = ()> + 'static>(
        &mut self,
        name: &'static str,
        start: impl Fn() -> F + 'static,
    ) {
        let host = self.host.clone();
        let restart = move || host.spawn(start());
        self.tasks.push(SupervisedTask { name, handle: restart(), restart: Some(Box::new(restart)) });
    }

    /// Runs a task that cannot be started again after a panic.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let handle = self.host.spawn(task);
        self.tasks.push(SupervisedTask { name, handle, restart: None });
    }

    /// Runs `main` to its end and returns its output. Fails earlier if a task panics that cannot be started
    /// again; that failure is returned once.
    pub async fn supervise<T>(&mut self, main: impl Future<Output = T>) -> Result<T, TaskFailure> {
        let mut main = pin!(main);
        poll_fn(|context| match main.as_mut().poll(context) {
            Poll::Ready(output) => Poll::Ready(Ok(output)),
            Poll::Pending => self.poll_tasks(context).map(Err),
        })
        .await
    }

    /// Starts tasks again that have panicked, and removes those that have ended.
    fn poll_tasks(&mut self, context: &mut Context<'_>) -> Poll<TaskFailure> {
        let mut index = 0;
        while let Some(task) = self.tasks.get_mut(index) {
            match (Pin::new(&mut task.handle).poll(context), &task.restart) {
                (Poll::Pending, _) => index += 1,
                (Poll::Ready(TaskEnd::Completed), _) => drop(self.tasks.swap_remove(index)),
                (Poll::Ready(TaskEnd::Aborted), Some(restart)) => {
                    tracing::error!(target: "proxy", "{}: started again after a panic", task.name);
                    task.handle = restart();
                }
                (Poll::Ready(TaskEnd::Aborted), None) => {
                    return Poll::Ready(TaskFailure { task: self.tasks.swap_remove(index).name });
                }
            }
        }
        Poll::Pending
    }
}
