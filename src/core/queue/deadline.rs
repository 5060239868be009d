//! Index of waiting requests by deadline.

use std::collections::BTreeSet;

use crate::types::{AccountId, Timestamp};

use super::Ticket;

/// Deadlines of all waiting requests, earliest first.
#[derive(Debug, Default)]
pub(super) struct Deadlines(BTreeSet<(Timestamp, Ticket, AccountId)>);

impl Deadlines {
    /// Adds a request.
    pub fn add(&mut self, deadline: Timestamp, ticket: Ticket, account: &AccountId) {
        self.0.insert((deadline, ticket, account.clone()));
    }

    /// Removes a request.
    pub fn remove(&mut self, deadline: Timestamp, ticket: Ticket, account: &AccountId) {
        self.0.remove(&(deadline, ticket, account.clone()));
    }

    /// The request with the earliest deadline, if that has passed.
    pub fn due(&self, now: Timestamp) -> Option<(Ticket, AccountId)> {
        let (deadline, ticket, account) = self.0.first()?;
        (*deadline <= now).then(|| (*ticket, account.clone()))
    }

    /// The earliest deadline.
    pub fn first(&self) -> Option<Timestamp> {
        self.0.first().map(|(deadline, _, _)| *deadline)
    }
}
