//! The weights and limits of a deployment, from the `deployment` page of keys and values.

/// Placement weights and limits that the operators set for a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Weight of load stalls in placement decisions.
    pub stall_weight: f64,
    /// Weight of full batches in placement decisions.
    pub batch_weight: f64,
    /// Loads per second that the weight store allows for the whole fleet.
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
