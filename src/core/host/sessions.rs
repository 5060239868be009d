//! Caller sessions: login, requests and the effect of table changes on them.

use std::collections::BTreeSet;
use std::rc::Rc;

use compact_str::{format_compact, CompactString};

use super::{HostCore, RoutePlan};
use crate::core::broker::{Session, SessionSpec};
use crate::core::classify::Class;
use crate::core::life::LifeState;
use crate::core::limit::{LimitEffect, Take};
use crate::core::view::Authority;
use crate::error::{Error, ErrorKind};
use crate::tables::{CheckedTables, Route};
use crate::types::{AccountId, DatabaseName, KeyId, MilliTokens, RequestId, SessionId, Timestamp};

/// Parameters of a caller's start-up message, kept to apply new table versions to its session.
#[derive(Debug, Clone)]
pub struct Login {
    /// Client account that the caller named.
    pub user: AccountId,
    /// Database that the caller named.
    pub database: DatabaseName,
    /// Position token of the start-up message.
    pub position: Option<CompactString>,
}

impl HostCore {
    /// Handles a caller's start-up message and returns the authentication that its route requires.
    ///
    /// # Errors
    ///
    /// `bad_startup` for malformed names; `view_expired` or `host_draining` if the host may not serve
    /// the caller.
    pub fn startup(
        &mut self,
        now: Timestamp,
        session: SessionId,
        user: &str,
        database: &str,
        position: Option<CompactString>,
    ) -> Result<RoutePlan, Error> {
        let name = |what: &str, error| {
            Error::new(ErrorKind::BadStartup, format_compact!("{what}: {error}"))
        };
        let user: AccountId = user.parse().map_err(|error| name("user", error))?;
        let database: DatabaseName = database.parse().map_err(|error| name("database", error))?;
        if self.life.state() != LifeState::Serving && self.life.state() != LifeState::Leaving {
            return Err(Error::new(ErrorKind::HostDraining, "the host accepts no new sessions"));
        }
        let authority = self.view.authority(now);
        let tables = self.view.tables().cloned();
        let tables = tables.ok_or_else(|| view_expired(Authority::None))?;
        let plan = route_plan(&tables, &database, &user);
        if plan != RoutePlan::Open && authority != Authority::Full {
            return Err(view_expired(authority));
        }
        self.logins.insert(session, Login { user, database, position });
        Ok(plan)
    }

    /// Opens the session of a caller that has proven `key`, or whose route needs no key.
    ///
    /// # Errors
    ///
    /// The route no longer exists, the key was withdrawn meanwhile, or the position token is
    /// malformed.
    pub fn logged_in(
        &mut self,
        now: Timestamp,
        id: SessionId,
        key: Option<KeyId>,
    ) -> Result<(), Error> {
        let login = self.logins.get(&id).cloned();
        let login = login
            .ok_or_else(|| Error::new(ErrorKind::Internal, "login without a start-up message"))?;
        let spec = self.session_spec(&login, key)?;
        self.broker.open_session(now, id, spec);
        match login.position.as_deref().filter(|text| !text.is_empty()) {
            Some(text) => self.broker.set_position(id, text),
            None => Ok(()),
        }
    }

    /// Handles a request of a session: checks its rights and takes tokens from the rate limit.
    pub fn request(&mut self, now: Timestamp, id: RequestId, session: SessionId, class: Class) {
        let checked = self.check_request(now, session);
        let Some((account, deadline)) = self.broker.submit(now, id, session, class) else { return };
        if let Err(error) = checked {
            return self.broker.refuse_with(now, id, error);
        }
        let mut effects = Vec::new();
        let cost = MilliTokens::ONE;
        let take = self.limiter.admit(now, id, &account, cost, deadline, &mut effects);
        match take {
            Take::Taken => {
                self.note_admitted(id);
                self.broker.admit(now, id);
            }
            Take::Refused(kind) => self.broker.refuse_admission(now, id, kind),
            Take::Wait { .. } => {}
        }
        self.limit_effects(now, effects);
    }

    /// Checks that the session may run a request now: the host's view of the tables is recent enough
    /// for its route, and its key still belongs to the account.
    fn check_request(&mut self, now: Timestamp, id: SessionId) -> Result<(), Error> {
        let authority = self.view.authority(now);
        let Some(session) = self.broker.session(id) else { return Ok(()) };
        match &session.spec.key {
            None if authority == Authority::None => Err(view_expired(authority)),
            None => Ok(()),
            Some(_) if authority != Authority::Full => Err(view_expired(authority)),
            Some(key) if !self.view.key_is_valid(&session.spec.account, key) => {
                Err(key_withdrawn(key))
            }
            Some(_) => Ok(()),
        }
    }

