//! The metrics that operators read: counters by class since the start of the process, and gauges of the
//! current state.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Label of all classes that the settings do not name.
const OTHER_CLASSES_LABEL: &str = "other";

/// The kinds of final answers to a request that the metrics distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The connection was established.
    Served,
    /// The proxy refused the request.
    Refused,
    /// The request failed.
    Failed,
}

/// Values of the current state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Requests that were accepted and have not ended.
    pub active_requests: usize,
    /// Backends in the endpoint list.
    pub listed: usize,
    /// Number of these backends that the decision module avoids.
    pub avoided: usize,
}

/// All metrics of the process.
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
    /// Metrics for these classes, with all counters at zero. Fails if a metric cannot be registered, which
    /// the fixed metric names rule out.
    pub fn new(classes: Vec<String>) -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let register_counter = |metric_name: &str, help: &str| -> Result<IntCounterVec, prometheus::Error> {
            let counter = IntCounterVec::new(Opts::new(metric_name, help), &["type"])?;
            classes.iter().for_each(|class| drop(counter.with_label_values(&[class])));
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let register_gauge = |metric_name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(metric_name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Metrics {
            served: register_counter("lb_success", "Connections brought up since the start.")?,
            refused: register_counter("lb_overload", "Connections refused since the start.")?,
            failed: register_counter("lb_error", "Connections failed since the start.")?,
            attempts: register_counter(
                "lb_dispatches",
                "Attempts written whole to label servers since the start.",
            )?,
            active_requests: register_gauge("lb_concurrent", "Connections taken and not yet ended.")?,
            listed: register_gauge("lb_targets", "Label servers in the list.")?,
            avoided: register_gauge(
                "lb_targets_disabled",
                "Label servers in the list that get nothing new.",
            )?,
            registry,
            classes,
        })
    }

    fn class_label(&self, class: usize) -> &str {
        self.classes.get(class).map_or(OTHER_CLASSES_LABEL, String::as_str)
    }

    /// Counts the final answer to a request.
    pub fn count_answer(&self, class: usize, answer: FinalAnswer) {
        let counter = match answer {
            FinalAnswer::Served => &self.served,
            FinalAnswer::Refused => &self.refused,
            FinalAnswer::Failed => &self.failed,
        };
        counter.with_label_values(&[self.class_label(class)]).inc();
    }

    /// Counts an attempt whose request was written to the backend completely.
    pub fn count_attempt(&self, class: usize) {
        self.attempts.with_label_values(&[self.class_label(class)]).inc();
    }

    /// The metrics in Prometheus text format.
    pub fn encode(&self, gauges: Gauges) -> String {
        self.active_requests.set(gauges.active_requests as i64);
        self.listed.set(gauges.listed as i64);
        self.avoided.set(gauges.avoided as i64);
        // Encoding these metrics is not expected to fail. On failure the text is empty, which operators would
        // notice.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn encoded_text_has_the_operators_names_and_counters_start_at_zero() {
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
