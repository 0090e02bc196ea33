//! The rate of requests that a backend server takes, and what a response says about it.

/// Greatest interval between two requests. A server that takes none for now is asked again after it.
const MAX_INTERVAL_US: u64 = 30_000_000;
const US_PER_S: f64 = 1_000_000.0;

/// A rate of requests, as the interval between two of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRate {
    interval_us: u64,
}

impl RequestRate {
    /// Creates a rate from requests per second; returns `None` if that is negative or no number.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        if !per_s.is_finite() || per_s < 0.0 {
            return None;
        }
        // A division by zero gives infinity, which the conversion limits.
        let interval_us = (US_PER_S / per_s).ceil() as u64;
        Some(Self::from_interval_us(interval_us))
    }

    /// Creates a rate from the interval between two requests, in microseconds.
    #[must_use]
    pub const fn from_interval_us(interval_us: u64) -> Self {
        if interval_us > MAX_INTERVAL_US {
            return Self {
                interval_us: MAX_INTERVAL_US,
            };
        }
        Self { interval_us }
    }

    /// Returns the interval between two requests, in microseconds.
    #[must_use]
    pub const fn interval_us(self) -> u64 {
        self.interval_us
    }

    /// Returns the part of the rate that `count` of `total` senders may use together.
    #[must_use]
    pub const fn part(self, count: u64, total: u64) -> Self {
        if count == 0 {
            return Self::from_interval_us(MAX_INTERVAL_US);
        }
        if count >= total {
            return self;
        }
        Self::from_interval_us(self.interval_us.saturating_mul(total).div_ceil(count))
    }

    /// Returns the share of the rate that each of `count` senders may use.
    #[must_use]
    pub const fn divided_by(self, count: u64) -> Self {
        Self::from_interval_us(self.interval_us.saturating_mul(count))
    }
}

/// What a response says about the rate of requests that its server takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateStatement {
    /// The response names none.
    #[default]
    Unnamed,
    /// The server takes this rate for as long as its responses name it.
    Named(RequestRate),
    /// The response names something that is no rate.
    Unreadable,
}
