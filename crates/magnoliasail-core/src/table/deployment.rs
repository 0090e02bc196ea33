//! Weights and limits of a deployment, the page of keys and values.

/// What the operators weigh and allow.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Weight of load stalls in placement.
    pub stall_weight: f64,
    /// Weight of full batches in placement.
    pub batch_weight: f64,
    /// Loads that the weight store allows per second.
    pub loads_per_s: f64,
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            stall_weight: 1.0,
            batch_weight: 1.0,
            loads_per_s: 7.0,
        }
    }
}
