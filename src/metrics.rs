//! Prometheus metrics of the process.
//!
//! Every refusal and every retry has its reason as a label; `docs/METRICS.md` explains the reasons
//! and their remedies.

use prometheus::{Encoder, HistogramVec, IntCounterVec, IntGaugeVec, Registry, TextEncoder};

use crate::error::Result;
use crate::traffic::{Party, Traffic};

/// The upper bounds of the buckets for waiting times, in seconds.
const WAIT_BUCKETS: [f64; 10] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.3, 10.0, 60.0];

/// All collectors of one process.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    outcomes: IntCounterVec,
    invariants: IntCounterVec,
    events: IntCounterVec,
    gauges: IntGaugeVec,
    waits: HistogramVec,
    traffic: Traffic,
    traffic_gauges: IntGaugeVec,
}

impl Metrics {
    /// Creates a registry and registers all collectors.
    ///
    /// # Errors
    /// Fails only if two collectors share a name, which is a programming error.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let refusals = counter(
            &registry,
            "crossweir_refusals_total",
            "Refusals by reason.",
            "reason",
        )?;
        let retries = counter(
            &registry,
            "crossweir_retries_total",
            "Retries by reason.",
            "reason",
        )?;
        let outcomes = counter(
            &registry,
            "crossweir_outcomes_total",
            "Final outcomes of requests.",
            "outcome",
        )?;
        let invariants = counter(
            &registry,
            "crossweir_invariant_violations_total",
            "Operations refused because they would break an invariant.",
            "invariant",
        )?;
        let events = counter(
            &registry,
            "crossweir_events_total",
            "Notable events by kind.",
            "event",
        )?;
        let gauges = IntGaugeVec::new(
            prometheus::opts!("crossweir_state", "Present sizes and versions."),
            &["what"],
        )?;
        registry.register(Box::new(gauges.clone()))?;
        let opts = prometheus::histogram_opts!(
            "crossweir_wait_seconds",
            "Time from request to start.",
            WAIT_BUCKETS.to_vec()
        );
        let waits = HistogramVec::new(opts, &["class"])?;
        registry.register(Box::new(waits.clone()))?;
        let traffic_gauges = IntGaugeVec::new(
            prometheus::opts!(
                "crossweir_traffic",
                "Bytes and connections since the process began, by party."
            ),
            &["party", "what"],
        )?;
        registry.register(Box::new(traffic_gauges.clone()))?;
        Ok(Self {
            registry,
            refusals,
            retries,
            outcomes,
            invariants,
            events,
            gauges,
            waits,
            traffic: Traffic::default(),
            traffic_gauges,
        })
    }

    /// Counts a refusal; `reason` is one of the codes of `docs/METRICS.md`.
    pub fn refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a retry.
    pub fn retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Counts the final outcome of a request.
    pub fn outcome(&self, outcome: &str) {
        self.outcomes.with_label_values(&[outcome]).inc();
    }

    /// Counts and logs an operation that was refused because it would break an invariant.
    pub fn violation(&self, invariant: &str) {
        tracing::error!(
            invariant,
            "operation refused because it would break an invariant"
        );
        self.invariants.with_label_values(&[invariant]).inc();
    }

    /// Counts a notable event such as a takeover.
    pub fn event(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets a gauge.
    pub fn gauge(&self, what: &str, value: i64) {
        self.gauges.with_label_values(&[what]).set(value);
    }

    /// Records a waiting time in milliseconds.
    pub fn wait(&self, class: &str, millis: u64) {
        self.waits
            .with_label_values(&[class])
            .observe(millis as f64 / 1000.0);
    }

    /// Returns the counters of bytes and connections.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn export_traffic(&self) {
        for (party, volume) in Party::ALL.iter().zip(self.traffic.volumes()) {
            for (what, value) in [
                ("sent_bytes", volume.sent),
                ("received_bytes", volume.received),
                ("connections", volume.connections),
            ] {
                let gauge = self
                    .traffic_gauges
                    .with_label_values(&[party.label(), what]);
                gauge.set(value as i64);
            }
        }
    }

    /// Renders all metrics in the text format of Prometheus.
    ///
    /// # Errors
    /// Fails if a collector cannot be encoded.
    pub fn render(&self) -> Result<Vec<u8>> {
        self.export_traffic();
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}

fn counter(registry: &Registry, name: &str, help: &str, label: &str) -> Result<IntCounterVec> {
    let counter = IntCounterVec::new(prometheus::opts!(name, help), &[label])?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}
