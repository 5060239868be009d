//! One member of a group: its log, term, fence and role, and what it knows of the others.
//!
//! Decisions only: the actors carry out the returned [`RoleAction`]s and move the frames.
//!
//! A promotion appends an empty entry at the new term, and `confirmed` counts only entries of the
//! primary's own term. Without that entry a majority could hold an entry of an earlier term that a
//! later promotion still discards, because another member's last entry has a higher term.

use std::collections::BTreeMap;

use compact_str::CompactString;
use displaydoc::Display as DocDisplay;
use medlarstile::types::{EndpointId, Position, Term};

use super::error::SqlError;
use super::log::{Entry, Log};
use super::role::{start, Role, RoleAction, RoleEvent, RoleGuard, RoleMachine};
use super::status::{GroupStatus, ReportedRole};
use super::store::Change;

/// Term in which a group starts.
const FIRST_TERM: Term = Term(1);

/// Addresses of one member of the group.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{id}={postgres}={replication}")]
pub struct MemberSpec {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Address of its PostgreSQL port, as `group_follow` names it.
    pub postgres: CompactString,
    /// Address of its replication port.
    pub replication: CompactString,
}

/// Why a text is not a member.
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum MemberError {
    /// a member is written ID=POSTGRES_ADDRESS=REPLICATION_ADDRESS
    Shape,
}

impl std::error::Error for MemberError {}

impl std::str::FromStr for MemberSpec {
    type Err = MemberError;

    fn from_str(text: &str) -> Result<Self, MemberError> {
        let parts: Vec<&str> = text.split('=').collect();
        let [id, postgres, replication] = parts[..] else { return Err(MemberError::Shape) };
        let id = id.parse().map_err(|_| MemberError::Shape)?;
        Ok(Self { id, postgres: postgres.into(), replication: replication.into() })
    }
}

/// An order that an endpoint refuses with 55000.
#[derive(Debug, Clone, PartialEq, Eq, DocDisplay)]
pub enum Refusal {
    /// order of term {0} is below the fenced term {1}
    BelowFence(Term, Term),
    /// endpoint already has a part in term {0} that this order contradicts
    Contradiction(Term),
    /// no member of the group has the address {0}
    UnknownAddress(CompactString),
}

impl From<Refusal> for SqlError {
    fn from(refusal: Refusal) -> Self {
        SqlError::new("55000", refusal.to_string())
    }
}

/// State of one member.
#[derive(Debug)]
pub struct Member {
    id: EndpointId,
    members: Vec<MemberSpec>,
    machine: RoleMachine,
    before_crash: Role,
    term: Term,
    fenced: Term,
    leader: Option<(Term, EndpointId)>,
    log: Log,
    confirmed: Position,
    acknowledged: BTreeMap<EndpointId, Position>,
}

