//! The figures that staff read: counts by class since the start of the process, and what holds at the moment of the call.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// The label of classes that the settings do not name.
const UNNAMED: &str = "other";

/// A job's final answer, as the figures tell them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Its connection came up.
    Served,
    Refused,
    Failed,
}

/// What holds at the moment of a call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Jobs taken and not yet ended.
    pub active_requests: usize,
    /// Backends in the machine list.
    pub listed: usize,
    /// Of these, the ones that the module avoids.
    pub avoided: usize,
}

pub struct Metrics {
    registry: Registry,
    classes: Vec<String>,
    served: IntCounterVec,
    refused: IntCounterVec,
    failed: IntCounterVec,
    attempts: IntCounterVec,
    active_requests: IntGauge,
    listed: IntGauge,
    avoided: IntGauge,
}

impl Metrics {
    /// All counts at none, for these classes. The names are fixed, so that no registration can fail.
    pub fn new(classes: Vec<String>) -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let by_class = |name: &str, help: &str| -> Result<IntCounterVec, prometheus::Error> {
            let counter = IntCounterVec::new(Opts::new(name, help), &["type"])?;
            classes.iter().for_each(|class| drop(counter.with_label_values(&[class])));
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Metrics {
            served: by_class("lb_success", "Connections brought up since the start.")?,
            refused: by_class("lb_overload", "Connections refused since the start.")?,
            failed: by_class("lb_error", "Connections failed since the start.")?,
            attempts: by_class("lb_dispatches", "Attempts written whole to label servers since the start.")?,
            active_requests: gauge("lb_concurrent", "Connections taken and not yet ended.")?,
            listed: gauge("lb_targets", "Label servers in the list.")?,
            avoided: gauge("lb_targets_disabled", "Label servers in the list that get nothing new.")?,
            registry,
            classes,
        })
    }

    fn name(&self, class: usize) -> &str {
        self.classes.get(class).map_or(UNNAMED, String::as_str)
    }

    /// Counts a job's final answer.
    pub fn count_answer(&self, class: usize, answer: FinalAnswer) {
        let counter = match answer {
            FinalAnswer::Served => &self.served,
            FinalAnswer::Refused => &self.refused,
            FinalAnswer::Failed => &self.failed,
        };
        counter.with_label_values(&[self.name(class)]).inc();
    }

    /// Counts an attempt whose last byte was written.
    pub fn count_attempt(&self, class: usize) {
        self.attempts.with_label_values(&[self.name(class)]).inc();
    }

    /// The figures as text.
    pub fn encode(&self, now: Gauges) -> String {
        self.active_requests.set(now.active_requests as i64);
        self.listed.set(now.listed as i64);
        self.avoided.set(now.avoided as i64);
        // Text of counters cannot fail to be written; a page without figures would be noticed.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_text_has_the_operators_names_and_starts_at_none() {
        let metrics = Metrics::new(vec!["feed".into()]).unwrap();
        (0..3).for_each(|_| metrics.count_answer(0, FinalAnswer::Served));
        metrics.count_answer(0, FinalAnswer::Refused);
        metrics.count_answer(usize::MAX, FinalAnswer::Failed);
        metrics.count_attempt(0);
        let text = metrics.encode(Gauges { active_requests: 2, listed: 5, avoided: 1 });
        let lines: Vec<&str> = text.lines().filter(|line| !line.starts_with('#')).collect();
        assert_eq!(
            lines,
            [
                "lb_concurrent 2",
                "lb_dispatches{type=\"feed\"} 1",
                "lb_error{type=\"feed\"} 0",
                "lb_error{type=\"other\"} 1",
                "lb_overload{type=\"feed\"} 1",
                "lb_success{type=\"feed\"} 3",
                "lb_targets 5",
                "lb_targets_disabled 1"
            ]
        );
    }
}