    /// Handles a cancel request of the caller.
    pub fn cancel(&mut self, now: Timestamp, session: SessionId) {
        self.broker.cancel(now, session);
    }

    /// Closes the session of a caller that disconnected.
    pub fn caller_left(&mut self, now: Timestamp, id: SessionId) {
        self.logins.remove(&id);
        if let Some(session) = self.broker.session(id) {
            if let Some(request) = session.request {
                let account = session.spec.account.clone();
                self.limiter.cancel(&account, request);
            }
        }
        self.broker.close_session(now, id);
    }

    /// Applies a new table version to the groups, the rate limits and the open sessions.
    pub(super) fn adopt_tables(&mut self, now: Timestamp) {
        let Some(tables) = self.view.tables().cloned() else { return };
        self.broker.set_groups(now, &super::platform::group_specs(&tables));
        let limits = tables.accounts().iter();
        let limits = limits.map(|(id, account)| (id.clone(), (account.rate, account.burst)));
        let mut effects: Vec<LimitEffect> = Vec::new();
        self.limiter.set_accounts(now, &limits.collect(), &mut effects);
        self.limit_effects(now, effects);
        self.update_sessions(now);
    }

    fn update_sessions(&mut self, now: Timestamp) {
        let logins: Vec<(SessionId, Login)> =
            self.logins.iter().map(|(id, login)| (*id, login.clone())).collect();
        for (id, login) in logins {
            let Some(key) = self.broker.session(id).map(|session| session.spec.key.clone()) else {
                continue;
            };
            match self.session_spec(&login, key) {
                Ok(spec) => self.broker.update_session(now, id, spec),
                Err(error) => self.broker.evict(now, id, error),
            }
        }
    }

    fn session_spec(&self, login: &Login, key: Option<KeyId>) -> Result<SessionSpec, Error> {
        let tables = self.view.tables();
        let tables = tables.ok_or_else(|| view_expired(Authority::None))?;
        let no_route = || {
            let detail = format_compact!("database {}, account {}", login.database, login.user);
            Error::new(ErrorKind::NoRoute, detail)
        };
        let route = tables.route(&login.database, &login.user).ok_or_else(no_route)?;
        let account = tables.accounts().get(&route.account).ok_or_else(no_route)?;
        let pool = tables.pool(&route.pool).ok_or_else(no_route)?;
        match &key {
            Some(key) if !tables.has_key(&route.account, key) => return Err(key_withdrawn(key)),
            None if !is_open(route) => {
                return Err(Error::new(ErrorKind::WrongKey, "the route now requires a key"));
            }
            _ => {}
        }
        let endpoints: BTreeSet<_> =
            pool.endpoints.iter().map(|member| member.endpoint.clone()).collect();
        Ok(SessionSpec {
            account: route.account.clone(),
            key: key.filter(|_| !is_open(route)),
            group: pool.group.clone(),
            endpoints: Rc::new(endpoints),
            freshness: route.freshness,
            max_wait_ms: route.max_wait_ms,
            weight: account.weight,
        })
    }

    pub(super) fn refuse_new_work(&mut self, now: Timestamp) {
        self.broker.start_draining();
        let idle = |session: &Session| session.request.is_none() && session.pinned.is_none();
        self.broker.evict_sessions(now, |session| {
            idle(session).then(|| Error::new(ErrorKind::HostDraining, "the host is stopping"))
        });
    }

    /// Closes all sessions, those with a running request after its answer.
    pub(super) fn end_transactions(&mut self, now: Timestamp) {
        self.broker.evict_sessions(now, |_| {
            let detail = "the host stopped; the open transaction was rolled back";
            Some(Error::new(ErrorKind::HostDraining, detail))
        });
    }
}

fn is_open(route: &Route) -> bool {
    route.account == AccountId::OPEN
}

/// Authentication for a caller. An account without a route gets the same exchange as one with a
/// wrong key.
fn route_plan(tables: &CheckedTables, database: &DatabaseName, user: &AccountId) -> RoutePlan {
    match tables.route(database, user) {
        Some(route) if is_open(route) => RoutePlan::Open,
        Some(route) => {
            let keys = tables.accounts().get(&route.account).map(|account| &account.keys);
            let keys = keys.into_iter().flatten();
            RoutePlan::Keyed(keys.map(|key| (key.id.clone(), key.verifier.clone())).collect())
        }
        None => RoutePlan::Keyed(Vec::new()),
    }
}

fn view_expired(authority: Authority) -> Error {
    let detail = match authority {
        Authority::None => "the host has not read the tables yet",
        _ => "the host cannot prove that its tables are current; it serves only open routes",
    };
    Error::new(ErrorKind::ViewExpired, detail)
}

fn key_withdrawn(key: &KeyId) -> Error {
    Error::new(ErrorKind::KeyWithdrawn, format_compact!("key {key}"))
}