impl Member {
    /// A replica that knows no other member.
    pub fn new(id: EndpointId) -> Self {
        Self {
            id,
            members: Vec::new(),
            machine: start(),
            before_crash: Role::Replica,
            term: FIRST_TERM,
            fenced: FIRST_TERM,
            leader: None,
            log: Log::default(),
            confirmed: Position::default(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// Sets the members of the group and, in its first term, the primary.
    pub fn set_members(
        &mut self,
        members: Vec<MemberSpec>,
        primary: &EndpointId,
    ) -> Vec<RoleAction> {
        self.members = members;
        if self.term != FIRST_TERM || self.fenced != FIRST_TERM || self.is_primary() {
            return Vec::new();
        }
        if *primary == self.id {
            return self.machine.fire(RoleEvent::Bootstrap, |_| false).actions.to_vec();
        }
        self.leader = Some((FIRST_TERM, primary.clone()));
        self.machine.fire(RoleEvent::Follow, |_| false).actions.to_vec()
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Present role.
    pub fn role(&self) -> Role {
        self.machine.state()
    }

    /// Whether writes are accepted.
    pub fn is_primary(&self) -> bool {
        self.role() == Role::Primary
    }

    /// Term of the log.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Last position known to be confirmed.
    pub fn confirmed(&self) -> Position {
        self.confirmed
    }

    /// What the endpoint reports.
    pub fn status(&self) -> GroupStatus {
        let role = if self.is_primary() { ReportedRole::Primary } else { ReportedRole::Replica };
        GroupStatus {
            term: self.term,
            role,
            position: self.log.last(),
            confirmed: self.confirmed,
            fenced: self.fenced,
        }
    }

    /// Term and replication address of the primary that this replica follows.
    pub fn leader(&self) -> Option<(Term, &MemberSpec)> {
        let (term, id) = self.leader.as_ref().filter(|_| self.role() == Role::Replica)?;
        let spec = self.members.iter().find(|member| member.id == *id)?;
        Some((*term, spec))
    }

    /// Raises the fence.
    ///
    /// # Errors
    ///
    /// The term is below the fence.
    pub fn fence(&mut self, term: Term) -> Result<Vec<RoleAction>, Refusal> {
        self.check(term)?;
        let actions = self.fire(RoleEvent::Fence, term);
        self.fenced = term;
        Ok(actions.unwrap_or_default())
    }

    /// Makes this member the primary of `term`.
    ///
    /// # Errors
    ///
    /// The term is below the fence, or this member follows another primary at that term.
    pub fn promote(&mut self, term: Term) -> Result<Vec<RoleAction>, Refusal> {
        self.check(term)?;
        if self.is_primary() && term == self.term {
            return Ok(Vec::new());
        }
        if self.leader.as_ref().is_some_and(|(followed, _)| *followed == term) {
            return Err(Refusal::Contradiction(term));
        }
        let actions = self.fire(RoleEvent::Promote, term).ok_or(Refusal::Contradiction(term))?;
        self.fenced = term;
        if actions.contains(&RoleAction::StartTerm) {
            self.start_term(term);
        }
        Ok(actions)
    }

    /// Makes this member follow the primary of `term` at a PostgreSQL address.
    ///
    /// # Errors
    ///
    /// The term is below the fence, this member is the primary of that term, or no member has
    /// the address.
    pub fn follow(&mut self, term: Term, address: &str) -> Result<Vec<RoleAction>, Refusal> {
        self.check(term)?;
        let found = self.members.iter().find(|member| member.postgres == address);
        let leader = match found {
            Some(member) if member.id == self.id => return Err(Refusal::Contradiction(term)),
            Some(member) => (term, member.id.clone()),
            None => return Err(Refusal::UnknownAddress(address.into())),
        };
        if self.role() == Role::Replica && self.leader.as_ref() == Some(&leader) {
            return Ok(Vec::new());
        }
        let actions = self.fire(RoleEvent::Follow, term).ok_or(Refusal::Contradiction(term))?;
        self.fenced = term;
        self.leader = Some(leader);
        self.acknowledged.clear();
        Ok(actions)
    }

    /// Loses everything but log, term, fence and leader.
    pub fn crash(&mut self) -> Vec<RoleAction> {
        self.before_crash = self.role();
        self.acknowledged.clear();
        self.fire(RoleEvent::Crash, self.term).unwrap_or_default()
    }

    /// Comes back with the role from before the crash.
    pub fn restart(&mut self) -> Vec<RoleAction> {
        self.fire(RoleEvent::Restart, self.term).unwrap_or_default()
    }

    /// Appends a committed transaction; only a primary does.
    pub fn append(&mut self, changes: Vec<Change>) -> Position {
        let position = self.log.append(self.term, changes);
        self.confirm();
        position
    }

    /// A replica asks to follow this primary at `term`, with a log whose terms end at `ends`.
    /// Returns the last common position if this member is that primary.
    pub fn on_hello(&self, term: Term, ends: &[Position]) -> Option<Position> {
        (self.is_primary() && term == self.term).then(|| self.log.common(ends))
    }

    /// A replica of the present term holds everything up to `position`.
    pub fn on_acknowledge(&mut self, from: EndpointId, position: Position) {
        if self.is_primary() {
            self.acknowledged.insert(from, position);
            self.confirm();
        }
    }

    /// The primary of `term` accepts this replica; the logs are equal up to `common`. Returns
    /// whether entries after it were removed, or `None` if the order is out of date.
    pub fn on_accept(&mut self, term: Term, common: Position) -> Option<bool> {
        if !self.follows(term) {
            return None;
        }
        let rewind = self.log.last() > common;
        if rewind {
            self.log.truncate(common);
        }
        self.term = term;
        Some(rewind)
    }

    /// Entries of the primary of `term`. Returns those that are new, or `None` if this replica
    /// does not follow that primary.
    pub fn on_entries(
        &mut self,
        term: Term,
        entries: Vec<Entry>,
        confirmed: Position,
    ) -> Option<Vec<Entry>> {
        if !self.follows(term) || self.term != term {
            return None;
        }
        let mut new = Vec::new();
        for entry in entries {
            if self.log.extend(entry.clone()) {
                new.push(entry);
            }
        }
        self.confirmed = self.confirmed.max(confirmed.min(self.log.last()));
        Some(new)
    }

    fn follows(&self, term: Term) -> bool {
        let leader = self.leader.as_ref().map(|(term, _)| *term);
        self.role() == Role::Replica && leader == Some(term) && term >= self.fenced
    }

    fn check(&self, term: Term) -> Result<(), Refusal> {
        if term < self.fenced {
            return Err(Refusal::BelowFence(term, self.fenced));
        }
        Ok(())
    }

    fn fire(&mut self, event: RoleEvent, term: Term) -> Option<Vec<RoleAction>> {
        // A replica that has not yet reached the primary it follows still has an older term.
        let followed = self.leader.as_ref().map_or(self.term, |(followed, _)| *followed);
        let above = term > self.term.max(followed);
        let before = self.before_crash;
        let step = self.machine.fire(event, |guard| match guard {
            RoleGuard::AboveTerm => above,
            RoleGuard::WasPrimary => before == Role::Primary,
            RoleGuard::WasFenced => before == Role::Fenced,
        });
        step.handled.then(|| step.actions.to_vec())
    }

    fn start_term(&mut self, term: Term) {
        self.term = term;
        self.leader = None;
        self.acknowledged.clear();
        self.append(Vec::new());
    }

    /// Raises `confirmed` to the highest position of the own term that a majority holds.
    fn confirm(&mut self) {
        let others = self.members.iter().filter(|member| member.id != self.id);
        let mut held: Vec<Position> = others
            .map(|member| self.acknowledged.get(&member.id).copied().unwrap_or_default())
            .collect();
        held.push(self.log.last());
        held.sort_unstable_by(|a, b| b.cmp(a));
        let majority = held[held.len() / 2];
        if majority.term == self.term {
            self.confirmed = self.confirmed.max(majority);
        }
    }
}
