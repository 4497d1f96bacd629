//! A bound on retries, so that they cannot amplify an overload.

/// How many retries may be saved up.
const MAX_SAVED: u64 = 20;
/// The cost of one retry, in hundredths.
const COST: u64 = 100;

/// Lets through a fixed share of retries per fresh request.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    saved: u64,
}

impl RetryBudget {
    /// Allows `percent` retries for every hundred fresh requests.
    pub fn new(percent: u64) -> Self {
        Self {
            percent,
            saved: MAX_SAVED * COST * percent.min(1),
        }
    }

    /// Records a fresh request.
    pub fn on_fresh(&mut self) {
        self.saved = (self.saved + self.percent).min(MAX_SAVED * COST);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn try_retry(&mut self) -> bool {
        let enough = self.saved >= COST;
        if enough {
            self.saved -= COST;
        }
        enough
    }
}
