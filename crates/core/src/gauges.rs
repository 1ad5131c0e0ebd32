//! Gauges of the processor, passed to the admission controller with its timer events.

use pipitlever_admission::Micros;

/// Gauges older than this are not passed on to the controller.
const MAX_AGE: Micros = 500_000;

/// The processor's gauges; `None` for those that it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Busy share of the cores, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Number of runs that use or wait for a core.
    pub runnable: Option<f64>,
    /// Share of memory in use, from 0 to 1.
    pub memory_utilization: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// The source of the gauges.
#[derive(Debug)]
pub(crate) enum GaugeSource {
    /// The processor's last report and the time of its receipt.
    Processor {
        /// When the report was received.
        received_at: Micros,
        /// The report.
        gauges: Gauges,
    },
    /// A node without a processor. Each worker serves one request at a time, so the number of runs
    /// is the number of cores in use.
    RunCount,
}

impl GaugeSource {
    /// A processor that has not reported yet.
    pub(crate) fn processor() -> GaugeSource {
        GaugeSource::Processor {
            // The age exceeds `MAX_AGE` at any time, and its computation does not overflow.
            received_at: Micros::MIN / 2,
            gauges: Gauges::default(),
        }
    }

    /// Stores a report of the processor.
    pub(crate) fn update(&mut self, now: Micros, report: Gauges) {
        if let GaugeSource::Processor {
            received_at,
            gauges,
        } = self
        {
            (*received_at, *gauges) = (now, report);
        }
    }

    /// The gauges for the controller. `count_running` counts the started runs; it is called only
    /// for a node without a processor.
    pub(crate) fn read(
        &self,
        now: Micros,
        count_running: impl FnOnce() -> usize,
        cores: f64,
    ) -> Gauges {
        match self {
            GaugeSource::RunCount => {
                let running = count_running() as f64;
                Gauges {
                    cpu_utilization: Some((running / cores.max(1.0)).min(1.0)),
                    runnable: Some(running),
                    ..Gauges::default()
                }
            }
            GaugeSource::Processor {
                received_at,
                gauges,
            } if now - received_at <= MAX_AGE => *gauges,
            GaugeSource::Processor { .. } => Gauges::default(),
        }
    }
}
