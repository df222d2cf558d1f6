//! Retry budgets: token buckets that first attempts fill and retries empty.
//!
//! While servers fail, every request wants retries, and these can multiply the load that makes them fail. A budget bounds
//! retries to a part of the first attempts, and to a burst. Budgets can share a parent: a retry withdraws from a budget
//! and from all its ancestors at once, or from none.

use schemars::JsonSchema;
use serde::Serialize;

/// A little less than one token, because deposits of fractions may not add up to it exactly.
const ONE_TOKEN: f64 = 1.0 - 1e-9;

/// The policy of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[expect(
    missing_docs,
    reason = "docs of fields would enter the exported schema"
)]
#[schemars(
    rename = "Budget",
    description = "A token bucket for repeats: so many for each hundred requests, and so many saved up."
)]
pub struct RetryBudget {
    pub name: String,
    /// Tokens for each hundred first attempts.
    pub percent: f64,
    /// Tokens that are held at the most.
    pub burst: u64,
    /// Takes from this one as well.
    pub parent: Option<String>,
}

#[derive(Clone, Debug)]
struct TokenBucket {
    tokens: f64,
    tokens_per_request: f64,
    max_tokens: f64,
    parent: Option<usize>,
}

/// The token buckets of all budgets of a file.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    names: Vec<String>,
    buckets: Vec<TokenBucket>,
}

impl RetryBudgets {
    /// Creates all buckets full. A parent that does not exist counts as none; validation rejects such a file.
    pub fn new(budgets: &[RetryBudget]) -> RetryBudgets {
        let names: Vec<String> = budgets.iter().map(|budget| budget.name.clone()).collect();
        let index_of = |name: &String| names.iter().position(|own| own == name);
        let bucket = |budget: &RetryBudget| TokenBucket {
            tokens: budget.burst as f64,
            tokens_per_request: budget.percent / 100.0,
            max_tokens: budget.burst as f64,
            parent: budget.parent.as_ref().and_then(index_of),
        };
        RetryBudgets {
            buckets: budgets.iter().map(bucket).collect(),
            names,
        }
    }

    /// Returns the index of the budget of that name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|own| own == name)
    }

    /// Returns a bucket and its ancestors, each once even in a cycle, which validation rejects.
    fn with_ancestors(&self, index: usize) -> Vec<usize> {
        let mut chain = Vec::new();
        let mut next = Some(index);
        while let Some(index) = next.filter(|index| !chain.contains(index)) {
            let Some(bucket) = self.buckets.get(index) else {
                break;
            };
            chain.push(index);
            next = bucket.parent;
        }
        chain
    }

    /// Deposits the fraction of a token that a first attempt earns.
    pub fn deposit(&mut self, index: usize) {
        for index in self.with_ancestors(index) {
            let bucket = &mut self.buckets[index];
            let tokens = bucket.tokens + bucket.tokens_per_request;
            bucket.tokens = tokens.min(bucket.max_tokens);
        }
    }

    /// Withdraws a token for a retry; returns false if the budget or an ancestor has none.
    pub fn try_withdraw(&mut self, index: usize) -> bool {
        let chain = self.with_ancestors(index);
        let exhausted = |index: &usize| self.buckets[*index].tokens < ONE_TOKEN;
        if chain.iter().any(exhausted) {
            return false;
        }
        for index in chain {
            self.buckets[index].tokens -= 1.0;
        }
        true
    }

    /// Returns the number of tokens in a bucket.
    ///
    /// # Panics
    ///
    /// Panics if there is no such bucket.
    pub fn tokens(&self, index: usize) -> f64 {
        self.buckets[index].tokens
    }
}

#[cfg(test)]
mod tests;
